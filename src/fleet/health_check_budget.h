// Decides which instances send health checks to an unhealthy dependency, and how often: all instances
// together send a configured number per second, independent of their number and of differences between their
// views of the membership. Pure policy: the input is the membership, the output this instance's rate; it
// needs no shared clock and no agreement between instances.
//
// The checkers of a dependency are the few usable instances that rank first by rendezvous hashing (Thaler and
// Ravishankar 1998). When one of them dies, pauses or is disconnected, the next in rank takes its place after
// a delay, because other instances may not yet know of the change. Each instance scales its rate by the
// usable share of the fleet that it knows, so that the sides of a network split, or instances that each see
// no others, together stay within the rate.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace damsonspoke::fleet {

struct HealthCheckBudgetOptions {
  double checks_per_second = 4;    // by all instances together
  int checkers = 4;                // that share the checks
  double takeover_seconds = 3;     // how long a new checker waits; exceeds the propagation time of gossip
  double retention_seconds = 600;  // how long an unusable instance still counts as part of the fleet
};

class HealthCheckBudget {
 public:
  HealthCheckBudget(HealthCheckBudgetOptions options, std::string self);

  // Sets the other usable instances. Must be called at each change of the membership, and also periodically.
  // `now`: seconds, monotonic, in all methods.
  void set_usable(const std::vector<std::string>& usable, double now);
  // Health checks per second that this instance may currently send to the dependency.
  [[nodiscard]] double checks_per_second(const std::string& dependency, double now);
  // Returns whether a check may be sent now, and charges it. At most one unused check accumulates.
  [[nodiscard]] bool try_check(const std::string& dependency, double now);

  // Number of recently known instances, including this one.
  [[nodiscard]] std::size_t fleet_size() const { return last_usable_at_.size(); }
  // The instances that check the dependency, in order of rank.
  [[nodiscard]] std::vector<std::string> checkers(const std::string& dependency) const;

 private:
  struct CheckerState {
    bool is_current = false;  // computed for the current membership
    std::size_t checkers = 1;
    bool is_checker = false;  // this instance is one of the checkers
    double checker_since = 0;
    double credit = 0;  // checks
    double credited_at = 0;
  };
  CheckerState& state_of(const std::string& dependency, double now);

  const HealthCheckBudgetOptions options_;
  const std::string self_;
  std::vector<std::string> usable_;  // including this instance
  std::map<std::string, double> last_usable_at_;
  std::map<std::string, CheckerState> states_;  // by dependency
  double started_at_ = -1;                      // negative: not started
};

}  // namespace damsonspoke::fleet
