#include "fleet/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace damsonspoke::fleet {

void FleetRetryBudget::advance(double now) {
  if (advanced_to_ < 0) advanced_to_ = now;
  const double elapsed = now - advanced_to_;
  if (elapsed <= 0) return;
  const auto has_expired = [&](const Grant& grant) { return now >= grant.expires_at; };
  std::erase_if(leased_, has_expired);
  double rate = options_.retry_share * first_attempts_per_second_ - leased_per_second(now);
  for (const Grant& grant : borrowed_) {
    const double usable_share = std::clamp((grant.expires_at - advanced_to_) / elapsed, 0.0, 1.0);
    rate += grant.retries_per_second * usable_share;
  }
  std::erase_if(borrowed_, has_expired);
  // At most one second of the rate accumulates, or a single retry: the budget must not allow a retry storm.
  credit_ = std::min(credit_ + std::max(0.0, rate) * elapsed, std::max(1.0, rate));
  const double decay = std::exp(-elapsed / options_.rate_averaging_seconds);
  first_attempts_per_second_ *= decay;
  wanted_per_second_ *= decay;
  advanced_to_ = now;
}

void FleetRetryBudget::record_first_attempt(double now) {
  advance(now);
  first_attempts_per_second_ += 1 / options_.rate_averaging_seconds;
}

bool FleetRetryBudget::try_retry(double now) {
  advance(now);
  wanted_per_second_ += 1 / options_.rate_averaging_seconds;
  if (credit_ < 1) return false;
  credit_ -= 1;
  return true;
}

double FleetRetryBudget::own_per_second(double now) {
  advance(now);
  return options_.retry_share * first_attempts_per_second_;
}

double FleetRetryBudget::leased_per_second(double now) const {
  double sum = 0;
  for (const Grant& grant : leased_) sum += now < grant.expires_at ? grant.retries_per_second : 0;
  return sum;
}

double FleetRetryBudget::wanted_per_second(double now) {
  return std::max(0.0, wanted_per_second_ - own_per_second(now));
}

std::vector<FleetRetryBudget::Lease> FleetRetryBudget::lease(const std::map<std::string, double>& wanted,
                                                             double now) {
  const double own = own_per_second(now);
  const double needed = std::max(wanted_per_second_, options_.reserved_share * own);
  double spare = own - leased_per_second(now) - needed;
  double total_wanted = 0;
  for (const auto& [name, per_second] : wanted) total_wanted += std::max(0.0, per_second);
  std::vector<Lease> leases;
  if (spare <= 0 || total_wanted <= 0) return leases;
  spare = std::min(spare, total_wanted);
  const double expires_at = now + options_.lease_seconds + options_.max_delivery_seconds;
  for (const auto& [name, per_second] : wanted) {
    if (per_second <= 0) continue;
    const double part = spare * per_second / total_wanted;
    leases.push_back({name, part});
    leased_.push_back({part, expires_at});
  }
  return leases;
}

void FleetRetryBudget::on_lease(double retries_per_second, double age, double now) {
  advance(now);
  if (retries_per_second <= 0 || !std::isfinite(retries_per_second)) return;
  if (age > options_.max_delivery_seconds) return;
  borrowed_.push_back({retries_per_second, now + options_.lease_seconds});
}

}  // namespace damsonspoke::fleet
