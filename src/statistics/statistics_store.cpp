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

constexpr const char* kTrial = "knowledge.trial";  // how many lives began with it and have not come through

}  // namespace

// ---- The files.
Reading StatisticsFolder::read() {
  Reading out;
  store::ChecksummedFile::ReadResult found = file_.read();
  out.older = found.is_previous;
  if (found.content.problem == store::ChecksumProblem::kMissing) return out.problem = "nothing is there", out;
  if (found.content.problem != store::ChecksumProblem::kNone)
    return out.problem = store::text_of(found.content.problem), out;
  out.record = decode(found.content.content);
  if (!out.record) out.problem = "whole, but no knowledge";
  if (const std::optional<std::string> trial = disk_.read(kTrial, 16)) {
    // What can't be read counts as one life lost: no reason to believe more.
    const auto [stop, error] = std::from_chars(trial->data(), trial->data() + trial->size(), out.starts);
    if (error != std::errc() || out.starts < 0 || out.starts > 1000) out.starts = 1;
  }
  return out;
}

void StatisticsFolder::begins(int starts) {
  const std::string aside = std::string(kTrial) + ".new";
  if (disk_.write(aside, std::to_string(starts)) && disk_.sync(aside) && disk_.rename(aside, kTrial))
    disk_.sync_folder();
}
void StatisticsFolder::came_through() {
  if (disk_.exists(kTrial) && disk_.remove(kTrial)) disk_.sync_folder();
}
bool StatisticsFolder::write(const StatisticsRecord& record) { return write_bytes(encode(record)); }
bool StatisticsFolder::write_bytes(std::string_view encoded) {
  return disk_.try_lock() && file_.write(encoded);
}
void StatisticsFolder::forget() {
  file_.remove();
  came_through();
}

// ---- The thread.
struct StatisticsStore::Shared : store::WorkerThreadState {
  std::optional<Reading> reading;
  std::optional<std::string> to_write;
  std::optional<int> to_begin;
  bool to_come_through = false;
  bool busy = true;
  std::optional<std::string> trouble;  // not told yet
  std::string last_trouble;
  std::uint64_t written = 0;

  void run(const FileSystemFactory& make_file_system) {
    const std::unique_ptr<store::FileSystem> disk = make_file_system();
    StatisticsFolder folder(*disk);
    Reading read = folder.read();
    std::unique_lock guard(mutex);
    reading = std::move(read);
    for (;;) {
      busy = false;
      changed.notify_all();
      changed.wait(guard, [this] { return closing || to_write || to_begin || to_come_through; });
      if (!to_write && !to_begin && !to_come_through) break;  // closing, and nothing is left
      const std::optional<std::string> bytes = std::exchange(to_write, std::nullopt);
      const std::optional<int> starts = std::exchange(to_begin, std::nullopt);
      const bool through = std::exchange(to_come_through, false);
      busy = true;
      guard.unlock();
      if (starts) folder.begins(*starts);
      if (through) folder.came_through();
      const bool good = !bytes || folder.write_bytes(*bytes);
      const std::string now_trouble = good ? std::string() : text_of(disk->last_error());
      guard.lock();
      if (!bytes) continue;
      if (good) ++written;
      if (now_trouble != last_trouble) trouble = last_trouble = now_trouble;
    }
    ended = true;
    changed.notify_all();
  }
};

StatisticsStore::StatisticsStore(FileSystemFactory make_file_system) : shared_(std::make_shared<Shared>()) {
  thread_ = std::thread([shared = shared_, make = std::move(make_file_system)] {
    try {
      shared->run(make);
    } catch (const std::exception& error) {
      std::fprintf(stderr, "damsonspoke: knowledge: %s\n", error.what());
      const std::lock_guard guard(shared->mutex);
      shared->ended = true;
      shared->changed.notify_all();
    }
  });
}

StatisticsStore::~StatisticsStore() { store::stop_worker_thread(*shared_, thread_); }

void StatisticsStore::wait_for_reading(double seconds) {
  std::unique_lock guard(shared_->mutex);
  shared_->changed.wait_for(guard, std::chrono::duration<double>(seconds),
                            [this] { return shared_->reading.has_value() || shared_->ended; });
}
std::optional<Reading> StatisticsStore::take_reading() {
  const std::lock_guard guard(shared_->mutex);
  return std::exchange(shared_->reading, std::nullopt);
}
void StatisticsStore::write(std::string encoded) {
  const std::lock_guard guard(shared_->mutex);
  shared_->to_write = std::move(encoded);
  shared_->changed.notify_all();
}
void StatisticsStore::begins(int starts) {
  const std::lock_guard guard(shared_->mutex);
  shared_->to_begin = starts;
  shared_->changed.notify_all();
}
void StatisticsStore::came_through() {
  const std::lock_guard guard(shared_->mutex);
  shared_->to_come_through = true;
  shared_->changed.notify_all();
}
std::optional<std::string> StatisticsStore::take_write_error() {
  const std::lock_guard guard(shared_->mutex);
  return std::exchange(shared_->trouble, std::nullopt);
}
std::uint64_t StatisticsStore::write_count() const {
  const std::lock_guard guard(shared_->mutex);
  return shared_->written;
}

}  // namespace damsonspoke::statistics
