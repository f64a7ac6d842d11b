#include "tier/slow_start_shares.h"

#include <algorithm>
#include <vector>

#include "tier/slot_value.h"

namespace damsonspoke::tier {

void SlowStartShares::remove(Member member, double now) {
  const auto found = members_.find(member);
  if (found == members_.end()) return;
  Allotment& allotment = found->second;
  allotment.previous_share = std::max(allotment.share, allotment.previous_share);
  allotment.share = 0;
  allotment.lowered_at = now;
  allotment.removed = true;
}

std::uint32_t SlowStartShares::share(Member member) const {
  const auto found = members_.find(member);
  return found == members_.end() ? 0 : found->second.share;
}

// Attempts that a member may have open now: its share, the previous share while the member may still use it,
// or the open attempts if they are more.
std::uint64_t SlowStartShares::reserved(const Allotment& allotment, std::size_t open, double now) const {
  const bool settling = now - allotment.lowered_at < options_.settle_seconds;
  const std::uint32_t allowed =
      settling ? std::max(allotment.share, allotment.previous_share) : allotment.share;
  return std::max<std::uint64_t>(allowed, open);
}

// Drops removed members without reserved attempts. Collects the others in `present` and returns the sum of
// all reserved attempts.
std::uint64_t SlowStartShares::collect(double now, const std::function<std::size_t(Member)>& open,
                                       std::vector<Present>& present) {
  std::uint64_t total = 0;
  for (auto it = members_.begin(); it != members_.end();) {
    const std::uint64_t held = reserved(it->second, open(it->first), now);
    if (it->second.removed && held == 0) {
      it = members_.erase(it);
      continue;
    }
    total += held;
    if (!it->second.removed) present.push_back({it->first, &it->second});
    ++it;
  }
  return total;
}

// Lowers shares that are above the even share, except an extra attempt of the rotation whose time is not
// over. Returns the part of the remainder that no member holds.
std::uint64_t SlowStartShares::lower(const std::vector<Present>& present, std::uint32_t even,
                                     std::uint64_t remainder, double now) const {
  for (const auto& [member, allotment] : present) {
    const bool keeps_extra = now - allotment->raised_at < options_.rotation_seconds;
    const std::uint32_t max_share = even + (keeps_extra ? 1 : 0);
    if (allotment->share > even)
      remainder -= std::min<std::uint64_t>(remainder, allotment->share > max_share ? 0 : 1);
    if (allotment->share <= max_share) continue;
    const bool settling = now - allotment->lowered_at < options_.settle_seconds;
    allotment->previous_share =
        settling ? std::max(allotment->previous_share, allotment->share) : allotment->share;
    allotment->share = max_share;
    allotment->lowered_at = now;
  }
  return remainder;
}

void SlowStartShares::rebalance(double now, double budget, const std::function<std::size_t(Member)>& open) {
  const auto total = static_cast<std::uint64_t>(std::max(1.0, budget));
  std::vector<Present> present;
  const std::uint64_t reserved_total = collect(now, open, present);
  if (present.empty()) return;
  const auto even = static_cast<std::uint32_t>(total / present.size());
  std::uint64_t remainder = lower(present, even, total % present.size(), now);

  // Only attempts that no member may still begin are handed out again.
  std::uint64_t free = total - std::min(total, reserved_total);
  const auto raise = [&](Member member, Allotment& allotment, std::uint32_t to) {
    const std::uint64_t held = reserved(allotment, open(member), now);
    const std::uint64_t reachable = std::min<std::uint64_t>(to, held + free);
    if (reachable <= allotment.share) return false;
    free -= reachable > held ? reachable - held : 0;
    allotment.share = static_cast<std::uint32_t>(reachable);
    return allotment.share == to;
  };
  // Even shares first, then the remainder. The member that has waited longest comes first, so that no member
  // starves.
  std::stable_sort(present.begin(), present.end(), [](const Present& a, const Present& b) {
    return a.allotment->raised_at < b.allotment->raised_at;
  });
  for (const auto& [member, allotment] : present) {
    if (allotment->share < even) raise(member, *allotment, even);
  }
  for (const auto& [member, allotment] : present) {
    if (remainder == 0) return;
    if (allotment->share != even) continue;
    // No other member may overtake this one while it waits for attempts that are still reserved.
    if (!raise(member, *allotment, even + 1)) return;
    allotment->raised_at = now;
    --remainder;
  }
}

double slow_start_budget(int cores, double slow_start_speed, double slow_start_seconds, double age) {
  const double progress = slow_start_seconds > 0 ? std::clamp(age / slow_start_seconds, 0.0, 1.0) : 1;
  const double speed = slow_start_speed + (1 - slow_start_speed) * progress;
  return kAttemptsPerCore * std::max(1, cores) * speed;
}

}  // namespace damsonspoke::tier
