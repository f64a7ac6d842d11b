// A dependency that answers each call after a time of its own with a reply that names the call, and a
// registry that counts the reports that it gets.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "loop.h"

namespace damsonspoke::standins {

// The dependency that runs call, on a loopback socket.
class Dependency {
 public:
  struct Options {
    double reply_seconds = 0.01;                // s a call
    std::size_t max_calls_in_flight = 1 << 30;  // calls in flight; further ones are rejected
  };
  Dependency(Loop& loop, Options options);
  Dependency(const Dependency&) = delete;
  Dependency& operator=(const Dependency&) = delete;
  ~Dependency();

  std::uint16_t port() const { return port_; }
  // So far, those that were rejected too.
  std::uint64_t calls() const { return calls_; }
  // That are open now.
  std::size_t connections() const { return connections_.size(); }

  Options options;  // may change at any time

 private:
  struct Connection {
    std::string in;            // bytes of calls that have not come complete
    std::uint64_t serial = 0;  // a descriptor may come again
  };
  // One call, complete with its body.
  struct Call {
    std::string id;  // as it came
    std::string body;
  };
  void accept();
  void read(int fd);
  void close_connection(int fd);
  // Takes the next line off what has come, with the body that belongs to it; false where they are incomplete.
  static bool take_line(std::string& in, std::string& line, std::string& body);
  void answer(int fd, const Call& call);
  void reply(int fd, std::uint64_t serial, const Call& call);

  Loop& loop_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::map<int, Connection> connections_;  // by descriptor
  std::uint64_t next_serial_ = 1, calls_ = 0;
  std::size_t in_flight_ = 0;  // calls
};

// The registry that servers report to, on a loopback socket. It serves one server.
class Registry {
 public:
  explicit Registry(Loop& loop);
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;
  ~Registry();

  std::uint16_t port() const { return port_; }
  // Whether the last report said that the server takes work.
  bool is_listed() const { return is_listed_; }
  std::uint64_t reports() const { return reports_; }  // so far
  // Its port refuses reports until it listens again; it lists nobody then.
  void stop_listening();
  // Does nothing where it listens already.
  void listen();

 private:
  void read();

  Loop& loop_;
  int fd_ = -1;
  std::uint16_t port_ = 0;
  bool is_listed_ = false;
  std::uint64_t reports_ = 0;
};

}  // namespace damsonspoke::standins
