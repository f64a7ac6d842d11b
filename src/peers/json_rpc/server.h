// The callers: edge nodes that send requests, and their health checks.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "catalog/catalog.h"
#include "conns/connection_quota.h"
#include "net/connection.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "peers/connection_admission.h"
#include "peers/ports.h"
#include "wire/rpc.h"

namespace damsonspoke::peers {

class JsonRpcServer : public Front, private net::ConnectionOwner {
 public:
  // Bytes a connection: a piece that is read at once, and the frame of under 9 KiB that began before it.
  static constexpr std::size_t kMostInput = 28 * 1024;
  struct Limits {
    int connections = 0;
    std::size_t output_bytes = 0;                         // of all connections together
    conns::ConnectionQuota* share = nullptr;              // with another front; none: this one has them all
    std::size_t front = 0;                                // its number there
    ConnectionAdmission* connection_admission = nullptr;  // where operators have one; with it a share
  };
  // The member of a request's params that tells a repeat, for routes that need it.
  struct Marks {
    std::string field;        // empty: none is read
    std::size_t longest = 0;  // bytes
    // Routes whose repeats are told by a digest instead; other keyed ones need the member.
    std::unordered_set<std::string> by_digest;
  };
  // `catalog`: what requests and tenants are called; their positions are what the stages know them by.
  JsonRpcServer(net::Reactor& reactor, const std::string& listen, const catalog::Catalog& catalog,
                Marks marks, Limits limits, CallerEvents& events, Counters& counters, Logger& log);
  ~JsonRpcServer() override;

  void answer_succeeded(ReplyAddress ticket, std::string_view result) override;
  void answer_rejected(ReplyAddress ticket, double retry_after, bool no_retry) override;
  void answer_failed(ReplyAddress ticket, FailureReason why) override;
  void answer_check(ReplyAddress ticket, bool good) override;
  void set_idle_timeout(double after) override;
  void ask_no_more() override;

  void stop_listening() override;
  void end_all() override;
  std::size_t connections() const override { return open_.size(); }
  std::uint16_t port() const override { return listener_.port(); }

 private:
  struct Caller {
    std::shared_ptr<net::Connection> connection;
    struct Request {
      RequestId id = 0;  // 0: a check
      int type = -1;     // of the request
    };
    std::unordered_map<std::uint64_t, Request> requests;  // by number
    std::list<std::uint64_t>::iterator place;             // in by_traffic_
    double last_traffic = 0;
    double half_since = -1;     // when the request began that is not whole yet; < 0: none
    double waiting_since = -1;  // since when output waits; < 0: none does
    double asked_no_more = -1;
    int faults = 0;          // messages that were no sound request
    bool has_asked = false;  // a whole request
    bool input_over = false;
    bool evicted = false;  // its place was given away already
    conns::MinimumByteRate input_rate, output_rate;
  };

  std::size_t on_input(net::Connection& connection, std::string_view bytes) override;
  void on_end_of_input(net::Connection& connection) override;
  void on_end(net::Connection& connection, net::End why) override;
  void on_output_sent(net::Connection& connection) override;

  void on_accept(const net::Accepted& accepted);
  bool take_in(std::uint64_t tag, const net::Accepted& accepted);
  void wasted(Caller& caller, conns::Penalty how);
  void note_busy(Caller& caller);
  void look_at(Caller& caller, double now);
  void take(Caller& caller, std::uint64_t tag, std::string_view text);
  void take_request(Caller& caller, std::uint64_t tag, wire::RpcRequest& request);
  bool needs_mark(const wire::RpcRequest& request, int type) const;
  void answer(ReplyAddress ticket, const std::string& text, bool succeeded = false);
  void put(Caller& caller, const std::string& text);
  void traffic(Caller& caller);
  void ask_no_more(Caller& caller);
  void look_for_idle();
  void look_over();
  void after_answer(Caller& caller);
  void refuse(Caller& caller, const std::string& last_words);
  bool room() const;
  bool make_room();
  bool nothing_owed(const Caller& caller) const;
  void let_go(Caller& caller);
  bool hold_reading(Caller& caller);

  net::Reactor& reactor_;
  const catalog::Catalog& catalog_;
  const Marks marks_;
  Limits limits_;
  CallerEvents& events_;
  Counters& counters_;
  Logger& log_;
  net::OutputPool output_;  // before the connections that are charged to it
  net::Listener listener_;
  std::unordered_map<std::uint64_t, Caller> open_;
  std::list<std::uint64_t> by_traffic_;  // the longest idle first
  std::uint64_t next_tag_ = 1;
  double idle_after_ = 0;  // s; 0: callers close their own
  bool no_more_ = false;
  net::Reactor::TimerId idle_timer_, look_timer_;
};

}  // namespace damsonspoke::peers
