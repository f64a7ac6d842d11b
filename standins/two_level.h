// A two-level fleet: callers send to forwarders, which send to planners, each with a simulated runtime, in
// one loop and one journal.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "fleet.h"

namespace damsonspoke::standins {

class TwoLevel {
 public:
  // `site`: the settings of planners; forwarders have the same routes. `forwarding`: more lines of the
  // `forward` section. `planner_command_prefixes`: of the planners in turn; empty: none.
  TwoLevel(const std::string& binary, SiteSpec site, Runtime::Options runtime, Callers::Options load,
           int forwarders, int planners, const std::string& forwarding = "",
           const std::vector<std::vector<std::string>>& planner_command_prefixes = {});

  bool start();
  // Stops the load and waits until all attempts have ended; false on a timeout.
  bool settle(double timeout_seconds);
  bool shut_down();  // forwarders, then planners
  RuleLimits limits() const;

  Loop loop;
  Journal journal;
  Callers callers;
  std::vector<std::unique_ptr<Server>> planners, forwarders;

 private:
  const SiteSpec site_;
};

}  // namespace damsonspoke::standins
