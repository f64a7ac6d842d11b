// Reads what an earlier life has left, once, and writes what this one learns: on a thread of its own, since a
// folder may hang. The reactor's thread only hands over bytes and looks whether something has been read.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "statistics/record.h"
#include "store/checksummed_file.h"
#include "store/file_system.h"

namespace damsonspoke::statistics {

struct Reading {
  std::optional<StatisticsRecord> record;
  int starts = 0;       // lives that began with it and did not come through
  std::string problem;  // in plain words; empty: none
  bool older = false;   // the generation before: the newest was of no use
};

// The way of the files, without a thread: what a keeper does, for tests and for the command line.
class StatisticsFolder {
 public:
  explicit StatisticsFolder(store::FileSystem& disk)
      : disk_(disk), file_(disk, "knowledge", kForm, kMostBytes) {}
  Reading read();
  // A life begins with what was read: until it has come through, this counts against it.
  void begins(int starts);
  void came_through();
  // False where it could not be written, or another process has the folder.
  bool write(const StatisticsRecord& record);
  bool write_bytes(std::string_view encoded);
  void forget();

 private:
  store::FileSystem& disk_;
  store::ChecksummedFile file_;
};

class StatisticsStore {
 public:
  // Makes the disk on the thread: even that may hang.
  using FileSystemFactory = std::function<std::unique_ptr<store::FileSystem>()>;
  explicit StatisticsStore(FileSystemFactory make_file_system);
  // Waits a short time for what is being written; a folder that hangs is left behind.
  ~StatisticsStore();
  StatisticsStore(const StatisticsStore&) = delete;
  StatisticsStore& operator=(const StatisticsStore&) = delete;

  // Until it has been read, or so long; before there is anything else to do.
  void wait_for_reading(double seconds);
  // What was read; nothing while it is being read. Whoever asks first takes it.
  std::optional<Reading> take_reading();
  void write(std::string encoded);  // the newest one wins
  void begins(int starts);
  void came_through();
  // The last write's trouble, told once a change; empty: it went well.
  std::optional<std::string> take_write_error();
  std::uint64_t write_count() const;

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
  std::thread thread_;
};

}  // namespace damsonspoke::statistics
