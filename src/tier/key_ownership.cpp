#include "tier/key_ownership.h"

#include <xxhash.h>

#include <algorithm>

namespace damsonspoke::tier {

int KeyOwnership::owner(const List& list, std::uint64_t key_hash) {
  int best = -1;
  std::uint64_t best_rank = 0;
  for (const Planner& planner : list.planners) {
    const std::uint64_t rank = XXH3_64bits_withSeed(planner.name.data(), planner.name.size(), key_hash);
    if (best >= 0 && rank <= best_rank) continue;
    best = planner.position;
    best_rank = rank;
  }
  return best;
}

KeyOwnership::List KeyOwnership::make_list(const EndpointList& planners) {
  List list;
  for (const auto& [position, name] : planners) list.planners.push_back({position, name});
  return list;
}

// The former owners on a dropped list can no longer be asked, so no request that arrived before its end runs.
void KeyOwnership::drop_expired_lists(double now) {
  for (const List& list : former_) {
    if (is_expired(list, now)) blocked_until_ = std::max(blocked_until_, expires_at(list));
  }
  std::erase_if(former_, [&](const List& list) { return is_expired(list, now); });
}

void KeyOwnership::set_planners(const EndpointList& planners, double now) {
  if (has_list_ && options_.retention > 0) {
    drop_expired_lists(now);
    current_.until = now;
    former_.push_back(std::move(current_));
    // The owners on a list that is dropped early can no longer be asked, so no key runs until that list would
    // have expired. This bounds memory when the list changes continually.
    while (former_.size() > kMaxFormerLists) {
      blocked_until_ = std::max(blocked_until_, expires_at(former_.front()));
      former_.erase(former_.begin());
    }
  }
  has_list_ = true;
  current_ = make_list(planners);
}

void KeyOwnership::add_former_list(const EndpointList& planners, double until) {
  if (options_.retention <= 0) return;
  List list = make_list(planners);
  list.until = until;
  former_.push_back(std::move(list));
  std::stable_sort(former_.begin(), former_.end(),
                   [](const List& a, const List& b) { return a.until < b.until; });
}

void KeyOwnership::assume_unknown_history(double now) {
  if (options_.retention <= 0) return;
  blocked_until_ = std::max(blocked_until_, now + options_.reload_spread + options_.retention);
}

KeyRoute KeyOwnership::route(std::uint64_t key_hash, double arrived_at) const {
  KeyRoute out;
  out.owner = owner(current_, key_hash);
  if (former_.empty() && arrived_at >= blocked_until_) return out;
  for (std::size_t i = former_.size(); i-- > 0;) {
    const List& list = former_[i];
    if (is_expired(list, arrived_at)) continue;
    const int former = owner(list, key_hash);
    if (former < 0 || former == out.owner) continue;
    if (arrived_at < list.until + options_.reload_spread) out.may_run = false;
    const bool known =
        std::find(out.former_owners.begin(), out.former_owners.end(), former) != out.former_owners.end();
    if (!known) out.former_owners.push_back(former);
  }
  if (arrived_at < blocked_until_) out.may_run = false;
  return out;
}

bool KeyOwnership::may_remember_keys(int planner, double now) const {
  return std::any_of(former_.begin(), former_.end(), [&](const List& list) {
    return !is_expired(list, now) && std::any_of(list.planners.begin(), list.planners.end(),
                                                 [&](const Planner& one) { return one.position == planner; });
  });
}

double KeyOwnership::migration_ends_at() const {
  double at = blocked_until_;
  for (const List& list : former_) at = std::max(at, expires_at(list));
  return at;
}

}  // namespace damsonspoke::tier
