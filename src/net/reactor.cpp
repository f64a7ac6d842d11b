#include "net/reactor.h"

#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Observer.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <stdexcept>

#include "net/lingering_close.h"

namespace damsonspoke::net {
namespace {

constexpr double kMaxPollSeconds = 0.25;      // of a poll without timers
constexpr int kMaxTasksPerIteration = 10000;  // sockets are served in between

int signal_fd = -1;

void write_signal_byte(int signal) {
  const int saved_errno = errno;
  const char byte = static_cast<char>(signal);
  const ssize_t wrote = ::send(signal_fd, &byte, 1, MSG_DONTWAIT | MSG_NOSIGNAL);
  static_cast<void>(wrote);  // a full buffer means that the thread will wake anyway
  errno = saved_errno;
}

}  // namespace

double monotonic_now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
double unix_now() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void run_guarded(const char* where, const Task& task) {
  try {
    task();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "damsonspoke: %s: %s\n", where, error.what());
  } catch (...) {
    std::fprintf(stderr, "damsonspoke: %s: an object that is not a std::exception was thrown\n", where);
  }
}

Reactor::Reactor() {
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, wake_fds_) != 0)
    throw std::runtime_error("cannot create a socket pair");
  wake_ = Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(wake_fds_[0]));
  addEventHandler(wake_,
                  Poco::Observer<Reactor, Poco::Net::ReadableNotification>(*this, &Reactor::on_wake_byte));
  update_poll_timeout();
}

Reactor::~Reactor() {
  lingering_closes_.clear();
  for (const auto& [signal, task] : signals_) ::signal(signal, SIG_DFL);
  removeEventHandler(wake_,
                     Poco::Observer<Reactor, Poco::Net::ReadableNotification>(*this, &Reactor::on_wake_byte));
  signal_fd = -1;
  ::close(wake_fds_[1]);
}

Reactor::TimerId Reactor::at(double when, Task task) {
  const TimerId timer{when, next_number_++};
  timers_.emplace(std::make_pair(when, timer.number), std::move(task));
  if (timers_.begin()->first.second == timer.number) update_poll_timeout();
  return timer;
}

void Reactor::cancel(TimerId& timer) {
  if (timer.number != 0) timers_.erase({timer.when, timer.number});
  timer.number = 0;
}

void Reactor::post_from_other_thread(Task task) {
  bool first = false;
  {
    const std::lock_guard lock(cross_thread_mutex_);
    first = cross_thread_tasks_.empty();
    cross_thread_tasks_.push_back(std::move(task));
  }
  if (!first) return;   // woken already
  const char byte = 0;  // not a signal number
  const ssize_t wrote = ::send(wake_fds_[1], &byte, 1, MSG_DONTWAIT | MSG_NOSIGNAL);
  static_cast<void>(wrote);  // a full buffer means that the thread will wake anyway
}

void Reactor::run_due_tasks() {
  const double now = monotonic_now();
  // Tasks that are added meanwhile wait for the next iteration, even if they are due now, so that sockets
  // are served in between.
  const std::uint64_t first_new = next_number_;
  for (int i = 0; i < kMaxTasksPerIteration && !timers_.empty() && timers_.begin()->first.first <= now; ++i) {
    if (timers_.begin()->first.second >= first_new) break;
    Task task = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    run_guarded("timer", task);
  }
  update_poll_timeout();
}

// Rounded up to whole milliseconds, the unit of the poll: rounding down would make the loop spin until the
// time is reached.
void Reactor::update_poll_timeout() {
  double wait = kMaxPollSeconds;
  if (!timers_.empty())
    wait = std::clamp(timers_.begin()->first.first - monotonic_now(), 0.0, kMaxPollSeconds);
  setTimeout(Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(std::ceil(wait * 1000)) * 1000));
}

void Reactor::on_signal(int signal, Task task) {
  signals_[signal] = std::move(task);
  signal_fd = wake_fds_[1];
  struct sigaction action {};
  action.sa_handler = write_signal_byte;
  action.sa_flags = SA_RESTART;
  ::sigaction(signal, &action, nullptr);
}

void Reactor::on_wake_byte(Poco::Net::ReadableNotification* notification) {
  notification->release();
  char bytes[64];
  const ssize_t got = ::recv(wake_fds_[0], bytes, sizeof bytes, MSG_DONTWAIT);
  for (ssize_t i = 0; i < got; ++i) {
    const auto found = signals_.find(bytes[i]);
    if (found != signals_.end()) run_guarded("signal", found->second);
  }
  std::vector<Task> tasks;
  {
    const std::lock_guard lock(cross_thread_mutex_);
    tasks.swap(cross_thread_tasks_);
  }
  for (const Task& task : tasks) run_guarded("another thread's task", task);
}

}  // namespace damsonspoke::net
