// A simulated dependency, which replies to each call after a set time with a reply that names the call, and a
// simulated registry, which counts the reports that it receives.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "loop.h"

namespace damsonspoke::standins {

// Listens on a loopback port for calls of runs.
class Dependency {
 public:
  struct Options {
    double reply_seconds = 0.01;                // s from a call to its reply
    std::size_t max_calls_in_flight = 1 << 30;  // further calls are rejected
  };
  Dependency(Loop& loop, Options options);
  Dependency(const Dependency&) = delete;
  Dependency& operator=(const Dependency&) = delete;
  ~Dependency();

  std::uint16_t port() const { return port_; }
  // Calls received so far, including rejected ones.
  std::uint64_t calls() const { return calls_; }
  // Open connections.
  std::size_t connections() const { return connections_.size(); }

  Options options;  // may change at any time

 private:
  struct Connection {
    std::string in;            // received bytes of incomplete calls
    std::uint64_t serial = 0;  // identifies a connection, as descriptors are reused
  };
  // One call with its body.
  struct Call {
    std::string id;  // as received
    std::string body;
  };
  void accept();
  void read(int fd);
  void close_connection(int fd);
  // Removes the next line and its body from the input; false if they are incomplete.
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

// Receives the reports of one server on a loopback UDP port.
class Registry {
 public:
  explicit Registry(Loop& loop);
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;
  ~Registry();

  std::uint16_t port() const { return port_; }
  // Whether the last report listed the server as accepting work.
  bool is_listed() const { return is_listed_; }
  std::uint64_t reports() const { return reports_; }  // received so far
  // Closes the port, so that reports fail until listen() is called, and removes the server from the list.
  void stop_listening();
  // Does nothing if it listens already.
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
