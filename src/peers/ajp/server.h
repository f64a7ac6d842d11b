// Callers that speak AJP 1.3: a second front. A gateway's connection carries one request at a time;
// operators' table says which request it is. What maps to nothing is answered at once and costs no slot; what
// does is a request as any other, with the same due time, decisions and one answer.
//
// What each state allows: idle (a request or a ping), body (pieces of the one that is due), open (nothing is
// read until its answer is out), closing (answers leave, nothing is read any more). A connection on which a
// body was left unread is never used again.
#pragma once

#include <list>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "conns/connection_quota.h"
#include "net/connection.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "peers/connection_admission.h"
#include "peers/ports.h"
#include "settings/operator_file.h"
#include "wire/ajp.h"

namespace damsonspoke::peers {

// The connections of this front have tickets with this bit.
constexpr std::uint64_t kAjpTickets = std::uint64_t{1} << 63;

class AjpServer : public Front, private net::ConnectionOwner {
 public:
  struct Self {
    std::vector<std::string> routes;  // by number
    std::vector<bool> needs_key;      // by route
    std::size_t longest_key = 0;      // bytes
    std::vector<double> timeouts;     // s, by route
    std::uint64_t seed = 0;           // of the numbers that its requests get
  };
  // Bytes that a connection may take until its request is whole.
  static std::size_t most_input(const AjpOptions& options) { return 2 * options.packet + options.body; }

  // Throws std::runtime_error where the address can't be used. `share`, `front`: its part of the connections;
  // `door`: where operators have one.
  AjpServer(net::Reactor& reactor, Self self, const AjpOptions& options, std::size_t output_bytes,
            conns::ConnectionQuota& share, std::size_t front, CallerEvents& events, Counters& counters,
            Logger& log, ConnectionAdmission* door = nullptr);
  ~AjpServer() override;

  // Another table, secret or list of attributes for requests that come from now on; those that have begun
  // stay what they were when their head came. What needs another listener is taken at the next start.
  void reconfigure(const AjpOptions& options);

  void answer_succeeded(ReplyAddress ticket, std::string_view result) override;
  void answer_rejected(ReplyAddress ticket, double retry_after, bool no_retry) override;
  void answer_failed(ReplyAddress ticket, FailureReason why) override;
  void answer_check(ReplyAddress ticket, bool good) override;
  void set_idle_timeout(double) override {}  // gateways keep theirs; see AjpOptions::idle
  void ask_no_more() override;

  void end_all() override { ask_no_more(); }
  void stop_listening() override { listener_.close(); }
  std::size_t connections() const override { return open_.size(); }
  std::uint16_t port() const override { return listener_.port(); }

 private:
  enum class State { kIdle, kBody, kOpen, kClosing };
  struct Caller {
    std::shared_ptr<net::Connection> connection;
    std::list<std::uint64_t>::iterator place;  // in by_traffic_
    State state = State::kIdle;
    IncomingRequest request;                                  // being read, or read
    bool check = false;                                       // it asks for our health
    bool head_only = false;                                   // its answer has no body
    bool chunked = false;                                     // its body ends with a piece of no bytes
    std::size_t announced = 0;                                // bytes of its body, where not chunked
    std::uint64_t number = 0;                                 // of the request on this connection
    double due = 0;                                           // Unix s
    double last_traffic = 0, began = -1, waiting_since = -1;  // s; < 0: no request has begun, no output waits
    bool has_asked = false;
    bool evicted = false;  // its place was given away already
    int type = -1;         // of its request
    conns::MinimumByteRate input_rate, output_rate;
    bool input_over = false;
  };

  std::size_t on_input(net::Connection& connection, std::string_view bytes) override;
  void on_end_of_input(net::Connection& connection) override;
  void on_end(net::Connection& connection, net::End why) override;
  void on_output_sent(net::Connection& connection) override;

  void on_accept(const net::Accepted& accepted);
  bool take_in(std::uint64_t tag, const net::Accepted& accepted);
  void wasted(Caller& caller, conns::Penalty how);
  void note_busy(Caller& caller);
  bool too_slow(Caller& caller, double now);
  bool nothing_owed(const Caller& caller) const;
  void let_go(Caller& caller);
  bool make_room();
  bool take(Caller& caller, std::string_view payload);
  void take_request(Caller& caller, const wire::ajp::ForwardRequest& request);
  void take_piece(Caller& caller, std::string_view payload);
  bool body_of(Caller& caller, const wire::ajp::ForwardRequest& request);
  bool fill(Caller& caller, const AjpRoute& route, const std::vector<std::string_view>& stars,
            const wire::ajp::ForwardRequest& request);
  void ask_for_body(Caller& caller);
  void submit(Caller& caller);
  void refuse(Caller& caller, std::uint16_t status, bool with_body);
  void respond(Caller& caller, std::uint16_t status, std::vector<wire::ajp::Header> headers,
               std::string_view body, bool reuse);
  Caller* waiting_for(ReplyAddress ticket);
  void answered(Caller& caller, std::uint16_t status, std::vector<wire::ajp::Header> headers,
                std::string_view body);
  void put(Caller& caller, const wire::ajp::FromServer& message);
  void close_after_output(Caller& caller);
  void traffic(Caller& caller);
  void look_over();

  net::Reactor& reactor_;
  const Self self_;
  AjpOptions options_;
  conns::ConnectionQuota& share_;
  const std::size_t front_;
  ConnectionAdmission* const door_;
  CallerEvents& events_;
  Counters& counters_;
  Logger& log_;
  net::OutputPool output_;  // before the connections that are charged to it
  net::Listener listener_;
  pcg64 random_;
  std::unordered_map<std::uint64_t, Caller> open_;
  std::list<std::uint64_t> by_traffic_;  // the longest idle first
  std::uint64_t next_tag_ = kAjpTickets + 1;
  bool no_more_ = false;
  net::Reactor::TimerId look_timer_;
};

}  // namespace damsonspoke::peers
