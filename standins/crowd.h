// Who fills a server's connection table: floods of connections of several shapes, from many loopback
// addresses, on a thread of their own; and newcomers that connect again and again, ask for health, and note
// how long that took.
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

// Begins to connect from an address of 127.0.0.0/8 and does not wait; -1 where there is no socket, or it is
// refused at once.
int dialled_socket(std::uint16_t port, const std::string& from);
// The n-th of many addresses, each next one in another /24.
std::string crowd_address(unsigned n);

// What each connection of a flood does.
enum class FloodShape {
  kSilent,  // connects and says nothing
  kReset,   // connects and resets
  kDrip,    // sends a request a byte a second
  kAsking,  // asks for health every half second and stays
  kJunk     // sends what is no request, over and over
};

// A flood from its construction on, until its end.
class Flood {
 public:
  struct Options {
    FloodShape shape = FloodShape::kSilent;
    unsigned addresses = 1000;
    unsigned each = 50;   // connections that one address holds at most
    double per_s = 2000;  // new connections in all
  };
  Flood(std::uint16_t port, Options options);
  Flood(const Flood&) = delete;
  Flood& operator=(const Flood&) = delete;
  ~Flood();
  // Connections that it began so far.
  std::uint64_t dialled() const { return dialled_; }
  // Connections that the server has ended so far.
  std::uint64_t turned_away() const { return turned_away_; }
  // Connections that are up now.
  std::uint64_t held() const { return held_; }

 private:
  struct Connection {
    unsigned address = 0;  // from 0
    bool is_up = false;
    double next_send_at = 0;     // s, monotonic
    std::size_t sent_bytes = 0;  // where it drips
  };
  void run();
  // Begins the connections that are due, and sends what is due on those that are up.
  void dial_due(double began, double time);
  void send_due(double time);
  void dial(double time);
  void handle(int fd, bool is_writable, bool is_readable, bool is_broken);
  void send_next(int fd, Connection& connection, double time);
  void drop(int fd, bool with_reset);

  const std::uint16_t port_;
  const Options options_;
  int poll_ = -1;
  std::map<int, Connection> connections_;  // by descriptor
  std::vector<unsigned> held_by_;          // connections, by address
  unsigned next_address_ = 0;
  std::atomic<bool> is_over_ = false;
  std::atomic<std::uint64_t> dialled_ = 0, turned_away_ = 0, held_ = 0;
  std::thread thread_;
};

// A client that connects anew every so often; it is in when its health request is answered.
class Newcomers {
 public:
  struct Options {
    std::string from = "127.0.0.1";
    double every = 0.02;    // s
    double patience = 0.1;  // s after which its answer counts as late
    double stays = 0;       // s that it stays connected after its answer
  };
  Newcomers(Loop& loop, std::uint16_t port, Options options);
  Newcomers(const Newcomers&) = delete;
  Newcomers& operator=(const Newcomers&) = delete;
  ~Newcomers();
  // Nobody comes any more; who is connected goes on.
  void stop() { comes_ = false; }
  // Whether nobody is connected.
  bool quiet() const { return began_at_.empty(); }
  // Who has come so far, and who of them was answered in time.
  int came() const { return came_; }
  int in_time() const { return in_time_; }
  // The longest time until an answer, in s.
  double longest() const { return longest_; }

 private:
  void come();
  void read(int fd);
  void end_after(int fd, double seconds);
  void end(int fd);

  Loop& loop_;
  const std::uint16_t port_;
  const Options options_;
  std::map<int, double> began_at_;  // by descriptor
  std::map<int, std::string> in_;
  std::shared_ptr<bool> is_here_ = std::make_shared<bool>(true);  // timers may outlive this
  std::uint64_t last_serial_ = 0;
  std::map<int, std::uint64_t> serials_;  // a descriptor may come again
  bool comes_ = true;
  int came_ = 0, in_time_ = 0;
  double longest_ = 0;
};

}  // namespace damsonspoke::standins
