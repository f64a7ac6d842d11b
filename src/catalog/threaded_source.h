// A source that reads on a separate thread, so that a folder that does not respond can't block the event
// loop.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "catalog/source.h"

namespace damsonspoke::catalog {

class ThreadedSource final : public Source {
 public:
  // `on_ready`: called on that thread when a chunk was read; never after the destructor.
  ThreadedSource(std::unique_ptr<Source> source, std::function<void()> on_ready);
  // Detaches the thread if it does not end (store::stop_worker_thread).
  ~ThreadedSource() override;
  ThreadedSource(const ThreadedSource&) = delete;
  ThreadedSource& operator=(const ThreadedSource&) = delete;

  void request(const std::string& name, std::uint64_t offset, std::size_t max_bytes) override;
  std::optional<FileChunk> take() override;
  // Blocks until a chunk was read. Returns false if none was read within `seconds`.
  [[nodiscard]] bool wait(double seconds);

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
  std::thread thread_;
};

}  // namespace damsonspoke::catalog
