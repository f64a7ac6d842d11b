// A planner's server for its forwarders: it receives requests from forwarders instead of from callers. Many
// requests share a link. A request's reply address consists of its forwarder and attempt, so that the answer
// is sent on the link that the forwarder has at that time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/connection.h"
#include "net/listener.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "peers/ports.h"
#include "tier/concurrency_windows.h"
#include "tier/forwarder_sessions.h"
#include "tier/slot_value.h"
#include "wire/tier.h"

namespace damsonspoke::peers {

// Listens for forwarders and gives each a session, a concurrency window and load reports.
class ForwarderServer : public RequestServer, private net::ConnectionOwner {
 public:
  // Of each link.
  static constexpr std::size_t kMaxInputBytes = wire::tier::kMaxFrameBytes + wire::tier::kHeaderBytes;

  // Limits for all forwarders together.
  struct Limits {
    int links = 0;                       // open at a time
    std::size_t output_bytes = 0;        // that wait to be sent
    std::size_t answer_cache_bytes = 0;  // of answers that forwarders may request again
  };
  // The properties of this planner that it sends to its forwarders.
  struct Self {
    std::string name;
    std::uint64_t epoch = 0;              // of this process; random
    tier::SlowStartOptions slow_start;    // includes the cores of this machine
    double stop_after = 0;                // s from the drain announcement until it stops
    std::vector<std::string> routes;      // their names, by route number
    std::vector<double> priority_weight;  // by route
  };

  // Throws std::runtime_error if the address can't be used.
  ForwarderServer(net::Reactor& reactor, const std::string& listen, Self self, Limits limits,
                  CallerEvents& events, Counters& counters, Logger& log);
  ~ForwarderServer() override;
  ForwarderServer(const ForwarderServer&) = delete;
  ForwarderServer& operator=(const ForwarderServer&) = delete;

  void answer_succeeded(ReplyAddress reply_to, std::string_view result) override;
  void answer_rejected(ReplyAddress reply_to, double retry_after, bool no_retry) override;
  void answer_failed(ReplyAddress reply_to, FailureReason reason) override;
  void answer_health_check(ReplyAddress /*reply_to*/, bool /*is_healthy*/) override {}  // never requested
  void set_idle_timeout(double /*seconds*/) override {}                                 // links have none
  void announce_drain() override;
  void start_warm_up(bool is_cold, double seconds_ago) override;
  void set_healthy(bool is_healthy) override;

  void stop_listening() override;
  [[nodiscard]] bool is_listening() const override { return listener_.is_open(); }
  void close_idle_connections() override;
  [[nodiscard]] std::size_t connections() const override { return links_.size(); }
  [[nodiscard]] std::uint16_t port() const override { return listener_.port(); }

 private:
  struct Link {
    std::shared_ptr<net::Connection> connection;
    tier::ForwarderId forwarder = 0;  // 0: no hello yet
    std::string name;
    double empty_at = 0;      // when nothing was unread in its socket, monotonic s
    std::vector<int> routes;  // this planner's routes by the forwarder's; < 0: unknown here
    double last_message_at = 0;
    wire::tier::LoadReport reported;

    // This planner's route of a submit; < 0: not configured here.
    [[nodiscard]] int route_of(const wire::tier::Submit& submit) const {
      return submit.route < routes.size() ? routes[submit.route] : -1;
    }
  };

  std::size_t on_input(net::Connection& connection, std::string_view bytes) override;
  void on_end_of_input(net::Connection& connection) override;
  void on_end(net::Connection& connection, net::CloseReason reason) override;

  void on_accept(const net::Accepted& accepted);
  // False: the message violates the protocol.
  [[nodiscard]] bool handle_message(std::uint64_t tag, wire::tier::Message& message);
  [[nodiscard]] bool handle_hello(std::uint64_t tag, const wire::tier::Hello& hello);
  void handle_submit(Link& link, wire::tier::Submit& submit);
  [[nodiscard]] std::optional<wire::tier::Answer> early_answer_to(const wire::tier::Submit& submit, int route,
                                                                  bool has_capacity);
  void handle_cancel(const Link& link, const wire::tier::Cancel& cancel);
  void handle_fence(Link& link, const wire::tier::Fence& fence);
  void send_hello(Link& link, std::uint64_t planner_epoch);
  [[nodiscard]] std::vector<int> local_routes(const std::vector<std::string>& names) const;
  void answer(ReplyAddress reply_to, wire::tier::Answer answer);
  void send(Link& link, const wire::tier::Message& message);
  void rebalance_windows(double now);
  [[nodiscard]] wire::tier::LoadReport load_report(const Link& link);
  void send_load_reports(bool to_all);
  [[nodiscard]] static bool has_timed_out(const Link& link, double now);
  void check_links();
  void abandon(const std::vector<RequestId>& requests);

  net::Reactor& reactor_;
  const Self self_;
  const Limits limits_;
  CallerEvents& events_;
  Counters& counters_;
  Logger& log_;
  net::OutputPool output_;  // has to outlive the connections that are charged to it
  net::Listener listener_;
  tier::ForwarderSessions sessions_;
  tier::SlotValue slot_value_;
  tier::ConcurrencyWindows windows_;
  std::unordered_map<std::uint64_t, Link> links_;  // by the connection's tag
  std::uint64_t next_tag_ = 1;
  bool is_healthy_ = false;  // until the runtime has started, nothing can run
  bool is_draining_ = false;
  net::Reactor::TimerId check_timer_;
};

}  // namespace damsonspoke::peers
