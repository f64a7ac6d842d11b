// Who fills a relay's table: floods of connections of several shapes, from many loopback addresses, on a
// thread of their own; and newcomers that connect again and again, ask one thing, and note how long they took
// to get in.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "loop.h"

namespace damsonspoke::standins {

// Begins to connect from an address of 127.0.0.0/8; non-blocking. -1: no socket, or refused at once.
int dialled_socket(std::uint16_t port, const std::string& from);
// The n-th of many addresses, each next one in another /24.
std::string crowd_address(unsigned n);

enum class FloodShape {
  kSilent,  // connects and says nothing
  kReset,   // connects and resets
  kDrip,    // sends a request a byte a second
  kAsking,  // asks for health every half second and stays
  kJunk     // sends what is no request, over and over
};

class Flood {
 public:
  struct Options {
    FloodShape shape = FloodShape::kSilent;
    unsigned addresses = 1000;
    unsigned each = 50;   // connections that one address holds at most
    double per_s = 2000;  // new connections in all
  };
  Flood(std::uint16_t port, Options options);
  ~Flood();
  std::uint64_t dialled() const { return dialled_; }
  std::uint64_t turned_away() const { return turned_away_; }  // closed before they had been used
  std::uint64_t held() const { return held_; }

 private:
  struct Conn {
    unsigned address = 0;
    bool connected = false, answered = false;
    double next = 0;  // s, of its next bytes
    std::size_t said = 0;
  };
  void run();
  void dial(double now);
  void ready(int fd, bool writable, bool readable, bool broken);
  void speak(int fd, Conn& conn, double now);
  void drop(int fd, bool reset);

  const std::uint16_t port_;
  const Options options_;
  int poll_ = -1;
  std::map<int, Conn> conns_;
  std::vector<unsigned> held_by_;
  unsigned next_address_ = 0;
  std::atomic<bool> over_ = false;
  std::atomic<std::uint64_t> dialled_ = 0, turned_away_ = 0, held_ = 0;
  std::thread thread_;
};

// A client that comes anew every so often: in when its check is answered.
class Newcomers {
 public:
  struct Options {
    std::string from = "127.0.0.1";
    double every = 0.02;    // s
    double patience = 0.1;  // s in which it counts as in
    double stays = 0;       // s on after its answer
  };
  Newcomers(Loop& loop, std::uint16_t port, Options options);
  ~Newcomers();
  void stop() { more_ = false; }
  bool quiet() const { return open_.empty(); }
  int came() const { return came_; }
  int in_time() const { return in_time_; }
  double longest() const { return longest_; }  // s, of those that got in

 private:
  void come();
  void read(int fd);
  void end(int fd);

  Loop& loop_;
  const std::uint16_t port_;
  const Options options_;
  std::map<int, double> open_;  // since when
  std::map<int, std::string> in_;
  std::shared_ptr<bool> here_ = std::make_shared<bool>(true);  // timers may outlive this
  std::uint64_t serial_ = 0;
  std::map<int, std::uint64_t> serials_;
  bool more_ = true;
  int came_ = 0, in_time_ = 0;
  double longest_ = 0;
};

}  // namespace damsonspoke::standins
