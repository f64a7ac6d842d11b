// Definitions shared by the parts of MembershipView. Only for src/members/membership_view*.cpp.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

#include "members/member_table.h"
#include "members/record.h"

namespace damsonspoke::members {

inline constexpr double kDirectProbeShare = 0.4;       // of a probe period, after which helpers are asked
inline constexpr double kPauseThresholdSeconds = 0.3;  // timer delay that shows a pause of this process
inline constexpr double kSeedContactSeconds = 10;      // between contacts of seeds that are not alive members
inline constexpr double kDeadContactSeconds = 20;      // between contacts of dead members: heals long splits
// Time for which a suspected member is not declared dead after any member received a datagram from it.
inline constexpr double kEvidenceSeconds = 4;
inline constexpr std::size_t kLeaveFanout = 8;  // members that are notified of a leave immediately
inline constexpr std::size_t kRefuteFanout = 3;

// Number of accusers that give a suspicion its shortest timeout; further accusers are not listed.
inline constexpr std::size_t kMaxListedAccusers = 4;
static_assert(kMaxListedAccusers <= kMaxAccusers);

// Adds names to the accusers of a suspicion. Returns whether any of them was new.
inline bool add_accusers(Record& record, const std::vector<std::string>& names) {
  const std::size_t before = record.accusers.size();
  for (const std::string& name : names) {
    if (record.accusers.size() >= kMaxListedAccusers) break;
    if (std::find(record.accusers.begin(), record.accusers.end(), name) == record.accusers.end())
      record.accusers.push_back(name);
  }
  return record.accusers.size() > before;
}

// Stores a newer load report of the same epoch.
void update_load_report(Member& member, const Record& record, double now);

}  // namespace damsonspoke::members
