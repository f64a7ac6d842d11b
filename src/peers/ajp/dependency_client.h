// The layer below behind AJP 1.3: a call is a POST to one path, a connection carries one at a time. Beside
// what Below keeps to, each end says what it proves:
//
//   never made, closed before it was sent, ping unanswered   no call ran         kUnreachable
//   503, where operators say that it means so                no call ran         kRefused
//   closed, or its patience over, after it was sent          nothing             kReset, kTimeout
//   200 and a whole answer                                   it ran              kOk
//   anything else                                            nothing             kError
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "net/connection.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "peers/ports.h"
#include "settings/operator_file.h"
#include "wire/ajp.h"

namespace damsonspoke::peers {

class AjpDependencyClient : public DependencyPort, private net::ConnectionOwner {
 public:
  static constexpr std::size_t kMostReply = 64 * 1024;  // bytes of an answer's body; more spoils it
  static constexpr std::size_t kMostOutput = 32 * 1024;
  static std::size_t most_input(const AjpOptions& options) { return options.packet + kMostReply; }

  // Throws std::runtime_error where the address can't be used.
  AjpDependencyClient(net::Reactor& reactor, const AjpOptions& options, std::size_t most_links,
                      DependencyEvents& events, Counters& counters, Logger& log);
  ~AjpDependencyClient() override;

  void call(RequestId id, double patience, std::string_view body) override;
  void cancel(RequestId id) override;
  // Another server, path or secret from now on; calls in hand stay where they are.
  void move_to(const AjpOptions& options);

 private:
  enum class State { kConnecting, kIdle, kPinging, kCalling };
  struct Link {
    std::shared_ptr<net::Connection> connection;
    State state = State::kConnecting;
    RequestId call = 0;  // 0: none
    double idle_since = 0;
    bool headed = false;  // its answer's head has come
    bool spent = false;   // takes no new call
    int status = 0;
    std::string reply;
    net::Reactor::TimerId rest;  // until which a pong, or an answer that has begun, must be whole
  };
  struct Call {
    std::uint64_t link = 0;  // 0: it waits for one
    bool sent = false;       // a byte of it may have left
    double since = 0, until = 0;
    std::string body;
    net::Reactor::TimerId patience;
  };

  void on_connected(net::Connection& connection) override;
  std::size_t on_input(net::Connection& connection, std::string_view bytes) override;
  void on_end_of_input(net::Connection& connection) override;
  void on_end(net::Connection& connection, net::End why) override;

  void pump();
  void give(std::uint64_t tag, RequestId id);
  void send_call(Link& link);
  bool take(std::uint64_t tag, const wire::ajp::FromServer& message);
  void answered(std::uint64_t tag, bool reuse);
  void end(RequestId id, Outcome outcome, std::string_view reply);
  void end_link(Link& link);
  void spoilt(Link& link, const char* what);
  void must_be_whole(std::uint64_t tag, double seconds);
  void look_for_idle();

  net::Reactor& reactor_;
  AjpOptions options_;
  const std::size_t most_links_;
  DependencyEvents& events_;
  Counters& counters_;
  Logger& log_;
  std::map<std::uint64_t, Link> links_;  // by the connection's tag
  std::uint64_t next_tag_ = 1;
  std::unordered_map<RequestId, Call> calls_;
  std::deque<RequestId> waiting_;  // for a link, the oldest first
  net::Reactor::TimerId idle_timer_;
};

}  // namespace damsonspoke::peers
