// The single-threaded event loop of the stand-ins: sockets and timers. Independent of the program's reactor,
// so that an error there does not hide itself in the tests.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace damsonspoke::standins {

// Monotonic time, in seconds.
double now();
// Time since the Unix epoch, in seconds.
double unix_now();

// Non-blocking loopback sockets. For port 0 the system chooses a port, which is returned in `port`. The first
// two throw std::runtime_error if the port is not available.
int listening_socket(std::uint16_t& port);
int datagram_socket(std::uint16_t& port);
// The next connection of a listener; -1 if there is none.
int accepted_socket(int listener);
struct ConnectOptions {
  int receive_bytes = 0;  // size of the receive buffer; 0: the system's default
  double timeout = 0;     // s, after which the connect fails; 0: the system's timeout
};
// Connects from an address of 127.0.0.0/8 and waits for the result; -1 if it fails.
int connected_socket(std::uint16_t port, const std::string& from = "127.0.0.1", ConnectOptions options = {});

// Watches sockets, sends buffered output and calls timers, only within run_until() and run_for(). Descriptors
// belong to the callers of this class, which call forget() before closing one.
class Loop {
 public:
  // Calls `on_readable` whenever the socket has data, a connection or the end of the stream to read.
  void watch(int fd, std::function<void()> on_readable);
  // Stops watching the socket and drops its unsent output.
  void forget(int fd);
  // Stops reading the socket; buffered output is still sent.
  void stop_reading(int fd) { watched_[fd] = nullptr; }
  // Bytes of buffered output.
  std::size_t unsent(int fd) const;
  // Sends immediately what the system accepts and buffers the rest.
  void send(int fd, const std::string& bytes);
  // Calls `task` at a monotonic time, or after a delay.
  void at(double time, std::function<void()> task);
  void after(double seconds, std::function<void()> task) { at(now() + seconds, std::move(task)); }
  // Runs until `is_done` returns true; false on a timeout.
  bool run_until(const std::function<bool()>& is_done, double timeout_seconds);
  void run_for(double seconds);

 private:
  // Waits for sockets and timers for at most `max_wait` seconds and handles them.
  void run_iteration(double max_wait);
  void serve(int fd, bool is_writable, bool is_readable);
  void call_due_timers();

  std::map<int, std::function<void()>> watched_;  // empty function: not read
  std::map<int, std::string> unsent_;
  std::multimap<double, std::function<void()>> timers_;  // by monotonic time
};

}  // namespace damsonspoke::standins
