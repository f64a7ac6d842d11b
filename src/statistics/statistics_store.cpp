#include "statistics/statistics_store.h"

#include <charconv>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <mutex>
#include <utility>

#include "store/worker_thread.h"

namespace damsonspoke::statistics {
namespace {

constexpr const char* kTrialFile = "knowledge.trial";
constexpr std::size_t kMaxTrialBytes = 16;
constexpr int kMaxFailedStarts = 1000;

ReadProblem read_problem_of(store::ChecksumProblem problem) {
  switch (problem) {
    case store::ChecksumProblem::kNone: return ReadProblem::kNone;
    case store::ChecksumProblem::kMissing: return ReadProblem::kMissing;
    case store::ChecksumProblem::kCorrupt: return ReadProblem::kCorrupt;
    case store::ChecksumProblem::kUnrecognized: return ReadProblem::kUnrecognized;
    case store::ChecksumProblem::kNewerFormat: return ReadProblem::kNewerFormat;
  }
  return ReadProblem::kCorrupt;
}

// A trial file that cannot be parsed counts as one failed start.
int parse_failed_starts(const std::string& text) {
  int failed_starts = 0;
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), failed_starts);
  const bool is_valid = error == std::errc() && failed_starts >= 0 && failed_starts <= kMaxFailedStarts;
  return is_valid ? failed_starts : 1;
}

}  // namespace

std::string_view text_of(ReadProblem problem) {
  switch (problem) {
    case ReadProblem::kNone: return "";
    case ReadProblem::kMissing: return "no record found";
    case ReadProblem::kCorrupt: return text_of(store::ChecksumProblem::kCorrupt);
    case ReadProblem::kUnrecognized: return text_of(store::ChecksumProblem::kUnrecognized);
    case ReadProblem::kNewerFormat: return text_of(store::ChecksumProblem::kNewerFormat);
    case ReadProblem::kNoRecord: return "checksum valid, but the content is not a statistics record";
  }
  return "";
}

// ---- The files.

RecordReadResult StatisticsFolder::read() {
  RecordReadResult read_result;
  const store::ChecksummedFile::ReadResult result = file_.read();
  read_result.is_previous = result.is_previous;
  read_result.problem = read_problem_of(result.content.problem);
  if (read_result.problem != ReadProblem::kNone) return read_result;
  read_result.record = decode(result.content.content);
  if (!read_result.record) read_result.problem = ReadProblem::kNoRecord;
  const std::optional<std::string> trial = file_system_.read(kTrialFile, kMaxTrialBytes);
  if (trial) read_result.failed_starts = parse_failed_starts(*trial);
  return read_result;
}

void StatisticsFolder::begin_trial(int failed_starts) {
  const std::string temporary = std::string(kTrialFile) + ".new";
  const bool is_renamed = file_system_.write(temporary, std::to_string(failed_starts)) &&
                          file_system_.sync(temporary) && file_system_.rename(temporary, kTrialFile);
  if (is_renamed) file_system_.sync_folder();
}

void StatisticsFolder::end_trial() {
  if (file_system_.exists(kTrialFile) && file_system_.remove(kTrialFile)) file_system_.sync_folder();
}

bool StatisticsFolder::write(const StatisticsRecord& record) { return write_encoded(encode(record)); }

bool StatisticsFolder::write_encoded(std::string_view encoded) {
  return file_system_.try_lock() && file_.write(encoded);
}

void StatisticsFolder::remove() {
  file_.remove();
  end_trial();
}

// ---- The worker thread.

struct StatisticsStore::Shared : store::WorkerThreadState {
  // Work that is queued for the thread; guarded by the mutex.
  struct Pending {
    std::optional<int> trial_to_begin;
    bool ends_trial = false;
    std::optional<std::string> record;

    [[nodiscard]] bool is_empty() const { return !trial_to_begin && !ends_trial && !record; }
  };

  std::optional<RecordReadResult> read_result;
  Pending pending;
  std::optional<std::string> unreported_error;
  std::string last_error;
  std::uint64_t write_count = 0;

  void run(store::FileSystem& file_system) {
    StatisticsFolder folder(file_system);
    RecordReadResult first = folder.read();
    std::unique_lock guard(mutex);
    read_result = std::move(first);
    for (;;) {
      changed.notify_all();
      changed.wait(guard, [this] { return closing || !pending.is_empty(); });
      if (pending.is_empty()) return;
      const Pending work = std::exchange(pending, {});
      guard.unlock();
      if (work.trial_to_begin) folder.begin_trial(*work.trial_to_begin);
      if (work.ends_trial) folder.end_trial();
      const bool is_written = work.record && folder.write_encoded(*work.record);
      const std::string error =
          work.record && !is_written ? text_of(file_system.last_error()) : std::string();
      guard.lock();
      if (work.record) report_write(is_written, error);
    }
  }

  void report_write(bool is_written, const std::string& error) {
    if (is_written) ++write_count;
    if (error == last_error) return;
    last_error = error;
    unreported_error = error;
  }

  void finish() {
    const std::lock_guard guard(mutex);
    ended = true;
    changed.notify_all();
  }
};

StatisticsStore::StatisticsStore(FileSystemFactory make_file_system) : shared_(std::make_shared<Shared>()) {
  thread_ = std::thread([shared = shared_, make_file_system = std::move(make_file_system)] {
    try {
      shared->run(*make_file_system());
    } catch (const std::exception& error) {
      std::fprintf(stderr, "damsonspoke: knowledge: worker thread failed: %s\n", error.what());
    }
    shared->finish();
  });
}

StatisticsStore::~StatisticsStore() { store::stop_worker_thread(*shared_, thread_); }

void StatisticsStore::wait_for_read(double seconds) {
  std::unique_lock guard(shared_->mutex);
  shared_->changed.wait_for(guard, std::chrono::duration<double>(seconds),
                            [this] { return shared_->read_result.has_value() || shared_->ended; });
}

std::optional<RecordReadResult> StatisticsStore::take_read_result() {
  const std::lock_guard guard(shared_->mutex);
  return std::exchange(shared_->read_result, std::nullopt);
}

void StatisticsStore::write(std::string encoded) {
  const std::lock_guard guard(shared_->mutex);
  shared_->pending.record = std::move(encoded);
  shared_->changed.notify_all();
}

void StatisticsStore::begin_trial(int failed_starts) {
  const std::lock_guard guard(shared_->mutex);
  shared_->pending.trial_to_begin = failed_starts;
  shared_->changed.notify_all();
}

void StatisticsStore::end_trial() {
  const std::lock_guard guard(shared_->mutex);
  shared_->pending.ends_trial = true;
  shared_->changed.notify_all();
}

std::optional<std::string> StatisticsStore::take_write_error() {
  const std::lock_guard guard(shared_->mutex);
  return std::exchange(shared_->unreported_error, std::nullopt);
}

std::uint64_t StatisticsStore::write_count() const {
  const std::lock_guard guard(shared_->mutex);
  return shared_->write_count;
}

}  // namespace damsonspoke::statistics
