// A retry budget for the whole fleet: a share of its first attempts. Each instance may spend its own share
// and leases what it does not need, for a short time, to instances that need more. Pure policy.
//
// A lender does not use what it has leased until the lease and its maximum delivery time have passed: so the
// retries of the fleet stay below the share of its first attempts even if leases are lost or late, or the
// network is split. Leases do not have to be returned.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace damsonspoke::fleet {

struct FleetRetryBudgetOptions {
  double retry_share = 0.1;           // of first attempts that may be retried
  double rate_averaging_seconds = 5;  // time constant of the averages of rates
  double lease_seconds = 5;           // how long a lease may be used, from its arrival
  double max_delivery_seconds = 3;    // that a lease may take to arrive; a later one is ignored
  double reserved_share = 0.25;       // of its own budget, which a lender keeps for sudden demand
};

class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(FleetRetryBudgetOptions options) : options_(options) {}

  // Records a first attempt. `now`: seconds, monotonic, in all methods.
  void record_first_attempt(double now);
  // Returns whether a retry may be made, and charges it.
  [[nodiscard]] bool try_retry(double now);

  // Retries per second that this instance would make beyond its own budget.
  [[nodiscard]] double wanted_per_second(double now);
  struct Lease {
    std::string to;
    double retries_per_second = 0;
  };
  // Divides this instance's unneeded budget among the other instances in proportion to `wanted`, in retries
  // per second. Should be called every lease_seconds; the leases must be sent immediately.
  [[nodiscard]] std::vector<Lease> lease(const std::map<std::string, double>& wanted, double now);
  // A lease arrived `age` seconds after it was made.
  void on_lease(double retries_per_second, double age, double now);

  // Retries per second: the share of this instance's own first attempts.
  [[nodiscard]] double own_per_second(double now);
  [[nodiscard]] double leased_per_second(double now) const;

 private:
  struct Grant {
    double retries_per_second = 0;
    double expires_at = 0;
  };
  void advance(double now);

  const FleetRetryBudgetOptions options_;
  double advanced_to_ = -1;               // negative: not started
  double first_attempts_per_second_ = 0;  // decaying averages
  double wanted_per_second_ = 0;
  double credit_ = 0;  // retries that may be made now
  std::vector<Grant> leased_;
  std::vector<Grant> borrowed_;
};

}  // namespace damsonspoke::fleet
