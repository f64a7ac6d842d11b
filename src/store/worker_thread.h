// Stops a worker thread that may hang in a system call, for example on a network file system that does not
// respond: the thread gets a short time to finish and is detached afterwards.
#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace damsonspoke::store {

// The state shared by the owner and the thread. Both hold it by a std::shared_ptr, since either may end
// first. Derived classes add the data that is exchanged, which is also guarded by `mutex`.
struct WorkerThreadState {
  std::mutex mutex;
  std::condition_variable changed;
  bool closing = false;  // the thread must finish its pending work and end
  bool ended = false;    // the thread no longer accesses its owner
};

inline constexpr std::chrono::milliseconds kWorkerStopTimeout{200};

// Requests the thread to end and waits for it. Returns false if it did not end in time and was detached.
inline bool stop_worker_thread(WorkerThreadState& state, std::thread& thread,
                               std::chrono::milliseconds timeout = kWorkerStopTimeout) {
  std::unique_lock guard(state.mutex);
  state.closing = true;
  state.changed.notify_all();
  const bool has_ended = state.changed.wait_for(guard, timeout, [&] { return state.ended; });
  guard.unlock();
  if (has_ended) {
    thread.join();
  } else {
    thread.detach();
  }
  return has_ended;
}

}  // namespace damsonspoke::store
