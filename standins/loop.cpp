#include "loop.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <stdexcept>
#include <vector>

namespace damsonspoke::standins {
namespace {

constexpr int kMaxTimersPerIteration = 1000;  // bounds the time until sockets are polled again
constexpr double kMaxWaitSeconds = 0.01;      // until the condition of run_until() is checked again

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

int bound_socket(int kind, std::uint16_t& port) {
  const int fd = ::socket(AF_INET, kind | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address = loopback(port);
  const int on = 1;  // a requested port may still be in TIME_WAIT
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  socklen_t size = sizeof address;
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0)
    throw std::runtime_error("loopback port not available");
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

}  // namespace

double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
double unix_now() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

int listening_socket(std::uint16_t& port) {
  const int fd = bound_socket(SOCK_STREAM, port);
  if (::listen(fd, 256) != 0) throw std::runtime_error("cannot listen on loopback");
  return fd;
}
int datagram_socket(std::uint16_t& port) { return bound_socket(SOCK_DGRAM, port); }

int accepted_socket(int listener) {
  const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  const int on = 1;
  if (fd >= 0) ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

namespace {

// Whether a started connect succeeds in time.
bool is_connected_within(int fd, double timeout_seconds) {
  pollfd connecting{fd, POLLOUT, 0};
  if (::poll(&connecting, 1, static_cast<int>(timeout_seconds * 1000)) <= 0) return false;
  int error = 0;
  socklen_t size = sizeof error;
  return ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
}

}  // namespace

int connected_socket(std::uint16_t port, const std::string& from, ConnectOptions options) {
  const int non_blocking = options.timeout > 0 ? SOCK_NONBLOCK : 0;
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | non_blocking, 0);
  const sockaddr_in address = loopback(port);
  sockaddr_in mine = loopback(0);
  ::inet_pton(AF_INET, from.c_str(), &mine.sin_addr);
  const int bytes = options.receive_bytes;
  if (fd >= 0 && bytes > 0) ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  bool is_connected = fd >= 0 && ::bind(fd, reinterpret_cast<const sockaddr*>(&mine), sizeof mine) == 0;
  if (is_connected && ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    is_connected = non_blocking != 0 && errno == EINPROGRESS && is_connected_within(fd, options.timeout);
  if (!is_connected) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
  return fd;
}

void Loop::watch(int fd, std::function<void()> on_readable) { watched_[fd] = std::move(on_readable); }

void Loop::forget(int fd) {
  watched_.erase(fd);
  unsent_.erase(fd);
}

void Loop::send(int fd, const std::string& bytes) {
  std::string& waiting = unsent_[fd];
  waiting += bytes;
  const ssize_t wrote = ::send(fd, waiting.data(), waiting.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (wrote > 0) waiting.erase(0, static_cast<std::size_t>(wrote));
  if (waiting.empty()) unsent_.erase(fd);
}

std::size_t Loop::unsent(int fd) const {
  const auto found = unsent_.find(fd);
  return found == unsent_.end() ? 0 : found->second.size();
}

void Loop::at(double time, std::function<void()> task) { timers_.emplace(time, std::move(task)); }

void Loop::run_iteration(double max_wait) {
  std::vector<pollfd> fds;
  for (const auto& [fd, task] : watched_) {
    const bool has_unsent = unsent_.contains(fd);
    // A socket that is not read is polled only while it has output: otherwise the end of its stream would
    // wake the loop continuously.
    if (task || has_unsent)
      fds.push_back({fd, static_cast<short>((task ? POLLIN : 0) | (has_unsent ? POLLOUT : 0)), 0});
  }
  double wait = max_wait;
  if (!timers_.empty()) wait = std::clamp(timers_.begin()->first - now(), 0.0, max_wait);
  timespec time{static_cast<time_t>(wait), static_cast<long>(std::fmod(wait, 1.0) * 1e9)};
  ::ppoll(fds.data(), fds.size(), &time, nullptr);
  for (const pollfd& ready : fds)
    serve(ready.fd, (ready.revents & POLLOUT) != 0, (ready.revents & ~POLLOUT) != 0);
  call_due_timers();
}

void Loop::serve(int fd, bool is_writable, bool is_readable) {
  if (is_writable && unsent_.contains(fd)) send(fd, "");
  const auto found = watched_.find(fd);
  if (!is_readable || found == watched_.end()) return;
  if (!found->second) {  // not read, and broken: its output can't be sent
    unsent_.erase(fd);
    return;
  }
  const std::function<void()> task = found->second;  // it may call forget() on its own socket
  task();
}

void Loop::call_due_timers() {
  for (int i = 0; i < kMaxTimersPerIteration && !timers_.empty() && timers_.begin()->first <= now(); ++i) {
    const auto first = timers_.extract(timers_.begin());
    first.mapped()();
  }
}

bool Loop::run_until(const std::function<bool()>& is_done, double timeout_seconds) {
  const double until = now() + timeout_seconds;
  while (!is_done()) {
    if (now() >= until) return false;
    run_iteration(kMaxWaitSeconds);
  }
  return true;
}

void Loop::run_for(double seconds) {
  const double until = now() + seconds;
  run_until([&] { return now() >= until; }, seconds + 1);
}

}  // namespace damsonspoke::standins
