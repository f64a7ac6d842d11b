// Clients that fill a server's connection table: floods of connections of several shapes from many loopback
// addresses, on their own thread; and a client that repeatedly opens a new connection, sends a health request
// and measures how long the answer takes.
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

// Starts to connect from an address of 127.0.0.0/8 without waiting; -1 if there is no socket or the connect
// fails immediately.
int connecting_socket(std::uint16_t port, const std::string& from);
// The n-th of many addresses. Consecutive ones are in different /24 networks.
std::string flood_address(unsigned n);

// The behavior of each connection of a flood.
enum class FloodShape {
  kSilent,          // connects and sends nothing
  kReset,           // connects and resets the connection
  kDrip,            // sends a request at one byte per second
  kHealthRequests,  // sends a health request every half second
  kJunk             // sends invalid requests repeatedly
};

// A flood that runs from construction to destruction.
class Flood {
 public:
  struct Options {
    FloodShape shape = FloodShape::kSilent;
    unsigned addresses = 1000;
    unsigned connections_per_address = 50;  // maximum number of open connections of an address
    double connections_per_second = 2000;   // new connections of all addresses
  };
  Flood(std::uint16_t port, Options options);
  Flood(const Flood&) = delete;
  Flood& operator=(const Flood&) = delete;
  ~Flood();
  // Connections started so far.
  std::uint64_t dialled() const { return dialled_; }
  // Connections that the server has closed so far.
  std::uint64_t closed_by_server() const { return closed_by_server_; }
  // Connections that are established now.
  std::uint64_t open_connections() const { return open_connections_; }

 private:
  struct Connection {
    unsigned address = 0;  // index, from 0
    bool is_up = false;
    double next_send_at = 0;     // s, monotonic
    std::size_t sent_bytes = 0;  // for kDrip
  };
  void run();
  // Starts the connections that are due, and sends on the established connections whose time has come.
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
  std::vector<unsigned> connections_by_address_;  // open connections, by address index
  unsigned next_address_ = 0;
  std::atomic<bool> is_stopping_ = false;
  std::atomic<std::uint64_t> dialled_ = 0, closed_by_server_ = 0, open_connections_ = 0;
  std::thread thread_;
};

// A client that opens a new connection periodically and sends a health request on each.
class ReconnectingClient {
 public:
  struct Options {
    std::string from = "127.0.0.1";
    double interval = 0.02;   // s
    double timeout = 0.1;     // s, after which an answer counts as late
    double stay_seconds = 0;  // s that a connection stays open after its answer
  };
  ReconnectingClient(Loop& loop, std::uint16_t port, Options options);
  ReconnectingClient(const ReconnectingClient&) = delete;
  ReconnectingClient& operator=(const ReconnectingClient&) = delete;
  ~ReconnectingClient();
  // Stops opening connections; the open ones continue.
  void stop() { is_connecting_ = false; }
  // Whether no connection is open.
  bool is_idle() const { return began_at_.empty(); }
  // Connections started so far, and those answered in time.
  int connects() const { return connects_; }
  int answered_in_time() const { return answered_in_time_; }
  // The longest time from a connect to its answer, in seconds.
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
  std::shared_ptr<bool> is_alive_ =
      std::make_shared<bool>(true);  // false after destruction, for timers that outlive this
  std::uint64_t last_serial_ = 0;
  std::map<int, std::uint64_t> serials_;  // identify connections, as descriptors are reused
  bool is_connecting_ = true;
  int connects_ = 0, answered_in_time_ = 0;
  double max_answer_seconds_ = 0;
};

}  // namespace damsonspoke::standins
