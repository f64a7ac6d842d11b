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
int connecting_socket(std::uint16_t port, const std::string& from);
// The n-th of many addresses, each next one in another /24.
std::string flood_address(unsigned n);

// What each connection of a flood does.
enum class FloodShape {
  kSilent,          // connects and says nothing
  kReset,           // connects and resets
  kDrip,            // sends a request a byte a second
  kHealthRequests,  // asks for health every half second and stays
  kJunk             // sends what is no request, over and over
};

// A flood from its construction on, until its end.
class Flood {
 public:
  struct Options {
    FloodShape shape = FloodShape::kSilent;
    unsigned addresses = 1000;
    unsigned connections_per_address = 50;  // connections that one address holds at most
    double connections_per_second = 2000;   // new connections in all
  };
  Flood(std::uint16_t port, Options options);
  Flood(const Flood&) = delete;
  Flood& operator=(const Flood&) = delete;
  ~Flood();
  // Connections that it began so far.
  std::uint64_t dialled() const { return dialled_; }
  // Connections that the server has ended so far.
  std::uint64_t closed_by_server() const { return closed_by_server_; }
  // Connections that are up now.
  std::uint64_t open_connections() const { return open_connections_; }

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
  std::map<int, Connection> connections_;         // by descriptor
  std::vector<unsigned> connections_by_address_;  // connections, by address
  unsigned next_address_ = 0;
  std::atomic<bool> is_stopping_ = false;
  std::atomic<std::uint64_t> dialled_ = 0, closed_by_server_ = 0, open_connections_ = 0;
  std::thread thread_;
};

// A client that connects anew every so often; it is in when its health request is answered.
class ReconnectingClient {
 public:
  struct Options {
    std::string from = "127.0.0.1";
    double interval = 0.02;   // s
    double timeout = 0.1;     // s after which its answer counts as late
    double stay_seconds = 0;  // s that it stays connected after its answer
  };
  ReconnectingClient(Loop& loop, std::uint16_t port, Options options);
  ReconnectingClient(const ReconnectingClient&) = delete;
  ReconnectingClient& operator=(const ReconnectingClient&) = delete;
  ~ReconnectingClient();
  // Nobody comes any more; who is connected goes on.
  void stop() { is_connecting_ = false; }
  // Whether nobody is connected.
  bool is_idle() const { return began_at_.empty(); }
  // Who has come so far, and who of them was answered in time.
  int connects() const { return connects_; }
  int answered_in_time() const { return answered_in_time_; }
  // The longest time until an answer, in s.
  double max_answer_seconds() const { return max_answer_seconds_; }

 private:
  void connect();
  void read(int fd);
  void end_after(int fd, double seconds);
  void end(int fd);

  Loop& loop_;
  const std::uint16_t port_;
  const Options options_;
  std::map<int, double> began_at_;  // by descriptor
  std::map<int, std::string> in_;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);  // timers may outlive this
  std::uint64_t last_serial_ = 0;
  std::map<int, std::uint64_t> serials_;  // a descriptor may come again
  bool is_connecting_ = true;
  int connects_ = 0, answered_in_time_ = 0;
  double max_answer_seconds_ = 0;
};

}  // namespace damsonspoke::standins
