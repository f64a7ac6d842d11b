// Selects the member that is probed next. Active members are probed in rounds, each round in a new random
// order (SWIM, section 4.3), so that each is probed once a round and a death is detected within two rounds.
// Some members are probed outside of that order. Pure.
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
  // Inserts a new member at a random position of the current round.
  void insert(MemberIndex member, RandomSource& random);
  // Appends a member that became active again to the round, unless the round already contains it.
  void append(MemberIndex member);
  // Makes this member the next one to be probed, because a single failed probe may be a lost datagram.
  void probe_next(MemberIndex member) { next_out_of_turn_ = member; }
  // Queues the last probe of a suspected member before its deadline.
  void queue_final_probe(MemberIndex member) { final_probes_.push_back(member); }
  // Returns none if no member is active.
  [[nodiscard]] std::optional<MemberIndex> next(const MemberTable& table, RandomSource& random);
  // The members of the round in their order; some of them may have been removed.
  [[nodiscard]] const std::vector<MemberIndex>& round() const { return round_; }

 private:
  void start_round(const MemberTable& table, RandomSource& random);

  std::vector<MemberIndex> round_;
  std::size_t position_ = 0;  // in the round
  std::optional<MemberIndex> next_out_of_turn_;
  std::deque<MemberIndex> final_probes_;
};

}  // namespace damsonspoke::members
