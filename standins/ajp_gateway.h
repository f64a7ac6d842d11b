// A partner's gateway that speaks AJP 1.3: things are wanted at random, each a request on a connection of its
// own from a pool that is kept. Its encoder and reader are its own: what is tested does not test itself.
// Bare() are the packets themselves, for scripts that send what no gateway should.
#pragma once

#include <cstdint>
#include <map>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "callers.h"
#include "journal.h"
#include "loop.h"

namespace damsonspoke::standins {

namespace bare {
using Headers = std::vector<std::pair<std::string, std::string>>;
struct Request {
  std::uint8_t method = 4;  // POST
  std::string uri = "/ops/read";
  Headers headers;
  std::string query, secret;
  std::vector<std::pair<std::string, std::string>> attributes;
};
std::string forward(const Request& request);
std::string body(const std::string& piece);  // empty: the packet without any bytes
std::string cping();
std::string packet(const std::string& payload, const char* magic = "\x12\x34");

// What a server sent.
struct Reply {
  int kind = 0;    // 3 piece, 4 headers, 5 end, 6 get piece, 9 cpong; 0: more bytes are needed; -1: no AJP
  int status = 0;  // of headers
  std::map<std::string, std::string> headers;
  std::string piece;
  bool reuse = false;
  int most = 0;  // of get piece
};
Reply take(std::string& input);  // off its front
}  // namespace bare

class AjpGateway {
 public:
  struct Options {
    std::vector<Flow> flows;  // by route, mapped from POST /requests/TYPE
    int connections = 16;     // at once
    std::uint64_t seed = 1;
    std::string secret;
    bool chunked = false;  // bodies without a length
    unsigned hotels = 8;   // whose requests it passes on, as callers' numbers from 2
  };
  AjpGateway(Loop& loop, Journal& journal, Options options);
  ~AjpGateway();

  void reach(std::uint16_t port, int incarnation);
  void want_more(bool more) { more_ = more; }
  std::size_t open() const { return owed_; }
  std::size_t connections() const { return links_.size(); }
  std::uint16_t port() const { return port_; }      // that it reaches; 0: none yet
  std::size_t skipped() const { return skipped_; }  // wanted while all connections were busy

 private:
  struct Link {
    std::uint64_t request = 0;  // 0: idle
    std::string in, rest;       // of the body, not asked for yet
    int status = 0;
    std::string result, outcome;
    bool closing = false;
  };
  void next_thing(std::size_t flow);
  void ask(const Flow& flow);
  void read(int fd);
  bool take(int fd, const bare::Reply& reply);  // false: the link has ended
  void drop(int fd);
  double chance();

  Loop& loop_;
  Journal& journal_;
  const Options options_;
  pcg64 random_;
  std::map<int, Link> links_;
  std::uint16_t port_ = 0;
  int life_ = 0;
  std::uint64_t things_ = 0, next_request_ = 1;
  std::size_t owed_ = 0, skipped_ = 0;
  bool more_ = true;
};

}  // namespace damsonspoke::standins
