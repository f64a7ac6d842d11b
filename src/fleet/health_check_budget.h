// Which instances send health checks to an unhealthy dependency, and how often: all instances together send a
// configured number a second, however many they are and whatever each believes of the others. Pure policy:
// the membership goes in, this instance's rate comes out; no clock is shared and nothing is agreed.
//
// The checkers of a dependency are the few usable instances that rank first by rendezvous hashing (Thaler and
// Ravishankar 1998). When one of them dies, pauses or is cut off, the next in rank takes its place, after a
// wait: the news of it may not have reached all yet. Each instance uses only the share of the rate that its
// side's share of the known fleet allows, so that the sides of a split, or members that all believe that they
// are alone, together stay within the rate.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace damsonspoke::fleet {

struct HealthCheckBudgetOptions {
  double checks_per_second = 4;    // of all instances together
  int checkers = 4;                // that share them
  double takeover_seconds = 3;     // that a new checker waits; longer than gossip takes to reach all
  double retention_seconds = 600;  // that an instance no longer usable counts as part of the fleet
};

class HealthCheckBudget {
 public:
  HealthCheckBudget(HealthCheckBudgetOptions options, std::string self);

  // Sets the usable instances beside this one. To be called at each change of the membership, and now and
  // then. `now`: seconds, monotonic, in all methods.
  void set_usable(const std::vector<std::string>& usable, double now);
  // Checks a second of the given dependency that this instance may send now.
  [[nodiscard]] double checks_per_second(const std::string& dependency, double now);
  // Whether a check may be sent now; it is charged then. At most one is saved up.
  [[nodiscard]] bool try_check(const std::string& dependency, double now);

  // Instances known lately, this one among them.
  [[nodiscard]] std::size_t fleet_size() const { return last_usable_at_.size(); }
  // The instances that check the dependency, by rank.
  [[nodiscard]] std::vector<std::string> checkers(const std::string& dependency) const;

 private:
  struct CheckerState {
    bool is_current = false;  // computed for the present membership
    std::size_t checkers = 1;
    bool is_checker = false;  // this instance is one of them
    double checker_since = 0;
    double credit = 0;  // checks
    double credited_at = 0;
  };
  CheckerState& state_of(const std::string& dependency, double now);

  const HealthCheckBudgetOptions options_;
  const std::string self_;
  std::vector<std::string> usable_;  // this instance among them
  std::map<std::string, double> last_usable_at_;
  std::map<std::string, CheckerState> states_;  // by dependency
  double started_at_ = -1;                      // negative: not yet
};

}  // namespace damsonspoke::fleet
