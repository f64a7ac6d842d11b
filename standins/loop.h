// The stand-ins' one thread: a poll over their sockets, with timers. Apart from the program's reactor on
// purpose: what is tested does not test itself.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace damsonspoke::standins {

double now();       // s, monotonic
double unix_now();  // s

// Sockets on loopback; a port of 0 is one that the system picks.
int listening_socket(std::uint16_t& port);
int datagram_socket(std::uint16_t& port);
int accepted_socket(int listener);  // non-blocking; -1: none
struct ConnectOptions {
  int receive_bytes = 0;  // of its buffer in the system; 0: as it is set there
  double patience = 0;    // s, after which it counts as refused; 0: as long as the system waits
};
// Non-blocking from then on; -1: refused. `from`: an address of 127.0.0.0/8.
int connected_socket(std::uint16_t port, const std::string& from = "127.0.0.1", ConnectOptions options = {});

class Loop {
 public:
  void watch(int fd, std::function<void()> on_readable);
  void forget(int fd);
  // No longer read from; what is to be sent still goes.
  void mute(int fd) { watched_[fd] = nullptr; }
  std::size_t unsent(int fd) const;  // bytes that wait for the peer to take them
  // Sends now what goes, the rest when it can.
  void send(int fd, const std::string& bytes);
  void at(double time, std::function<void()> task);
  void after(double seconds, std::function<void()> task) { at(now() + seconds, std::move(task)); }
  // Goes on until it is enough; false when patience (s) ends first.
  bool run_until(const std::function<bool()>& enough, double patience);
  void run_for(double seconds);

 private:
  void turn(double longest);

  std::map<int, std::function<void()>> watched_;
  std::map<int, std::string> unsent_;
  std::multimap<double, std::function<void()>> timers_;
};

}  // namespace damsonspoke::standins
