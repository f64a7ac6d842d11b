// A layer below that answers each call after a time of its own with a reply that names the call, and a roster
// that counts what it is told.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "loop.h"

namespace damsonspoke::standins {

class Below {
 public:
  struct Options {
    double takes = 0.01;         // s a call
    std::size_t most = 1 << 30;  // calls in hand; over it they are turned away
  };
  Below(Loop& loop, Options options);
  ~Below();
  std::uint16_t port() const { return port_; }
  std::uint64_t calls() const { return calls_; }
  std::size_t connections() const { return links_.size(); }
  Options options;

 private:
  void accept();
  void read(int fd);

  Loop& loop_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::map<int, std::string> links_;
  std::map<int, std::uint64_t> serials_;  // of connections: a descriptor may come again
  std::uint64_t next_serial_ = 1, calls_ = 0;
  std::size_t in_hand_ = 0;
};

class Roster {
 public:
  explicit Roster(Loop& loop);
  ~Roster();
  std::uint16_t port() const { return port_; }
  bool listed() const { return listed_; }
  std::uint64_t reports() const { return reports_; }
  // Its port refuses datagrams until it listens again.
  void go_down();
  void listen();

 private:
  void read();

  Loop& loop_;
  int fd_ = -1;
  std::uint16_t port_ = 0;
  bool listed_ = false;
  std::uint64_t reports_ = 0;
};

}  // namespace damsonspoke::standins
