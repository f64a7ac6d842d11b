// The client of a dependency behind AJP 1.3: a call is a POST to one path, and a link carries one call at a
// time. AJP has no ids, so an answer belongs to the call that its link carries; a link is used again only
// after a ping whose pong is the last thing that the server has sent. As with DependencyClient, each call
// ends exactly once. How it ended, what that proves, and its outcome:
//
//   never connected, closed before it was sent, ping unanswered   it did not run      kUnreachable
//   503, where operators have configured that this proves it      it did not run      kRejected
//   closed, or timed out, after it was sent                       nothing             kReset, kTimeout
//   200 and a complete answer                                     it ran              kOk
//   anything else                                                 nothing             kError
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "net/connection.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "peers/ports.h"
#include "settings/operator_file.h"
#include "wire/ajp.h"

namespace damsonspoke::peers {

// Makes calls and reports their ends. A call that finds all links in use waits for one.
class AjpDependencyClient : public DependencyPort, private net::ConnectionOwner {
 public:
  static constexpr std::size_t kMaxReplyBytes = 64 * 1024;  // of an answer's body; a longer one is invalid
  static constexpr std::size_t kMaxOutputBytes = 32 * 1024;
  // Bytes that a link may buffer until an answer is complete.
  [[nodiscard]] static std::size_t max_input_bytes(const AjpOptions& options) {
    return options.packet + kMaxReplyBytes;
  }

  // `max_links`: connections at a time. Throws std::runtime_error where the address can't be used.
  AjpDependencyClient(net::Reactor& reactor, const AjpOptions& options, std::size_t max_links,
                      DependencyEvents& events, Counters& counters, Logger& log);
  ~AjpDependencyClient() override;
  AjpDependencyClient(const AjpDependencyClient&) = delete;
  AjpDependencyClient& operator=(const AjpDependencyClient&) = delete;

  void call(RequestId id, double timeout, std::string_view body) override;
  void cancel(RequestId id) override;
  // Uses another server, path or secret for new calls; calls in flight stay on their links.
  void move_to(const AjpOptions& options);

 private:
  enum class State { kConnecting, kIdle, kPinging, kCalling };
  struct Link {
    std::shared_ptr<net::Connection> connection;
    State state = State::kConnecting;
    RequestId call = 0;  // 0: none
    double idle_since = 0;
    bool is_retired = false;  // takes no new call
    bool has_head = false;    // of the answer
    int status = 0;
    std::string reply;
    net::Reactor::TimerId reply_timer;  // until which a pong, or a partly received answer, must be complete
  };
  struct Call {
    std::uint64_t link = 0;    // 0: it waits for one
    bool may_be_sent = false;  // a byte of it may have been sent
    double started_at = 0;
    double deadline = 0;
    std::string body;
    net::Reactor::TimerId timeout_timer;
  };

  void on_connected(net::Connection& connection) override;
  std::size_t on_input(net::Connection& connection, std::string_view bytes) override;
  void on_end_of_input(net::Connection& connection) override;
  void on_end(net::Connection& connection, net::CloseReason why) override;

  void dispatch_waiting();
  [[nodiscard]] std::uint64_t find_or_open_link();
  void assign(std::uint64_t tag, RequestId id);
  void send_call(Link& link);
  [[nodiscard]] wire::ajp::ForwardRequest request_of(const Call& call, double timeout) const;
  // False: the message is invalid in the link's state. `is_last_input`: nothing has arrived after it.
  [[nodiscard]] bool handle_message(std::uint64_t tag, const wire::ajp::FromServer& message,
                                    bool is_last_input);
  [[nodiscard]] bool handle_pong(Link& link, bool is_last_input);
  [[nodiscard]] bool handle_head(std::uint64_t tag, const wire::ajp::SendHeaders& head);
  void finish_reply(std::uint64_t tag, bool can_reuse);
  void finish_call(RequestId id, Outcome outcome, std::string_view reply);
  void close_abandoned(Link& link);
  void close_broken(Link& link, std::string_view reason);
  void start_reply_timer(std::uint64_t tag, double seconds);
  void close_idle_links();

  net::Reactor& reactor_;
  AjpOptions options_;
  const std::size_t max_links_;
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
