// How an owner stops a worker thread that may hang in a system call, for example on a folder that does not
// answer: the thread gets a short time to finish and is detached after that.
#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace damsonspoke::store {

// State that owner and thread share, to be held by a std::shared_ptr in both: either may end first. Derived
// classes add what is handed over; `mutex` guards that too.
struct WorkerThreadState {
  std::mutex mutex;
  std::condition_variable changed;
  bool closing = false;  // the thread shall finish its pending work and end
  bool ended = false;    // the thread no longer uses anything of its owner
};

inline constexpr std::chrono::milliseconds kWorkerStopTimeout{200};

// Asks the thread to end and waits for it. Returns false where it did not end in time and was detached.
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
