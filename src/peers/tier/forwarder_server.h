// The forwarders: a front on which requests come from the tier in front instead of callers. Many requests
// share a link; a request's ticket names its forwarder and attempt, so that its answer finds the forwarder on
// whatever link it has by then.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/connection.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "peers/ports.h"
#include "tier/concurrency_windows.h"
#include "tier/forwarder_sessions.h"
#include "tier/slot_value.h"
#include "wire/tier.h"

namespace damsonspoke::peers {

class ForwarderServer : public RequestServer, private net::ConnectionOwner {
 public:
  static constexpr std::size_t kMostInput = wire::tier::kMostFrame + wire::tier::kHead;  // bytes a link
  struct Limits {
    int links = 0;
    std::size_t output_bytes = 0;  // of all links together
    std::size_t kept_bytes = 0;    // of answers that may be asked for again, of all forwarders together
  };
  struct Self {
    std::string name;
    std::uint64_t epoch = 0;
    tier::WarmUpOptions warming;
    double stop_after = 0;  // s
    std::vector<std::string> types;
    std::vector<double> priority_weight;  // by route
  };
  ForwarderServer(net::Reactor& reactor, const std::string& listen, Self self, Limits limits,
                  CallerEvents& events, Counters& counters, Logger& log);
  ~ForwarderServer() override;

  void answer_succeeded(ReplyAddress ticket, std::string_view result) override;
  void answer_rejected(ReplyAddress ticket, double retry_after, bool no_retry) override;
  void answer_failed(ReplyAddress ticket, FailureReason why) override;
  void answer_health_check(ReplyAddress, bool) override {}  // forwarders ask for none
  void set_idle_timeout(double) override {}                 // links stay
  void announce_drain() override;
  void start_warm_up(bool cold, double ago) override;
  void set_healthy(bool good) override;

  void stop_listening() override;
  void close_idle_connections() override;
  std::size_t connections() const override { return links_.size(); }
  std::uint16_t port() const override { return listener_.port(); }

 private:
  struct Link {
    std::shared_ptr<net::Connection> connection;
    tier::ForwarderId forwarder = 0;  // 0: it has not said hello
    std::string name;
    std::vector<int> types;  // ours, by theirs; < 0: not known here
    double heard_at = 0;
    std::uint32_t told_window = 0, told_worth = 0;
  };

  std::size_t on_input(net::Connection& connection, std::string_view bytes) override;
  void on_end_of_input(net::Connection& connection) override;
  void on_end(net::Connection& connection, net::End why) override;

  void on_accept(const net::Accepted& accepted);
  bool take(std::uint64_t tag, wire::tier::Message& message);
  bool take_hello(std::uint64_t tag, const wire::tier::Hello& hello);
  bool take_submit(Link& link, wire::tier::Submit& submit);
  void take_fence(Link& link, const wire::tier::Fence& fence);
  void answer(ReplyAddress ticket, wire::tier::Answer answer);
  void put(Link& link, const wire::tier::Message& message);
  void hand_out(double now);
  wire::tier::Window window_now(const Link& link);
  void tell_windows(bool all);
  void look();
  void gone(const std::vector<RequestId>& requests);

  net::Reactor& reactor_;
  const Self self_;
  const Limits limits_;
  CallerEvents& events_;
  Counters& counters_;
  Logger& log_;
  net::OutputPool output_;  // before the connections that are charged to it
  net::Listener listener_;
  tier::ForwarderSessions holdings_;
  tier::SlotValue worth_;
  tier::ConcurrencyWindows windows_;
  std::unordered_map<std::uint64_t, Link> links_;
  std::uint64_t next_tag_ = 1;
  bool good_ = false;  // until it is told otherwise: a runtime that is not up yet runs nothing
  bool no_more_ = false;
  net::Reactor::TimerId look_timer_;
};

}  // namespace damsonspoke::peers
