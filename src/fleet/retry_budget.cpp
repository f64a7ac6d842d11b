#include "fleet/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace damsonspoke::fleet {

void FleetRetryBudget::pass(double now) {
  if (at_ < 0) at_ = now;
  const double dt = now - at_;
  if (dt <= 0) return;
  std::erase_if(lent_, [&](const Held& one) { return now >= one.until; });
  double rate = terms_.share * firsts_ - lent(now);
  for (const Held& one : borrowed_) rate += one.per_s * std::clamp((one.until - at_) / dt, 0.0, 1.0);
  std::erase_if(borrowed_, [&](const Held& one) { return now >= one.until; });
  // No more than a second of it is saved up, but for a single one: budgets are not for storms.
  credit_ = std::min(credit_ + std::max(0.0, rate) * dt, std::max(1.0, rate));
  const double fade = std::exp(-dt / terms_.memory);
  firsts_ *= fade, wanted_ *= fade, made_ *= fade;
  at_ = now;
}

void FleetRetryBudget::first(double now) {
  pass(now);
  firsts_ += 1 / terms_.memory;
}

bool FleetRetryBudget::further(double now) {
  pass(now);
  wanted_ += 1 / terms_.memory;
  if (credit_ < 1) return false;
  credit_ -= 1;
  made_ += 1 / terms_.memory;
  return true;
}

double FleetRetryBudget::own(double now) {
  pass(now);
  return terms_.share * firsts_;
}

double FleetRetryBudget::lent(double now) const {
  double out = 0;
  for (const Held& one : lent_) out += now < one.until ? one.per_s : 0;
  return out;
}

double FleetRetryBudget::wants(double now) { return std::max(0.0, wanted_ - own(now)); }

std::vector<FleetRetryBudget::Part> FleetRetryBudget::lend(const std::map<std::string, double>& wanted,
                                                           double now) {
  const double budget = own(now);
  double spare = budget - lent(now) - std::max(wanted_, terms_.kept * budget);
  double all = 0;
  for (const auto& [name, per_s] : wanted) all += std::max(0.0, per_s);
  std::vector<Part> out;
  if (spare <= 0 || all <= 0) return out;
  spare = std::min(spare, all);
  for (const auto& [name, per_s] : wanted) {
    if (per_s <= 0) continue;
    out.push_back({name, spare * per_s / all});
    lent_.push_back({out.back().per_s, now + terms_.lasts + terms_.under_way});
  }
  return out;
}

void FleetRetryBudget::borrowed(double per_s, double age, double now) {
  pass(now);
  if (per_s <= 0 || !std::isfinite(per_s) || age > terms_.under_way) return;
  borrowed_.push_back({per_s, now + terms_.lasts});
}

}  // namespace damsonspoke::fleet
