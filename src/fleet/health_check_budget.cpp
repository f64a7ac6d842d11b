#include "fleet/health_check_budget.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace damsonspoke::fleet {

HealthCheckBudget::HealthCheckBudget(HealthCheckBudgetOptions options, std::string self)
    : options_(options), self_(std::move(self)), usable_{self_} {}

void HealthCheckBudget::set_usable(const std::vector<std::string>& usable, double now) {
  if (started_at_ < 0) started_at_ = now;
  usable_ = usable;
  if (std::find(usable_.begin(), usable_.end(), self_) == usable_.end()) usable_.push_back(self_);
  for (const std::string& name : usable_) last_usable_at_[name] = now;
  for (auto& [dependency, state] : states_) state.is_current = false;
  std::erase_if(last_usable_at_,
                [&](const auto& entry) { return now - entry.second > options_.retention_seconds; });
}

std::vector<std::string> HealthCheckBudget::checkers(const std::string& dependency) const {
  const std::uint64_t seed = XXH3_64bits(dependency.data(), dependency.size());
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  for (const std::string& name : usable_)
    ranked.emplace_back(XXH3_64bits_withSeed(name.data(), name.size(), seed), name);
  const auto count = std::min(static_cast<std::size_t>(options_.checkers), ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
  std::vector<std::string> names;
  for (std::size_t i = 0; i < count; ++i) names.push_back(ranked[i].second);
  return names;
}

HealthCheckBudget::CheckerState& HealthCheckBudget::state_of(const std::string& dependency, double now) {
  CheckerState& state = states_[dependency];
  if (state.is_current) return state;
  const std::vector<std::string> names = checkers(dependency);
  const bool is_checker = std::find(names.begin(), names.end(), self_) != names.end();
  if (is_checker && !state.is_checker) state.checker_since = now;
  state.is_checker = is_checker;
  state.checkers = names.size();
  state.is_current = true;
  return state;
}

double HealthCheckBudget::checks_per_second(const std::string& dependency, double now) {
  const CheckerState& state = state_of(dependency, now);
  // An instance that has just started does not yet know the size of the fleet.
  const bool knows_fleet = started_at_ >= 0 && now - started_at_ >= options_.takeover_seconds;
  const bool has_taken_over = state.is_checker && now - state.checker_since >= options_.takeover_seconds;
  if (!knows_fleet || !has_taken_over) return 0;
  const auto usable = static_cast<double>(usable_.size());
  const double share = usable / std::max(static_cast<double>(last_usable_at_.size()), usable);
  return options_.checks_per_second * share / static_cast<double>(state.checkers);
}

bool HealthCheckBudget::try_check(const std::string& dependency, double now) {
  const double rate = checks_per_second(dependency, now);
  CheckerState& state = states_[dependency];
  // Each instance starts with a different credit: otherwise all instances with a small rate would send at the
  // same time.
  const auto rank =
      static_cast<double>(std::distance(last_usable_at_.begin(), last_usable_at_.lower_bound(self_)));
  const double phase = last_usable_at_.empty() ? 0 : rank / static_cast<double>(last_usable_at_.size());
  state.credit = rate <= 0 ? phase : std::min(1.0, state.credit + rate * (now - state.credited_at));
  state.credited_at = now;
  if (state.credit < 1) return false;
  state.credit -= 1;
  return true;
}

}  // namespace damsonspoke::fleet
