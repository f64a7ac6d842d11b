#include "tier/key_ownership.h"

#include <xxhash.h>

#include <algorithm>

namespace damsonspoke::tier {

int KeyOwnership::owner(const List& list, std::uint64_t key_hash) {
  int best = -1;
  std::uint64_t best_rank = 0;
  for (const Planner& one : list.planners) {
    const std::uint64_t rank = XXH3_64bits_withSeed(one.name.data(), one.name.size(), key_hash);
    if (best < 0 || rank > best_rank) best = one.position, best_rank = rank;
  }
  return best;
}

void KeyOwnership::drop_expired_lists(double now) {
  std::erase_if(former_, [&](const List& one) { return is_expired(one, now); });
}

void KeyOwnership::set_planners(const std::vector<std::pair<int, std::string>>& planners, double now) {
  List next;
  for (const auto& [position, name] : planners) next.planners.push_back({position, name});
  if (has_list_ && options_.retention > 0) {
    drop_expired_lists(now);
    current_.until = now;
    former_.push_back(std::move(current_));
    // Guards against a list that changes all the time: what is no longer remembered is no longer asked, so
    // until its keys are over no moved key runs.
    while (former_.size() > kMaxFormerLists) {
      blocked_until_ =
          std::max(blocked_until_, former_.front().until + options_.reload_spread + options_.retention);
      former_.erase(former_.begin());
    }
  }
  has_list_ = true;
  current_ = std::move(next);
}

void KeyOwnership::add_former_list(const std::vector<std::pair<int, std::string>>& planners, double until) {
  if (options_.retention <= 0) return;
  List before;
  for (const auto& [position, name] : planners) before.planners.push_back({position, name});
  before.until = until;
  former_.push_back(std::move(before));
  std::stable_sort(former_.begin(), former_.end(),
                   [](const List& a, const List& b) { return a.until < b.until; });
}

void KeyOwnership::assume_unknown_history(double now) {
  if (options_.retention > 0)
    blocked_until_ = std::max(blocked_until_, now + options_.reload_spread + options_.retention);
}

KeyRoute KeyOwnership::route(std::uint64_t key_hash, double now) const {
  KeyRoute out;
  out.owner = owner(current_, key_hash);
  if (former_.empty() && now >= blocked_until_) return out;
  for (auto one = former_.rbegin(); one != former_.rend(); ++one) {
    if (is_expired(*one, now)) continue;
    const int was = owner(*one, key_hash);
    if (was < 0 || was == out.owner) continue;
    if (now < one->until + options_.reload_spread) out.may_run = false;
    if (std::find(out.former_owners.begin(), out.former_owners.end(), was) == out.former_owners.end())
      out.former_owners.push_back(was);
  }
  if (now < blocked_until_) out.may_run = false;
  return out;
}

bool KeyOwnership::may_remember_keys(int planner, double now) const {
  return std::any_of(former_.begin(), former_.end(), [&](const List& one) {
    return !is_expired(one, now) && std::any_of(one.planners.begin(), one.planners.end(),
                                                [&](const Planner& p) { return p.position == planner; });
  });
}

double KeyOwnership::migration_ends_at() const {
  double at = blocked_until_;
  for (const List& one : former_) at = std::max(at, one.until + options_.reload_spread + options_.retention);
  return at;
}

}  // namespace damsonspoke::tier
