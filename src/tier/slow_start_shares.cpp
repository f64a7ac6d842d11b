#include "tier/slow_start_shares.h"

#include <algorithm>
#include <vector>

#include "tier/slot_value.h"

namespace damsonspoke::tier {

void SlowStartShares::remove(Link link, double now) {
  const auto found = links_.find(link);
  if (found == links_.end()) return;
  Held& held = found->second;
  held.before = std::max(held.part, held.before);
  held.part = 0;
  held.lowered_at = now;
  held.gone = true;
}

std::uint32_t SlowStartShares::share(Link link) const {
  const auto found = links_.find(link);
  return found == links_.end() ? 0 : found->second.part;
}

// What a link may have open now: its part, or the one before while that may still be acted on, or what is
// open from before that.
std::uint64_t SlowStartShares::charge(const Held& held, std::size_t open, double now) const {
  const std::uint32_t may =
      now - held.lowered_at < options_.settle_seconds ? std::max(held.part, held.before) : held.part;
  return std::max<std::uint64_t>(may, open);
}

void SlowStartShares::rebalance(double now, double budget, const std::function<std::size_t(Link)>& open) {
  const auto whole = static_cast<std::uint64_t>(std::max(1.0, budget));
  std::vector<std::pair<Link, Held*>> here;
  std::uint64_t charged = 0;
  for (auto it = links_.begin(); it != links_.end();) {
    const std::uint64_t charges = charge(it->second, open(it->first), now);
    if (it->second.gone && charges == 0) {
      it = links_.erase(it);
      continue;
    }
    charged += charges;
    if (!it->second.gone) here.emplace_back(it->first, &it->second);
    ++it;
  }
  if (here.empty()) return;
  const auto even = static_cast<std::uint32_t>(whole / here.size());
  std::uint64_t over = whole % here.size();
  for (const auto& [link, held] : here) {
    const std::uint32_t most = even + (now - held->raised_at < options_.rotation_seconds ? 1 : 0);
    if (held->part > even) over -= std::min<std::uint64_t>(over, held->part > most ? 0 : 1);
    if (held->part <= most) continue;
    const bool still = now - held->lowered_at < options_.settle_seconds;
    held->before = still ? std::max(held->before, held->part) : held->part;
    held->part = most;
    held->lowered_at = now;
  }
  // Only what nobody may act on any more is handed out anew: even parts first, then what is left over, to who
  // has been without for the longest. Guards against a link that is passed over whenever something is free.
  std::uint64_t free = whole - std::min(whole, charged);
  const auto raise = [&](Link link, Held& held, std::uint32_t to) {
    const std::uint64_t has = charge(held, open(link), now);
    const std::uint64_t may = std::min<std::uint64_t>(to, has + free);
    if (may <= held.part) return false;
    free -= may > has ? may - has : 0;
    held.part = static_cast<std::uint32_t>(may);
    return held.part == to;
  };
  std::stable_sort(here.begin(), here.end(),
                   [](const auto& a, const auto& b) { return a.second->raised_at < b.second->raised_at; });
  for (const auto& [link, held] : here) {
    if (held->part < even) raise(link, *held, even);
  }
  for (const auto& [link, held] : here) {
    if (over == 0) return;
    if (held->part != even) continue;
    if (!raise(link, *held, even + 1)) return;  // nobody goes before it with what it had a moment ago
    held->raised_at = now;
    --over;
  }
}

double slow_start_budget(int cores, double slow_start_speed, double slow_start_seconds, double age) {
  const double grown = slow_start_seconds > 0 ? std::clamp(age / slow_start_seconds, 0.0, 1.0) : 1;
  const double speed = slow_start_speed + (1 - slow_start_speed) * grown;
  return kAttemptsPerCore * std::max(1, cores) * speed;
}

}  // namespace damsonspoke::tier
