// The only stage of a forwarder: stores each caller's request until it is answered, and carries out the
// decisions of tier::Dispatch (tier/dispatch.h).
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/reactor.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "peers/ports.h"
#include "peers/tier/planner_client.h"
#include "settings/operator_file.h"
#include "settings/settings.h"
#include "store/persisted_file.h"
#include "tier/dispatch.h"
#include "tier/endpoint_list_history.h"

namespace damsonspoke::stages {

class RequestForwarder : public peers::CallerEvents, public peers::PlannerEvents, private tier::DispatchSink {
 public:
  struct Ports {
    peers::RequestServer* callers = nullptr;
    peers::PlannerClient* planners = nullptr;
    peers::RegistryPort* registry = nullptr;
  };
  struct Options {
    const ForwardOptions& forward;
    const ResultsOptions& results;
    std::size_t body_bytes = 0;  // memory for the bodies of requests in flight
    std::size_t key_bytes = 0;   // memory for the keys that were sent to planners
  };
  RequestForwarder(net::Reactor& reactor, const Ports& ports, const StartSettings& site,
                   const Options& options, std::uint64_t seed, Counters& counters, Logger& log);
  ~RequestForwarder() override;
  RequestForwarder(const RequestForwarder&) = delete;
  RequestForwarder& operator=(const RequestForwarder&) = delete;

  // Must be called after all ports have been set.
  void start();
  // Shuts down gracefully within `time_left` s.
  void drain(double time_left);
  // Sets the endpoint list. Planners that remain listed keep their links and attempts. A planner that is no
  // longer listed keeps its link for as long as it may have to be queried about the keys that it remembers.
  void set_planners(const std::vector<std::string>& addresses);
  [[nodiscard]] std::size_t in_flight() const { return in_flight_.size(); }
  // Updates the counters.
  void update_counters();

  // ---- Callers.
  bool is_in_use(RequestId id) const override { return in_flight_.contains(id); }
  bool may_have_run(RequestId) const override { return false; }  // a forwarder runs no requests
  bool may_be_rejected(const peers::IncomingRequest& request) const override;
  void on_request_read(peers::IncomingRequest request) override;
  void on_caller_disconnected(RequestId id) override;
  void on_health_check(peers::ReplyAddress reply_to, bool requires_self_test) override;

  // ---- Planners.
  void on_link_up(int planner, std::uint64_t epoch, std::uint32_t window) override;
  void on_link_lost(int planner, const std::vector<std::uint64_t>& unwritten) override;
  void on_load_report(int planner, const wire::tier::LoadReport& report) override;
  void on_planner_draining(int planner) override;
  void on_answer(int planner, std::uint64_t epoch, const wire::tier::Answer& answer) override;

 private:
  struct InFlightEntry {
    peers::IncomingRequest request;
    double deadline = 0;  // Unix seconds
  };

  // ---- tier::DispatchSink.
  void send(int planner, tier::Attempt attempt, RequestId request, double remaining_time,
            bool is_lookup_only) override;
  void cancel(int planner, tier::Attempt attempt) override;
  void fence(int planner, tier::Attempt attempt) override;
  void reply(RequestId request, tier::LocalReply kind, double retry_after, bool no_retry) override;
  void schedule_wakeup(double time) override;

  InFlightEntry remove_completed(RequestId id, Count result_counter);
  [[nodiscard]] std::uint64_t key_hash(const peers::IncomingRequest& request) const;
  void forward_answer(const InFlightEntry& entry, const wire::tier::Answer& answer);
  void close_if_idle(int planner);
  void check();
  void report_health();
  void connect_planners();
  [[nodiscard]] std::optional<tier::EndpointListHistory> read_history();
  void restore_history();
  void store_history();

  net::Reactor& reactor_;
  const Ports& ports_;
  const StartSettings& site_;
  const bool digest_by_caller_;
  Counters& counters_;
  Logger& log_;
  pcg64 random_;
  std::unordered_map<RequestId, InFlightEntry> in_flight_;
  std::size_t body_bytes_ = 0;
  const std::size_t max_body_bytes_;
  std::unique_ptr<tier::Dispatch> dispatch_;
  const tier::KeyOwnershipOptions key_ownership_;
  tier::EndpointListHistory endpoint_lists_;
  std::vector<bool> connects_to_;                       // whether a link is maintained, by planner
  std::unique_ptr<store::PersistedFile> history_file_;  // null: the endpoint lists are not stored
  net::Reactor::TimerId wakeup_timer_;
  net::Reactor::TimerId check_timer_;
  double wakeup_time_ = -1;  // negative: no wakeup is scheduled
  bool reported_healthy_ = false;
};

}  // namespace damsonspoke::stages
