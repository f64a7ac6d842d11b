#include "members/probe_schedule.h"

#include <algorithm>
#include <utility>

namespace damsonspoke::members {
namespace {

constexpr int kRounds = 2;  // that next() searches: the rest of the current one, then a new one

}  // namespace

void ProbeSchedule::insert(MemberIndex member, RandomSource& random) {
  const std::size_t position = position_ + random.index(round_.size() - position_ + 1);
  round_.insert(round_.begin() + static_cast<std::ptrdiff_t>(position), member);
}

void ProbeSchedule::append(MemberIndex member) {
  if (std::find(round_.begin(), round_.end(), member) == round_.end()) round_.push_back(member);
}

std::optional<MemberIndex> ProbeSchedule::next(const MemberTable& table, RandomSource& random) {
  if (!next_out_of_turn_ && !final_probes_.empty()) {
    next_out_of_turn_ = final_probes_.front();
    final_probes_.pop_front();
  }
  const std::optional<MemberIndex> out_of_turn = std::exchange(next_out_of_turn_, std::nullopt);
  if (out_of_turn && table[*out_of_turn].is_active()) return out_of_turn;
  for (int i = 0; i < kRounds; ++i) {
    while (position_ < round_.size()) {
      const MemberIndex member = round_[position_++];
      if (table[member].is_active()) return member;
    }
    start_round(table, random);
  }
  return std::nullopt;
}

void ProbeSchedule::start_round(const MemberTable& table, RandomSource& random) {
  std::erase_if(round_, [&](MemberIndex member) { return !table[member].is_active(); });
  std::sort(round_.begin(), round_.end());
  round_.erase(std::unique(round_.begin(), round_.end()), round_.end());
  for (std::size_t left = round_.size(); left > 1; --left)
    std::swap(round_[left - 1], round_[random.index(left)]);
  position_ = 0;
}

}  // namespace damsonspoke::members
