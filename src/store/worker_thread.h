// A thread beside the reactor's that may hang in the system, on a folder that does not answer: how it is told
// to end, and left behind where it does not.
#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace damsonspoke::store {

// What owner and thread share; it outlives whichever of them ends first.
struct WorkerThreadState {
  std::mutex mutex;  // of everything here, and of what is added to it
  std::condition_variable changed;
  bool closing = false;  // the thread is to end
  bool ended = false;    // it touches nothing of its owner any more
};

// Waits for the thread for at most 0.2 s, for the work in hand. False: it was left behind.
inline bool stop_worker_thread(WorkerThreadState& state, std::thread& thread) {
  constexpr auto kPatience = std::chrono::milliseconds(200);
  std::unique_lock guard(state.mutex);
  state.closing = true;
  state.changed.notify_all();
  const bool ended = state.changed.wait_for(guard, kPatience, [&] { return state.ended; });
  guard.unlock();
  ended ? thread.join() : thread.detach();
  return ended;
}

}  // namespace damsonspoke::store
