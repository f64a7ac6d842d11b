// A source whose reading is done by a thread of its own. Guards against a folder that hangs: whoever serves
// meanwhile waits for nothing.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "catalog/source.h"

namespace damsonspoke::catalog {

class ThreadedSource final : public Source {
 public:
  // `on_ready`: called on that thread when a piece has come, never after this one's end.
  ThreadedSource(std::unique_ptr<Source> source, std::function<void()> on_ready);
  // A thread that hangs is left behind after 0.2 s.
  ~ThreadedSource() override;
  ThreadedSource(const ThreadedSource&) = delete;
  ThreadedSource& operator=(const ThreadedSource&) = delete;

  void request(const std::string& name, std::uint64_t offset, std::size_t most) override;
  std::optional<FileChunk> take() override;
  // For who has nothing else to do: false where no piece comes within `seconds`.
  bool wait(double seconds);

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
  std::thread thread_;
};

}  // namespace damsonspoke::catalog
