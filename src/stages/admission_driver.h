// Drives the admission controller: passes it each event with the current time and, when its timer fires, the
// gauges of the runtime.
#pragma once

#include <cstdint>
#include <memory>

#include "admission/controller.h"
#include "catalog/catalog.h"
#include "net/reactor.h"
#include "observability/counters.h"
#include "peers/ports.h"
#include "settings/settings.h"

namespace damsonspoke::stages {

class StatisticsPersistence;
class DecisionExecutor;

class AdmissionDriver {
 public:
  AdmissionDriver(net::Reactor& reactor, const StartSettings& site, const catalog::Catalog& catalog,
                  std::uint64_t seed, DecisionExecutor& executor, StatisticsPersistence& statistics,
                  const peers::Ports& peers, Counters& counters);

  // Creates the controller. The runtime became ready `seconds_ago` seconds ago; with `is_cold` the controller
  // begins with a slow start. Does nothing once the server is draining.
  void start(bool is_cold, double seconds_ago);
  [[nodiscard]] bool is_started() const { return controller_ != nullptr; }

  // Events for AdmissionController. Only on_drain() may be called before start().
  void on_request(const Request& request);
  void on_run_finished(RequestId id, Outcome outcome, double run_seconds);
  void on_call_needed(RequestId id);
  void on_call_finished(RequestId id, Outcome outcome, double call_seconds);
  void on_caller_disconnected(RequestId id);
  void on_drain(double time_left);

  [[nodiscard]] LearnedStatistics learned() const {
    return controller_ ? controller_->learned() : LearnedStatistics{};
  }
  [[nodiscard]] double pool_used_kb() const { return controller_ ? controller_->pool_used_kb() : 0; }

 private:
  void schedule_wakeup(double time, std::uint64_t token);
  void on_timer(double scheduled_at, std::uint64_t token);

  net::Reactor& reactor_;
  AdmissionOptions options_;
  const catalog::Catalog& catalog_;
  const std::uint64_t seed_;
  DecisionExecutor& executor_;
  StatisticsPersistence& statistics_;
  const peers::Ports& peers_;
  Counters& counters_;
  std::unique_ptr<AdmissionController> controller_;
  bool is_draining_ = false;
};

}  // namespace damsonspoke::stages
