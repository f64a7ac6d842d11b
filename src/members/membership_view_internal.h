// What several parts of MembershipView share. For src/members/membership_view*.cpp alone.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

#include "members/member_table.h"
#include "members/record.h"

namespace damsonspoke::members {

inline constexpr double kDirectProbeShare = 0.4;       // of a probe period, until helpers are asked
inline constexpr double kPauseThresholdSeconds = 0.3;  // a timer that is later shows a pause of this process
inline constexpr double kSeedContactSeconds = 10;      // between contacts of seeds that are no members
inline constexpr double kDeadContactSeconds = 20;      // between contacts of dead members: heals long splits
inline constexpr double kEvidenceSeconds =
    4;  // that a suspected member is spared after anybody heard from it
inline constexpr std::size_t kLeaveFanout = 8;  // members that are notified of a leave at once
inline constexpr std::size_t kRefuteFanout = 3;

// Accusers that give a suspicion its shortest timeout; further ones are not listed.
inline constexpr std::size_t kMaxListedAccusers = 4;
static_assert(kMaxListedAccusers <= kMaxAccusers);

// Adds names to the accusers of a suspicion. Returns whether some were new.
inline bool add_accusers(Record& record, const std::vector<std::string>& names) {
  const std::size_t before = record.accusers.size();
  for (const std::string& name : names) {
    if (record.accusers.size() >= kMaxListedAccusers) break;
    if (std::find(record.accusers.begin(), record.accusers.end(), name) == record.accusers.end())
      record.accusers.push_back(name);
  }
  return record.accusers.size() > before;
}

// Takes over a newer load report of the same epoch.
void update_load_report(Member& member, const Record& record, double now);

}  // namespace damsonspoke::members
