#include "catalog/threaded_source.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <utility>

#include "store/worker_thread.h"

namespace damsonspoke::catalog {
namespace {

struct Request {
  std::string name;
  std::uint64_t offset = 0;
  std::size_t max_bytes = 0;
};

}  // namespace

// Shared by both threads, because the reading one may outlive the source.
struct ThreadedSource::Shared : store::WorkerThreadState {
  std::unique_ptr<Source> source;
  std::function<void()> on_ready;
  std::optional<Request> request;
  std::optional<FileChunk> chunk;

  void run() {
    std::unique_lock guard(mutex);
    for (;;) {
      changed.wait(guard, [this] { return closing || request; });
      if (closing) break;
      const Request current = *std::exchange(request, std::nullopt);
      guard.unlock();
      source->request(current.name, current.offset, current.max_bytes);
      std::optional<FileChunk> result = source->take();
      guard.lock();
      chunk = std::move(result);
      changed.notify_all();
      if (!closing) on_ready();
    }
    ended = true;
    changed.notify_all();
  }
};

ThreadedSource::ThreadedSource(std::unique_ptr<Source> source, std::function<void()> on_ready)
    : shared_(std::make_shared<Shared>()) {
  shared_->source = std::move(source);
  shared_->on_ready = std::move(on_ready);
  thread_ = std::thread([shared = shared_] { shared->run(); });
}

ThreadedSource::~ThreadedSource() { store::stop_worker_thread(*shared_, thread_); }

void ThreadedSource::request(const std::string& name, std::uint64_t offset, std::size_t max_bytes) {
  const std::lock_guard guard(shared_->mutex);
  shared_->chunk.reset();
  shared_->request = Request{name, offset, max_bytes};
  shared_->changed.notify_all();
}

std::optional<FileChunk> ThreadedSource::take() {
  const std::lock_guard guard(shared_->mutex);
  return std::exchange(shared_->chunk, std::nullopt);
}

bool ThreadedSource::wait(double seconds) {
  std::unique_lock guard(shared_->mutex);
  return shared_->changed.wait_for(guard, std::chrono::duration<double>(seconds),
                                   [this] { return shared_->chunk.has_value(); });
}

}  // namespace damsonspoke::catalog
