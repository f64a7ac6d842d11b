// Which member is probed next. Active members are probed in rounds, each round in a new random order (SWIM,
// section 4.3), so that each is probed once a round and a death is found within two. Some probes go out of
// turn. Pure.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "members/member_table.h"
#include "members/random_source.h"

namespace damsonspoke::members {

class ProbeSchedule {
 public:
  // Puts a new member at a random place of the current round.
  void insert(MemberIndex member, RandomSource& random);
  // Puts a member that became active again at the end of the round, unless the round holds it.
  void append(MemberIndex member);
  // Makes the member the next one: a single failed probe may be a lost datagram.
  void probe_next(MemberIndex member) { next_out_of_turn_ = member; }
  // Queues the last probe of a suspected member before its deadline.
  void queue_final_probe(MemberIndex member) { final_probes_.push_back(member); }
  // None when no member is active.
  [[nodiscard]] std::optional<MemberIndex> next(const MemberTable& table, RandomSource& random);
  // The members of the round in their order; some of them may be gone.
  [[nodiscard]] const std::vector<MemberIndex>& round() const { return round_; }

 private:
  void start_round(const MemberTable& table, RandomSource& random);

  std::vector<MemberIndex> round_;
  std::size_t position_ = 0;  // in the round
  std::optional<MemberIndex> next_out_of_turn_;
  std::deque<MemberIndex> final_probes_;
};

}  // namespace damsonspoke::members
