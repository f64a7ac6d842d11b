// Asks the module: every happening goes to its Decider, with the time and, on a wake, the gauges.
#pragma once

#include <cstdint>
#include <memory>

#include "catalog/catalog.h"
#include "decide.h"
#include "net/reactor.h"
#include "peers/ports.h"
#include "settings/settings.h"
#include "watch/counters.h"

namespace damsonspoke::stages {

class Learn;
class Route;

class Admit {
 public:
  Admit(net::Reactor& reactor, const StartSettings& site, const catalog::Catalog& catalog, std::uint64_t seed,
        Route& route, Learn& learn, const peers::Ports& peers, Counters& counters);

  // Its life starts with the runtime's, which came up this long ago.
  void begin(bool cold, double ago);
  bool begun() const { return decider_ != nullptr; }

  void on_op(const Op& op);
  void on_run_end(OpId id, Outcome outcome, double spent);
  void on_call_needed(OpId id);
  void on_call_end(OpId id, Outcome outcome, double spent);
  void on_gone(OpId id);
  void on_leave(double time_left);
  Knowledge learned() const { return decider_ ? decider_->learned() : Knowledge{}; }
  double pool_in_use() const { return decider_ ? decider_->pool_in_use() : 0; }

 private:
  void wake_at(double time, std::uint64_t token);
  void wake(double time, std::uint64_t token);

  net::Reactor& reactor_;
  Settings settings_;
  const catalog::Catalog& catalog_;
  std::uint64_t seed_;
  Route& route_;
  Learn& learn_;
  const peers::Ports& peers_;
  Counters& counters_;
  std::unique_ptr<Decider> decider_;
};

}  // namespace damsonspoke::stages
