// MembershipView: suspicions, evidence against them, and deaths.
#include <algorithm>
#include <utility>

#include "members/membership_view.h"
#include "members/membership_view_internal.h"
#include "members/timing.h"

namespace damsonspoke::members {
namespace {

constexpr double kEvidenceGossipSeconds = 1;   // after which new evidence of life is gossiped again
constexpr double kPauseAllowanceFactor = 1.5;  // of the longest reported pause, added to a suspicion
constexpr double kMaxPauseAllowanceSeconds = 5;
constexpr double kNonAccuserWaitSeconds = 1.5;  // additional wait of members that are not accusers
constexpr double kFinalProbeSeconds = 0.9;      // before the deadline: a refutation may have been missed
constexpr double kRecheckSeconds = 0.5;         // until a postponed death is checked again
constexpr double kRecentDeathSeconds = 10;      // how long a death counts as simultaneous silence
constexpr double kQuietSeconds = 2.5;  // without a new suspicion, after which the extent of a loss is known
constexpr double kMaxQuietWaitSeconds = 6;  // upper bound of the wait for that
// In a fleet up to this size, every member sends a datagram to this one within kQuietSeconds.
constexpr std::size_t kSmallFleetMembers = 40;

}  // namespace

void MembershipView::accuse(MemberIndex index, std::vector<std::string> accusers, double now) {
  Member& member = table_[index];
  if (member.is_suspected()) {
    member.is_accused_here = true;
    add_accusers(member.record, accusers);
    return shorten_suspicion(index);
  }
  ++counts_.suspicions;
  member.record.condition = Condition::kSuspected;
  member.record.accusers = std::move(accusers);
  apply_condition_change(index, Condition::kAlive, now, StateChangeReason::kNoAnswer);
  member.is_accused_here = true;
  member.suspicion_deadline = suspicion_deadline(member, now);
  queue_gossip(index);
}

// Further accusers are gossiped only where they shorten the suspicion, so that the gossip about a lost member
// does not grow with the number of members that detect the loss.
void MembershipView::shorten_suspicion(MemberIndex index) {
  Member& member = table_[index];
  const double deadline = suspicion_deadline(member, member.since);
  if (deadline >= member.suspicion_deadline) return;
  member.suspicion_deadline = deadline;
  queue_gossip(index);
}

// Some member received a datagram from a suspected member, so that member is alive even if this one can't
// reach it. The evidence is gossiped, and compared by datagram number: if it were compared by time, a delayed
// report could keep a dead member alive forever.
void MembershipView::record_evidence(MemberIndex index, std::uint32_t datagram_number, double now) {
  Member& member = table_[index];
  if (!member.is_suspected() || datagram_number <= member.last_evidence_number) return;
  if (now - member.last_evidence_at > kEvidenceGossipSeconds) queue_gossip(index);
  member.last_evidence_at = now;
  member.last_evidence_number = datagram_number;
}

// Accusers declare the death first; other members wait longer. A member that is known to pause gets more
// time.
double MembershipView::suspicion_deadline(const Member& member, double from) const {
  const std::size_t accusers = member.record.accusers.size();
  double time = suspicion_timeout(options_, fleet_size(), accusers);
  if (member.is_accused_here && accusers < 2) time *= local_health_.multiplier();
  time +=
      std::min(kMaxPauseAllowanceSeconds, kPauseAllowanceFactor * member.record.longest_pause_ms / 1000.0);
  if (!member.is_accused_here) time += kNonAccuserWaitSeconds;
  return from + time;
}

// How much of the fleet is silent at the same time. In a small fleet, where every member sends a datagram to
// this one within seconds, members without a datagram since the suspicion began count too: they may not have
// been probed yet.
MembershipView::SilentShare MembershipView::silent_share(MemberIndex suspect, double now) const {
  std::size_t others = 0;
  std::size_t silent = 0;
  std::size_t without_datagram = 0;
  const double since = table_[suspect].since;
  for (const MemberIndex index : table_.indices()) {
    const Member& member = table_[index];
    const Condition condition = member.record.condition;
    if (condition == Condition::kLeft) continue;
    if (condition == Condition::kDead && now - member.since >= kRecentDeathSeconds) continue;
    ++others;
    if (condition != Condition::kAlive || index == suspect)
      ++silent;
    else if (member.last_datagram_at < since)
      ++without_datagram;
  }
  const bool over_quarter = silent > 1 && silent * 4 > others;
  if (over_quarter && others <= kSmallFleetMembers && now > since + kQuietSeconds) silent += without_datagram;
  if (silent * 2 > others) return SilentShare::kOverHalf;
  return over_quarter ? SilentShare::kOverQuarter : SilentShare::kFew;
}

void MembershipView::check_suspicions(double now) {
  bool is_mass_silence = false;
  const std::vector<MemberIndex> suspects(suspected_.begin(), suspected_.end());
  for (const MemberIndex index : suspects) {
    Member& member = table_[index];
    if (now >= member.suspicion_deadline - kFinalProbeSeconds && !member.final_probe_queued) {
      member.final_probe_queued = true;
      schedule_.queue_final_probe(index);
    }
    if (now >= member.suspicion_deadline && check_expired_suspicion(index, now)) is_mass_silence = true;
  }
  if (!is_mass_silence && suspected_.empty()) mass_silence_since_ = -1;
}

// Declares the death or postpones the deadline. Returns whether over half of the fleet is silent.
bool MembershipView::check_expired_suspicion(MemberIndex index, double now) {
  Member& member = table_[index];
  if (!member.is_accused_here) {  // only an accuser may declare the death
    member.final_probe_queued = false;
    member.suspicion_deadline = now + kNonAccuserWaitSeconds;
    return false;
  }
  if (now - member.last_evidence_at < kEvidenceSeconds) {
    member.suspicion_deadline = now + kRecheckSeconds;
    return false;
  }
  const SilentShare share = silent_share(index, now);
  const double wait_until =
      std::min(newest_suspicion_at_ + kQuietSeconds, member.since + kMaxQuietWaitSeconds);
  if (share == SilentShare::kOverQuarter && now < wait_until) {
    member.suspicion_deadline = wait_until;
    return false;
  }
  if (share != SilentShare::kOverHalf) {
    declare_dead(index, now);
    return false;
  }
  // So many silent members are more likely disconnected from this one than dead.
  if (mass_silence_since_ < 0) {
    mass_silence_since_ = now;
    ++counts_.mass_silences;
    sink_.on_notice({.kind = Notice::Kind::kMassSilence, .address = {}, .pause_seconds = 0});
  }
  if (now - mass_silence_since_ < options_.mass_silence_hold * local_health_.multiplier())
    member.suspicion_deadline = now + kRecheckSeconds;
  else
    declare_dead(index, now);
  return true;
}

void MembershipView::declare_dead(MemberIndex index, double now) {
  ++counts_.deaths;
  table_[index].record.condition = Condition::kDead;
  apply_condition_change(index, Condition::kSuspected, now, StateChangeReason::kSuspicionExpired);
  queue_gossip(index);
}

}  // namespace damsonspoke::members
