// An event loop: POCO's reactor with timers, signals and tasks for the next iteration.
#pragma once

#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/SocketReactor.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace damsonspoke::net {

using Task = std::function<void()>;

class LingeringClose;

double monotonic_now();  // s
double unix_now();       // s

class Reactor : public Poco::Net::SocketReactor {
 public:
  struct TimerId {
    double when = 0;
    std::uint64_t number = 0;  // 0: no timer
  };

  Reactor();
  Reactor(const Reactor&) = delete;
  Reactor& operator=(const Reactor&) = delete;
  ~Reactor() override;

  // Timer tasks run after each poll, whether sockets were ready or not, in the order of their times.
  TimerId at(double when, Task task);
  TimerId after(double seconds, Task task) { return at(monotonic_now() + seconds, std::move(task)); }
  // Runs the task in the next event-loop iteration, outside of the current callback.
  void post(Task task) { at(monotonic_now(), std::move(task)); }
  void cancel(TimerId& timer);
  // May be called from any thread: the task runs on the thread of the reactor, after the next poll. The
  // reactor has to outlive the caller.
  void post_from_other_thread(Task task);

  // Sockets that this side has shut down and whose peers have not closed yet; the oldest first. See
  // net/lingering_close.h.
  std::list<std::shared_ptr<LingeringClose>>& lingering_closes() { return lingering_closes_; }

  // Runs the task on the thread of the reactor when the signal arrives. Only one reactor of a process may
  // handle signals.
  void on_signal(int signal, Task task);

 protected:
  void onTimeout() override { run_due_tasks(); }
  void onBusy() override { run_due_tasks(); }
  void onIdle() override { run_due_tasks(); }

 private:
  void run_due_tasks();
  void update_poll_timeout();
  void on_wake_byte(Poco::Net::ReadableNotification* notification);

  std::map<std::pair<double, std::uint64_t>, Task> timers_;
  std::uint64_t next_number_ = 1;
  std::map<int, Task> signals_;
  std::mutex cross_thread_mutex_;
  std::vector<Task> cross_thread_tasks_;  // guarded by the mutex
  std::list<std::shared_ptr<LingeringClose>> lingering_closes_;
  int wake_fds_[2] = {-1, -1};
  Poco::Net::StreamSocket wake_;
};

// Runs a callback and writes any exception that it throws to standard error.
void run_guarded(const char* where, const Task& task);

}  // namespace damsonspoke::net
