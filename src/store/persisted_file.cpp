#include "store/persisted_file.h"

#include <chrono>
#include <condition_variable>
#include <exception>
#include <mutex>
#include <utility>

#include "store/worker_thread.h"

namespace damsonspoke::store {
struct PersistedFile::Shared : WorkerThreadState {
  std::optional<ChecksummedContent> found;
  std::optional<std::string> to_write, trouble;
  std::string last_trouble;
  std::uint64_t written = 0;

  void run(const FileSystemFactory& make_file_system, const std::string& name, std::uint32_t format_version,
           std::size_t max_bytes) {
    const std::unique_ptr<FileSystem> disk = make_file_system();
    ChecksummedFile file(*disk, name, format_version, max_bytes);
    ChecksummedContent read = file.read().content;
    std::unique_lock guard(mutex);
    found = std::move(read);
    for (;;) {
      changed.notify_all();
      changed.wait(guard, [this] { return closing || to_write; });
      if (!to_write) return;  // closing, and nothing is left
      const std::string content = *std::exchange(to_write, std::nullopt);
      guard.unlock();
      const bool good = disk->try_lock() && file.write(content);
      const std::string why = good ? std::string() : disk->last_error();
      guard.lock();
      written += good;
      if (why != last_trouble) trouble = last_trouble = why;
    }
  }
  void end(const char* why) {
    const std::lock_guard guard(mutex);
    ended = true;
    if (why != nullptr) trouble = why;
    changed.notify_all();
  }
};

PersistedFile::PersistedFile(FileSystemFactory make_file_system, std::string name,
                             std::uint32_t format_version, std::size_t max_bytes)
    : shared_(std::make_shared<Shared>()) {
  thread_ = std::thread([shared = shared_, make = std::move(make_file_system), name = std::move(name),
                         format_version, max_bytes] {
    try {
      shared->run(make, name, format_version, max_bytes);
      shared->end(nullptr);
    } catch (const std::exception& error) {
      shared->end(error.what());
    }
  });
}

PersistedFile::~PersistedFile() { stop_worker_thread(*shared_, thread_); }

std::optional<ChecksummedContent> PersistedFile::read(double seconds) {
  std::unique_lock guard(shared_->mutex);
  shared_->changed.wait_for(guard, std::chrono::duration<double>(seconds),
                            [this] { return shared_->found.has_value() || shared_->ended; });
  return shared_->found;
}

void PersistedFile::write(std::string content) {
  const std::lock_guard guard(shared_->mutex);
  shared_->to_write = std::move(content);
  shared_->changed.notify_all();
}

std::optional<std::string> PersistedFile::take_write_error() {
  const std::lock_guard guard(shared_->mutex);
  return std::exchange(shared_->trouble, std::nullopt);
}
std::uint64_t PersistedFile::write_count() const {
  const std::lock_guard guard(shared_->mutex);
  return shared_->written;
}

}  // namespace damsonspoke::store
