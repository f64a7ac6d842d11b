// A source that reads on a thread of its own, so that a folder that does not respond blocks nobody.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "catalog/source.h"

namespace damsonspoke::catalog {

class ThreadedSource final : public Source {
 public:
  // `on_ready`: called on the thread when a chunk was read, never after the destructor.
  ThreadedSource(std::unique_ptr<Source> source, std::function<void()> on_ready);
  // Detaches a thread that does not end (store::stop_worker_thread).
  ~ThreadedSource() override;
  ThreadedSource(const ThreadedSource&) = delete;
  ThreadedSource& operator=(const ThreadedSource&) = delete;

  void request(const std::string& name, std::uint64_t offset, std::size_t max_bytes) override;
  std::optional<FileChunk> take() override;
  // Blocks until a chunk was read; false when none is there after `seconds`.
  [[nodiscard]] bool wait(double seconds);

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
  std::thread thread_;
};

}  // namespace damsonspoke::catalog
