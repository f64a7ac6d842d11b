// Asks the module: every happening goes to its AdmissionController, with the time and, on a wake, the gauges.
#pragma once

#include <cstdint>
#include <memory>

#include "catalog/catalog.h"
#include "admission/controller.h"
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
                  std::uint64_t seed, DecisionExecutor& route, StatisticsPersistence& statistics,
                  const peers::Ports& peers, Counters& counters);

  // Its life starts with the runtime's, which came up this long ago.
  void begin(bool cold, double ago);
  bool begun() const { return controller_ != nullptr; }

  void on_request(const Request& request);
  void on_run_finished(RequestId id, Outcome outcome, double spent);
  void on_call_needed(RequestId id);
  void on_call_finished(RequestId id, Outcome outcome, double spent);
  void on_caller_gone(RequestId id);
  void on_drain(double time_left);
  LearnedStatistics learned() const { return controller_ ? controller_->learned() : LearnedStatistics{}; }
  double pool_in_use() const { return controller_ ? controller_->pool_in_use() : 0; }

 private:
  void schedule_wakeup(double time, std::uint64_t token);
  void wake(double time, std::uint64_t token);

  net::Reactor& reactor_;
  AdmissionOptions settings_;
  const catalog::Catalog& catalog_;
  std::uint64_t seed_;
  DecisionExecutor& executor_;
  StatisticsPersistence& statistics_;
  const peers::Ports& peers_;
  Counters& counters_;
  std::unique_ptr<AdmissionController> controller_;
};

}  // namespace damsonspoke::stages
