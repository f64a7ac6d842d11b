// The one thread: POCO's reactor with timers, signals and work put off to the next turn.
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
  ~Reactor() override;

  // Tasks run after each poll, whether sockets were ready or not, in the order of their times.
  TimerId at(double when, Task task);
  TimerId after(double seconds, Task task) { return at(monotonic_now() + seconds, std::move(task)); }
  // On the next turn: for what must not happen inside the call that asks for it.
  void post(Task task) { at(monotonic_now(), std::move(task)); }
  void cancel(TimerId& timer);
  // From any thread: the task runs on this one, after the next poll. The reactor has to outlive the caller.
  void post_from_other_thread(Task task);

  // Sockets that we have ended and whose peers have not yet; the oldest first. See net/farewell.h.
  std::list<std::shared_ptr<LingeringClose>>& lingering_closes() { return lingering_closes_; }

  // Signals become tasks of this thread. One reactor a process may watch them.
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
  std::vector<Task> cross_thread_tasks_;  // under the lock
  std::list<std::shared_ptr<LingeringClose>> lingering_closes_;
  int wake_fds_[2] = {-1, -1};
  Poco::Net::StreamSocket wake_;
};

// Runs a callback so that no exception leaves it; what it throws is written to standard error.
void run_guarded(const char* where, const Task& task);

}  // namespace damsonspoke::net
