// A simulated gateway that speaks AJP 1.3: it generates requests at random times and sends each on an idle
// connection of a pool. It encodes and decodes packets independently of src/wire, so that a fault there is
// not hidden by the same fault here. Scripts use the packets of namespace raw_ajp to send input that no
// gateway should send.
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

namespace raw_ajp {
using Headers = std::vector<std::pair<std::string, std::string>>;
struct Request {
  std::uint8_t method = 4;  // POST
  std::string uri = "/ops/read";
  Headers headers;
  std::string query, secret;
  std::vector<std::pair<std::string, std::string>> attributes;
};
std::string forward_request(const Request& request);
std::string body_piece(const std::string& piece);  // an empty piece: a packet with an empty payload
std::string cping();
// Adds the magic, by default that of gateways, and the length.
std::string packet(const std::string& payload, const char* magic = "\x12\x34");

// A packet of a server.
struct Reply {
  // The AJP packet type: 3 body piece, 4 headers, 5 end of response, 6 request for a body piece, 9 CPong. 0:
  // more bytes are needed; -1: not a packet of a server.
  int kind = 0;
  int status = 0;  // with headers
  std::map<std::string, std::string> headers;
  std::string piece;
  bool reuse = false;
  int max_bytes = 0;  // of the requested body piece
};
// Decodes the packet at the start of the input and removes it from there.
Reply take_reply(std::string& input);
}  // namespace raw_ajp

class AjpGateway {
 public:
  struct Options {
    std::vector<Flow> flows;  // by route, sent as POST /ops/ROUTE
    int connections = 16;     // open at the same time, at most
    std::uint64_t seed = 1;
    std::string secret;
    bool chunked = false;     // bodies are sent without a length
    unsigned caller_ids = 8;  // requests carry this many different caller numbers, from 2 on
  };
  AjpGateway(Loop& loop, Journal& journal, Options options);
  AjpGateway(const AjpGateway&) = delete;
  AjpGateway& operator=(const AjpGateway&) = delete;
  ~AjpGateway();

  // Sends requests to this port, on which an incarnation of the server listens.
  void set_server(std::uint16_t port, int incarnation);
  // Whether new requests are generated.
  void set_load_enabled(bool enabled) { is_load_enabled_ = enabled; }
  // Requests in flight.
  std::size_t in_flight() const { return in_flight_; }
  std::size_t connections() const { return links_.size(); }
  std::uint16_t port() const { return port_; }      // of the server; 0: not set yet
  std::size_t skipped() const { return skipped_; }  // requests not sent because all connections were busy

 private:
  struct Link {
    std::uint64_t request = 0;  // 0: idle
    std::string in;             // input that is not decoded yet
    std::string rest;           // part of the body that the server has not requested yet
    int status = 0;
    std::string result, outcome;
    bool closing = false;
  };
  void schedule_next_request(std::size_t flow);
  void send_request(const Flow& flow);
  void read(int fd);
  [[nodiscard]] static AnswerKind answer_kind(int status, const std::string& outcome);
  bool handle_reply(int fd, const raw_ajp::Reply& reply);  // false: the link was closed
  void close_link(int fd);
  // Evenly drawn from [0, 1).
  double draw();

  Loop& loop_;
  Journal& journal_;
  const Options options_;
  pcg64 random_;
  std::map<int, Link> links_;
  std::uint16_t port_ = 0;
  int incarnation_ = 0;
  std::uint64_t generated_requests_ = 0, next_request_ = 1;
  std::size_t in_flight_ = 0, skipped_ = 0;
  bool is_load_enabled_ = true;
};

}  // namespace damsonspoke::standins
