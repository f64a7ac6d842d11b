#include "store/persisted_file.h"

#include <chrono>
#include <condition_variable>
#include <exception>
#include <mutex>
#include <utility>

#include "store/worker_thread.h"

namespace damsonspoke::store {

struct PersistedFile::Shared : WorkerThreadState {
  std::optional<ChecksummedContent> initial_content;
  std::optional<std::string> pending_content;
  std::optional<std::string> unreported_error;
  std::string last_error;
  std::uint64_t write_count = 0;

  void run(FileSystem& file_system, ChecksummedFile file) {
    ChecksummedContent content = file.read().content;
    std::unique_lock guard(mutex);
    initial_content = std::move(content);
    for (;;) {
      changed.notify_all();
      changed.wait(guard, [this] { return closing || pending_content; });
      if (!pending_content) return;
      const std::string pending = *std::exchange(pending_content, std::nullopt);
      guard.unlock();
      const bool is_written = file_system.try_lock() && file.write(pending);
      const std::string error = is_written ? std::string() : text_of(file_system.last_error());
      guard.lock();
      if (is_written) ++write_count;
      if (error == last_error) continue;
      last_error = error;
      unreported_error = error;
    }
  }

  void finish(const char* error) {
    const std::lock_guard guard(mutex);
    ended = true;
    if (error != nullptr) unreported_error = error;
    changed.notify_all();
  }
};

PersistedFile::PersistedFile(FileSystemFactory make_file_system, std::string name,
                             std::uint32_t format_version, std::size_t max_bytes)
    : shared_(std::make_shared<Shared>()) {
  thread_ = std::thread([shared = shared_, make_file_system = std::move(make_file_system),
                         name = std::move(name), format_version, max_bytes] {
    try {
      const std::unique_ptr<FileSystem> file_system = make_file_system();
      shared->run(*file_system, ChecksummedFile(*file_system, name, format_version, max_bytes));
      shared->finish(nullptr);
    } catch (const std::exception& error) {
      shared->finish(error.what());
    }
  });
}

PersistedFile::~PersistedFile() { stop_worker_thread(*shared_, thread_); }

std::optional<ChecksummedContent> PersistedFile::read(double seconds) {
  std::unique_lock guard(shared_->mutex);
  shared_->changed.wait_for(guard, std::chrono::duration<double>(seconds),
                            [this] { return shared_->initial_content.has_value() || shared_->ended; });
  return shared_->initial_content;
}

void PersistedFile::write(std::string content) {
  const std::lock_guard guard(shared_->mutex);
  shared_->pending_content = std::move(content);
  shared_->changed.notify_all();
}

std::optional<std::string> PersistedFile::take_write_error() {
  const std::lock_guard guard(shared_->mutex);
  return std::exchange(shared_->unreported_error, std::nullopt);
}

std::uint64_t PersistedFile::write_count() const {
  const std::lock_guard guard(shared_->mutex);
  return shared_->write_count;
}

}  // namespace damsonspoke::store
