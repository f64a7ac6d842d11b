#include "tier/key_ownership.h"

#include <xxhash.h>

#include <algorithm>

namespace damsonspoke::tier {

int KeyOwnership::home(const List& list, std::uint64_t mark) {
  int best = -1;
  std::uint64_t best_rank = 0;
  for (const Planner& one : list.planners) {
    const std::uint64_t rank = XXH3_64bits_withSeed(one.name.data(), one.name.size(), mark);
    if (best < 0 || rank > best_rank) best = one.position, best_rank = rank;
  }
  return best;
}

void KeyOwnership::forget(double now) {
  std::erase_if(former_, [&](const List& one) { return over(one, now); });
}

void KeyOwnership::list(const std::vector<std::pair<int, std::string>>& planners, double now) {
  List next;
  for (const auto& [position, name] : planners) next.planners.push_back({position, name});
  if (begun_ && terms_.memory > 0) {
    forget(now);
    now_in_force_.until = now;
    former_.push_back(std::move(now_in_force_));
    // Guards against a list that changes all the time: what is no longer remembered is no longer asked, so
    // until its keys are over no moved key runs.
    while (former_.size() > kMostFormer) {
      blocked_until_ = std::max(blocked_until_, former_.front().until + terms_.spread + terms_.memory);
      former_.erase(former_.begin());
    }
  }
  begun_ = true;
  now_in_force_ = std::move(next);
}

void KeyOwnership::former(const std::vector<std::pair<int, std::string>>& planners, double until) {
  if (terms_.memory <= 0) return;
  List before;
  for (const auto& [position, name] : planners) before.planners.push_back({position, name});
  before.until = until;
  former_.push_back(std::move(before));
  std::stable_sort(former_.begin(), former_.end(),
                   [](const List& a, const List& b) { return a.until < b.until; });
}

void KeyOwnership::unknown_before(double now) {
  if (terms_.memory > 0) blocked_until_ = std::max(blocked_until_, now + terms_.spread + terms_.memory);
}

KeyRoute KeyOwnership::way(std::uint64_t mark, double now) const {
  KeyRoute out;
  out.home = home(now_in_force_, mark);
  if (former_.empty() && now >= blocked_until_) return out;
  for (auto one = former_.rbegin(); one != former_.rend(); ++one) {
    if (over(*one, now)) continue;
    const int was = home(*one, mark);
    if (was < 0 || was == out.home) continue;
    if (now < one->until + terms_.spread) out.may_run = false;
    if (std::find(out.ask.begin(), out.ask.end(), was) == out.ask.end()) out.ask.push_back(was);
  }
  if (now < blocked_until_) out.may_run = false;
  return out;
}

bool KeyOwnership::may_be_asked(int planner, double now) const {
  return std::any_of(former_.begin(), former_.end(), [&](const List& one) {
    return !over(one, now) && std::any_of(one.planners.begin(), one.planners.end(),
                                          [&](const Planner& p) { return p.position == planner; });
  });
}

double KeyOwnership::settled_at() const {
  double at = blocked_until_;
  for (const List& one : former_) at = std::max(at, one.until + terms_.spread + terms_.memory);
  return at;
}

}  // namespace damsonspoke::tier
