// Learned statistics on disk: the record that an earlier server has left is read once, and this server's is
// written from time to time.
//
// A start with a record is on trial until it has lasted: the number of starts that did not is stored beside
// the record, so that a record which makes servers fail is given up.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include "statistics/record.h"
#include "store/checksummed_file.h"
#include "store/file_system.h"

namespace damsonspoke::statistics {

enum class ReadProblem : std::uint8_t {
  kNone,
  kMissing,
  kCorrupt,
  kUnrecognized,
  kNewerFormat,
  kNoRecord,  // intact, but no record of statistics
};
std::string_view text_of(ReadProblem problem);

struct RecordReadResult {
  std::optional<StatisticsRecord> record;
  int failed_starts = 0;  // with this record
  ReadProblem problem = ReadProblem::kNone;
  bool is_previous = false;  // the current generation was unusable, this is the one before it
};

// The files in their folder, without a thread: for StatisticsStore, commands and tests.
class StatisticsFolder {
 public:
  explicit StatisticsFolder(store::FileSystem& file_system)
      : file_system_(file_system), file_(file_system, "knowledge", kRecordFormatVersion, kMaxRecordBytes) {}

  RecordReadResult read();
  // A start with the record: until end_trial(), `failed_starts` are counted against it.
  void begin_trial(int failed_starts);
  void end_trial();
  // False where it could not be written or another process holds the folder's lock.
  bool write(const StatisticsRecord& record);
  bool write_encoded(std::string_view encoded);
  // Removes the record, its previous generation and the trial.
  void remove();

 private:
  store::FileSystem& file_system_;
  store::ChecksummedFile file_;
};

// The files behind a thread of their own, since a folder may hang. Only wait_for_read() waits.
class StatisticsStore {
 public:
  // Called on the thread, since opening a folder may hang too.
  using FileSystemFactory = std::function<std::unique_ptr<store::FileSystem>()>;

  explicit StatisticsStore(FileSystemFactory make_file_system);
  // Waits briefly for a pending write; see store::stop_worker_thread().
  ~StatisticsStore();
  StatisticsStore(const StatisticsStore&) = delete;
  StatisticsStore& operator=(const StatisticsStore&) = delete;

  // Waits until the record has been read, at most so many seconds.
  void wait_for_read(double seconds);
  // What was read, once; nothing before it has been read.
  std::optional<RecordReadResult> take_read_result();
  // Hands over a record to be written. One that is still pending is replaced.
  void write(std::string encoded);
  void begin_trial(int failed_starts);
  void end_trial();
  // The error of the latest write, once after each change; an empty text where writing works again.
  std::optional<std::string> take_write_error();
  // Successful writes.
  std::uint64_t write_count() const;

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
  std::thread thread_;
};

}  // namespace damsonspoke::statistics
