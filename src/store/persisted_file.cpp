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

  void run(const MakeDisk& make_disk, const std::string& name, std::uint32_t form, std::size_t most) {
    const std::unique_ptr<FileSystem> disk = make_disk();
    ChecksummedFile file(*disk, name, form, most);
    ChecksummedContent read = file.read().newest;
    std::unique_lock guard(lock);
    found = std::move(read);
    for (;;) {
      changed.notify_all();
      changed.wait(guard, [this] { return closing || to_write; });
      if (!to_write) return;  // closing, and nothing is left
      const std::string content = *std::exchange(to_write, std::nullopt);
      guard.unlock();
      const bool good = disk->lock() && file.write(content);
      const std::string why = good ? std::string() : disk->why();
      guard.lock();
      written += good;
      if (why != last_trouble) trouble = last_trouble = why;
    }
  }
  void end(const char* why) {
    const std::lock_guard guard(lock);
    ended = true;
    if (why != nullptr) trouble = why;
    changed.notify_all();
  }
};

PersistedFile::PersistedFile(MakeDisk make_disk, std::string name, std::uint32_t form, std::size_t most)
    : shared_(std::make_shared<Shared>()) {
  thread_ = std::thread([shared = shared_, make = std::move(make_disk), name = std::move(name), form, most] {
    try {
      shared->run(make, name, form, most);
      shared->end(nullptr);
    } catch (const std::exception& error) {
      shared->end(error.what());
    }
  });
}

PersistedFile::~PersistedFile() { stop_worker_thread(*shared_, thread_); }

std::optional<ChecksummedContent> PersistedFile::read(double seconds) {
  std::unique_lock guard(shared_->lock);
  shared_->changed.wait_for(guard, std::chrono::duration<double>(seconds),
                            [this] { return shared_->found.has_value() || shared_->ended; });
  return shared_->found;
}

void PersistedFile::write(std::string content) {
  const std::lock_guard guard(shared_->lock);
  shared_->to_write = std::move(content);
  shared_->changed.notify_all();
}

std::optional<std::string> PersistedFile::take_trouble() {
  const std::lock_guard guard(shared_->lock);
  return std::exchange(shared_->trouble, std::nullopt);
}
std::uint64_t PersistedFile::written() const {
  const std::lock_guard guard(shared_->lock);
  return shared_->written;
}

}  // namespace damsonspoke::store
