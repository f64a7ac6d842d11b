// What the parts of View share: times that several of them go by. For members/view*.cpp alone.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "members/record.h"

namespace damsonspoke::members {

inline constexpr double kDirectShare = 0.4;  // of a period, until helpers are asked
inline constexpr double kPause = 0.3;        // s that a wake may be late; more is a pause of our own
inline constexpr std::size_t kMostMembers = 4096, kMaxIndirectProbes = 64;
inline constexpr double kPauseMemory = 300;  // s that a pause is told
inline constexpr int kLeaveTo = 8;           // members that are told of a leave at once
inline constexpr double kSeedEvery = 10;     // s between tries of seeds that are not members
inline constexpr double kDeadEvery =
    20;  // s between tries of those that are dead: a long split heals by them
inline constexpr double kHeardCounts = 4;  // s that a suspected member lives on after somebody heard from it

inline constexpr std::size_t kWitnessesNeeded = 4;  // for a suspicion's least time; more are not told
static_assert(kWitnessesNeeded <= kMostWitnesses);

// True where some were new.
inline bool add_witnesses(Record& record, const std::vector<std::string>& names) {
  const std::size_t before = record.by.size();
  for (const std::string& name : names) {
    if (record.by.size() >= kWitnessesNeeded) break;
    if (std::find(record.by.begin(), record.by.end(), name) == record.by.end()) record.by.push_back(name);
  }
  return record.by.size() > before;
}

}  // namespace damsonspoke::members
