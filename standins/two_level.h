// Two levels among their stand-ins: forwarders that callers reach, planners behind them with a runtime each,
// in one loop and one journal.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "fleet.h"

namespace damsonspoke::standins {

class TwoLevel {
 public:
  // `site` is a planner's; forwarders share its routes. `forwarding`: more lines of their section.
  TwoLevel(const std::string& binary, SiteSpec site, Runtime::Options runtime, Callers::Options load,
           int forwarders, int planners, const std::string& forwarding = "",
           const std::vector<std::vector<std::string>>& planner_command_prefixes = {});

  bool start();
  // No new things are wanted; goes on until all tries have ended.
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
