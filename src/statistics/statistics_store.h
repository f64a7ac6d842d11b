// Stores learned statistics on disk: reads the record of an earlier process once, and writes the record of
// this process periodically.
//
// A start with a record is on trial until end_trial() is called. The number of starts whose trial did not end
// is stored beside the record, so that a record that makes servers fail is no longer used.
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
  kNoRecord,  // the checksum is valid, but the content is not a statistics record
};
std::string_view text_of(ReadProblem problem);

struct RecordReadResult {
  std::optional<StatisticsRecord> record;
  int failed_starts = 0;  // starts with this record whose trial did not end
  ReadProblem problem = ReadProblem::kNone;
  bool is_previous = false;  // the current generation was unusable; this is the previous one
};

// Accesses the files synchronously. Used by StatisticsStore, by commands and by tests.
class StatisticsFolder {
 public:
  explicit StatisticsFolder(store::FileSystem& file_system)
      : file_system_(file_system), file_(file_system, "knowledge", kRecordFormatVersion, kMaxRecordBytes) {}

  RecordReadResult read();
  // Records that a start with the record has begun. Until end_trial() is called, read() returns
  // `failed_starts`.
  void begin_trial(int failed_starts);
  void end_trial();
  // Returns false if the record could not be written or another process holds the folder's lock.
  bool write(const StatisticsRecord& record);
  bool write_encoded(std::string_view encoded);
  // Removes the record, its previous generation and the trial.
  void remove();

 private:
  store::FileSystem& file_system_;
  store::ChecksummedFile file_;
};

// Accesses the files on a worker thread, since file operations may hang. Only wait_for_read() blocks.
class StatisticsStore {
 public:
  // Called on the worker thread, since opening a folder may also hang.
  using FileSystemFactory = std::function<std::unique_ptr<store::FileSystem>()>;

  explicit StatisticsStore(FileSystemFactory make_file_system);
  // Waits briefly for a pending write; see store::stop_worker_thread().
  ~StatisticsStore();
  StatisticsStore(const StatisticsStore&) = delete;
  StatisticsStore& operator=(const StatisticsStore&) = delete;

  // Waits until the record has been read, for at most `seconds`.
  void wait_for_read(double seconds);
  // Returns the result of reading the record, once; nullopt while it has not been read.
  std::optional<RecordReadResult> take_read_result();
  // Queues a record to be written. Replaces a record that is still queued.
  void write(std::string encoded);
  void begin_trial(int failed_starts);
  void end_trial();
  // Returns the error of the latest write, once after each change; an empty string if writing succeeds again.
  std::optional<std::string> take_write_error();
  // The number of successful writes.
  std::uint64_t write_count() const;

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
  std::thread thread_;
};

}  // namespace damsonspoke::statistics
