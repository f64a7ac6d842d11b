// One retry budget for the whole fleet: a share of its first attempts. Each instance may spend its own share;
// what it does not need it leases, for a short time, to instances that need more. Pure policy.
//
// A lender does without what it has leased until the lease and the time of its delivery have passed: so the
// retries of all stay under the share of all first attempts, whatever is lost, late or cut off. Nothing has
// to be returned.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace damsonspoke::fleet {

struct FleetRetryBudgetOptions {
  double retry_share = 0.1;           // retries, of first attempts
  double rate_averaging_seconds = 5;  // over which rates are averaged
  double lease_seconds = 5;           // that a lease may be used, from its arrival
  double max_delivery_seconds = 3;    // that a lease may take to arrive; later it is worth nothing
  double reserved_share = 0.25;       // of its own budget that a lender keeps for sudden needs
};

class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(FleetRetryBudgetOptions options) : options_(options) {}

  // Records a first attempt. `now`: seconds, monotonic, in all methods.
  void record_first_attempt(double now);
  // Whether a retry may be made; it is charged then.
  [[nodiscard]] bool try_retry(double now);

  // Retries a second that this instance would make beyond its own budget.
  [[nodiscard]] double wanted_per_second(double now);
  struct Lease {
    std::string to;
    double retries_per_second = 0;
  };
  // What this instance leases now, by what others want a second. To be called every lease_seconds; the leases
  // must be sent at once.
  [[nodiscard]] std::vector<Lease> lease(const std::map<std::string, double>& wanted, double now);
  // A lease arrived, `age` seconds after it was made.
  void on_lease(double retries_per_second, double age, double now);

  // Retries a second: the share of this instance's own first attempts.
  [[nodiscard]] double own_per_second(double now);
  [[nodiscard]] double leased_per_second(double now) const;

 private:
  struct Grant {
    double retries_per_second = 0;
    double expires_at = 0;
  };
  void advance(double now);

  const FleetRetryBudgetOptions options_;
  double advanced_to_ = -1;               // negative: not yet
  double first_attempts_per_second_ = 0;  // averages
  double wanted_per_second_ = 0;
  double credit_ = 0;  // retries that may be made now
  std::vector<Grant> leased_;
  std::vector<Grant> borrowed_;
};

}  // namespace damsonspoke::fleet
