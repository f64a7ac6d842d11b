// A forwarder's one stage: requests as callers send them, kept until they have their one answer, and what
// tier/ decides about them carried out.
#pragma once

#include <memory>
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
  RequestForwarder(net::Reactor& reactor, const Ports& ports, const StartSettings& site,
                   const ForwardOptions& options, const ResultsOptions& results, std::size_t body_bytes,
                   std::uint64_t seed, Counters& counters, Logger& log);
  ~RequestForwarder() override;

  void begin();  // once all peers are there
  void leave(double time_left);
  void set_planners(const std::vector<std::string>& addresses);
  std::size_t open() const { return open_.size(); }
  void report();  // brings the counters up to date

  // Callers.
  bool is_in_use(RequestId id) const override { return open_.contains(id); }
  bool has_started(RequestId) const override { return false; }  // nothing runs here
  void on_request_read(peers::IncomingRequest request) override;
  void on_caller_disconnected(RequestId id) override;
  void on_health_check(peers::ReplyAddress ticket, bool wants_work) override;

  // Planners.
  void on_link_up(int planner, std::uint64_t epoch, std::uint32_t window) override;
  void on_link_lost(int planner, const std::vector<std::uint64_t>& unwritten) override;
  void on_window(int planner, const wire::tier::Window& window) override;
  void on_no_more(int planner) override;
  void on_answer(int planner, std::uint64_t epoch, const wire::tier::Answer& answer) override;

 private:
  struct Open {
    peers::IncomingRequest request;
    double due = 0;  // Unix s
  };

  // What was decided.
  void send(int planner, tier::Attempt attempt, RequestId request, double left, bool known_only) override;
  void cancel(int planner, tier::Attempt attempt) override;
  void fence(int planner, tier::Attempt attempt) override;
  void reply(RequestId request, tier::LocalAnswer how, double retry_after, bool no_retry) override;
  void schedule_wakeup(double time) override;

  Open take_out(RequestId id, Count as);
  std::uint64_t home_mark(const peers::IncomingRequest& request) const;
  void look();
  void link_planners();
  void recall_lists();
  void keep_lists();

  net::Reactor& reactor_;
  const Ports& ports_;
  const StartSettings& site_;
  const bool digest_by_caller_;
  Counters& counters_;
  Logger& log_;
  pcg64 random_;
  std::unordered_map<RequestId, Open> open_;
  std::size_t body_bytes_ = 0;
  const std::size_t most_body_bytes_;
  std::unique_ptr<tier::Dispatch> dispatch_;
  const tier::KeyOwnershipOptions homes_;
  tier::EndpointListHistory lists_;  // in force, and before
  std::vector<bool> linked_;         // planners, by position
  std::unique_ptr<store::PersistedFile> kept_;
  net::Reactor::TimerId wake_timer_, look_timer_;
  double wake_time_ = -1;
  bool reported_ = false, left_ = false;
};

}  // namespace damsonspoke::stages
