// A reactor that a test runs for a given time, repeatedly. Between two runs it is paused, and the test may
// access the objects that belong to it. (POCO's own loop cannot be restarted once it is stopped.)
#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "net/reactor.h"

namespace damsonspoke {

// A test must call end() before it destroys objects that the reactor calls.
class SteppedReactor {
 public:
  SteppedReactor() = default;
  SteppedReactor(const SteppedReactor&) = delete;
  SteppedReactor& operator=(const SteppedReactor&) = delete;
  ~SteppedReactor() { end(); }

  // Runs the reactor for this time.
  void run_for(double seconds) {
    run_for([&] { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); });
  }
  // Runs the reactor while `meanwhile` is called on the test's own thread.
  void run_for(const std::function<void()>& meanwhile) {
    if (!thread_.joinable()) thread_ = std::thread([this] { reactor.run(); });
    resume();
    meanwhile();
    reactor.post_from_other_thread([this] { pause(); });
    std::unique_lock guard(lock_);
    changed_.wait(guard, [this] { return is_paused_; });
  }
  // Ends the reactor for good; to be called before the objects that it calls are destroyed.
  void end() {
    if (!thread_.joinable()) return;
    reactor.stop();
    resume();
    thread_.join();
  }

  net::Reactor reactor;

 private:
  void pause() {
    std::unique_lock guard(lock_);
    is_paused_ = true;
    changed_.notify_all();
    changed_.wait(guard, [this] { return !is_paused_; });
  }
  void resume() {
    const std::lock_guard guard(lock_);
    is_paused_ = false;
    changed_.notify_all();
  }

  std::thread thread_;
  std::mutex lock_;
  std::condition_variable changed_;
  bool is_paused_ = false;
};

}  // namespace damsonspoke
