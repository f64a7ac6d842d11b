// What the parts of View share: times that several of them go by. For members/view*.cpp alone.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "members/record.h"

namespace damsonspoke::members {

inline constexpr double kDirectProbeShare = 0.4;  // of a period, until helpers are asked
inline constexpr double kPauseThresholdSeconds =
    0.3;  // s that a wake may be late; more is a pause of our own
inline constexpr std::size_t kMaxMembers = 4096, kMaxIndirectProbes = 64;
inline constexpr double kPauseMemorySeconds = 300;  // s that a pause is told
inline constexpr int kLeaveFanout = 8;              // members that are told of a leave at once
inline constexpr double kSeedContactSeconds = 10;   // s between tries of seeds that are not members
inline constexpr double kDeadContactSeconds =
    20;  // s between tries of those that are dead: a long split heals by them
inline constexpr double kHeardByOthersSeconds =
    4;  // s that a suspected member lives on after somebody heard from it

inline constexpr std::size_t kAccusersNeeded = 4;  // for a suspicion's least time; more are not told
static_assert(kAccusersNeeded <= kMaxAccusers);

// True where some were new.
inline bool add_accusers(Record& record, const std::vector<std::string>& names) {
  const std::size_t before = record.accusers.size();
  for (const std::string& name : names) {
    if (record.accusers.size() >= kAccusersNeeded) break;
    if (std::find(record.accusers.begin(), record.accusers.end(), name) == record.accusers.end())
      record.accusers.push_back(name);
  }
  return record.accusers.size() > before;
}

}  // namespace damsonspoke::members
