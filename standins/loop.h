// The stand-ins' one thread: a poll over their sockets, with timers. Apart from the program's reactor on
// purpose: what is tested does not test itself.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace damsonspoke::standins {

// Monotonic time, in s.
double now();
// Time since the Unix epoch, in s.
double unix_now();

// Sockets on loopback, all non-blocking; a port of 0 is one that the system picks and that is set. The first
// two throw std::runtime_error where the port can't be had.
int listening_socket(std::uint16_t& port);
int datagram_socket(std::uint16_t& port);
// The next connection of a listener; -1 where there is none.
int accepted_socket(int listener);
struct ConnectOptions {
  int receive_bytes = 0;  // of its buffer in the system; 0: as it is set there
  double timeout = 0;     // s, after which it counts as refused; 0: as long as the system waits
};
// Connects from an address of 127.0.0.0/8 and waits until that is done; -1 where it is refused.
int connected_socket(std::uint16_t port, const std::string& from = "127.0.0.1", ConnectOptions options = {});

// Sockets that are watched, bytes that wait to be sent, and timers. Nothing happens but in run_until() and
// run_for(). Descriptors stay their owners', who call forget() before they close one.
class Loop {
 public:
  // Calls `on_readable` whenever the socket has bytes, a connection or its end to read.
  void watch(int fd, std::function<void()> on_readable);
  // Neither reads nor sends any more; what was not sent yet is dropped.
  void forget(int fd);
  // Reads no more from the socket; what waits to be sent still goes.
  void stop_reading(int fd) { watched_[fd] = nullptr; }
  // Bytes that wait for the peer to take them.
  std::size_t unsent(int fd) const;
  // Sends at once what the system takes, the rest when it can.
  void send(int fd, const std::string& bytes);
  // Calls `task` at a monotonic time, or after so many seconds.
  void at(double time, std::function<void()> task);
  void after(double seconds, std::function<void()> task) { at(now() + seconds, std::move(task)); }
  // Runs until `is_enough` says so; false when so many seconds pass first.
  bool run_until(const std::function<bool()>& is_done, double timeout_seconds);
  void run_for(double seconds);

 private:
  // Waits for sockets and timers, so many seconds at most, and serves them.
  void run_iteration(double max_wait);
  void serve(int fd, bool is_writable, bool is_readable);
  void call_due_timers();

  std::map<int, std::function<void()>> watched_;  // an empty function: mute
  std::map<int, std::string> unsent_;
  std::multimap<double, std::function<void()>> timers_;  // by monotonic time
};

}  // namespace damsonspoke::standins
