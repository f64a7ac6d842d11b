#include "fleet/health_check_budget.h"

#include <xxhash.h>

#include <algorithm>

namespace damsonspoke::fleet {

HealthCheckBudget::HealthCheckBudget(HealthCheckBudgetOptions terms, std::string self)
    : terms_(terms), self_(std::move(self)), usable_{self_} {}

void HealthCheckBudget::view(const std::vector<std::string>& usable, double now) {
  if (begun_ < 0) begun_ = now;
  usable_ = usable;
  if (std::find(usable_.begin(), usable_.end(), self_) == usable_.end()) usable_.push_back(self_);
  for (const std::string& name : usable_) seen_[name] = now;
  for (auto& [layer, turn] : turns_) turn.ranked = false;
  std::erase_if(seen_, [&](const auto& one) { return now - one.second > terms_.remember; });
}

std::vector<std::string> HealthCheckBudget::probers(const std::string& layer) const {
  const std::uint64_t seed = XXH3_64bits(layer.data(), layer.size());
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  for (const std::string& name : usable_)
    ranked.emplace_back(XXH3_64bits_withSeed(name.data(), name.size(), seed), name);
  const auto count = std::min(static_cast<std::size_t>(terms_.probers), ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
  std::vector<std::string> out;
  for (std::size_t i = 0; i < count; ++i) out.push_back(ranked[i].second);
  return out;
}

double HealthCheckBudget::rate(const std::string& layer, double now) {
  Turn& turn = turns_[layer];
  if (!turn.ranked) {
    const std::vector<std::string> all = probers(layer);
    const bool ours = std::find(all.begin(), all.end(), self_) != all.end();
    if (ours && !turn.ours) turn.since = now;
    turn.ours = ours;
    turn.probers = all.size();
    turn.ranked = true;
  }
  // Who has just come up does not know yet how many there are.
  const bool settled = begun_ >= 0 && now - begun_ >= terms_.settle && now - turn.since >= terms_.settle;
  if (!turn.ours || !settled) return 0;
  const double share =
      static_cast<double>(usable_.size()) / static_cast<double>(std::max(seen_.size(), usable_.size()));
  return terms_.per_s * share / static_cast<double>(turn.probers);
}

bool HealthCheckBudget::may_probe(const std::string& layer, double now) {
  const double allowed = rate(layer, now);
  Turn& turn = turns_[layer];
  // Begins at a place of its own among all: many with a small rate each would else all send at one moment.
  const auto place = static_cast<double>(std::distance(seen_.begin(), seen_.lower_bound(self_)));
  const double phase = seen_.empty() ? 0 : place / static_cast<double>(seen_.size());
  turn.credit = allowed <= 0 ? phase : std::min(1.0, turn.credit + allowed * (now - turn.at));
  turn.at = now;
  if (turn.credit < 1) return false;
  turn.credit -= 1;
  return true;
}

}  // namespace damsonspoke::fleet
