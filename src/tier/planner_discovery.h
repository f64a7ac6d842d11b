// Selects the planners of a forwarder that discovers them from the fleet's membership: those on its
// configured list, and members that serve as planners. A planner that becomes silent is retained for some
// time, so that a short absence moves no keys; one that has left is removed immediately. Policy without I/O.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace damsonspoke::tier {

// A planner as the membership sees it.
struct PlannerStatus {
  std::string address;
  bool is_alive = false;
  bool has_left = false;
};

class PlannerDiscovery {
 public:
  struct Options {
    double settle_seconds = 1;      // how long a new planner has to be alive before it gets requests
    double retention_seconds = 60;  // how long a silent planner is retained
    std::size_t max_planners = 64;
  };
  explicit PlannerDiscovery(Options options) : options_(options) {}

  // Returns the planners to use from now on: `listed` first, in their order. If no planner is left, the
  // previous result is kept: a membership view without any member is more likely to be wrong than right.
  // `now`: s on a monotonic clock.
  std::vector<std::string> update(const std::vector<std::string>& listed,
                                  const std::vector<PlannerStatus>& statuses, double now);

 private:
  struct Known {
    double alive_since = 0;
    double last_alive_at = 0;
    bool has_left = false;
  };
  void observe(const PlannerStatus& status, bool alive_elsewhere, double now);

  const Options options_;
  std::map<std::string, Known> known_;  // by address
  std::vector<std::string> current_;
};

}  // namespace damsonspoke::tier
