// MembershipView: applying records, and refutation.
#include <algorithm>
#include <cmath>
#include <utility>

#include "members/membership_view.h"
#include "members/membership_view_internal.h"

namespace damsonspoke::members {
namespace {

constexpr double kRejoinSeconds = 30;        // until a process that yielded joins again
constexpr double kFlapHalfLifeSeconds = 60;  // of the count of returns
constexpr double kFlapThreshold = 3;         // returns; a member with more of them is flapping
constexpr double kDampingSeconds = 5;        // how long it then has to stay, doubled with each further return
constexpr double kMaxDampingSeconds = 60;

// Flap damping: a member that leaves and returns repeatedly counts as alive only after it has stayed for some
// time.
void record_return(Member& member, double now) {
  const double half_lives = (now - member.flap_counted_at) / kFlapHalfLifeSeconds;
  member.flap_count = member.flap_count * std::exp2(-half_lives) + 1;
  member.flap_counted_at = now;
  if (member.flap_count <= kFlapThreshold) return;
  const double doublings = std::floor(member.flap_count - kFlapThreshold);
  member.stable_at = now + std::min(kMaxDampingSeconds, kDampingSeconds * std::exp2(doublings));
}

// Resets what was reported and observed about the former process: a new process uses its name.
void forget_former_process(Member& member) {
  member.load_report_at = Member::kNever;
  member.record.load_report = {};
  member.link = {};
  member.last_ping_at = -1;
  member.last_evidence_number = 0;
  member.last_evidence_at = Member::kNever;
  member.last_helper.clear();
}

}  // namespace

void update_load_report(Member& member, const Record& record, double now) {
  if (record.load_report.version == 0 || record.epoch != member.record.epoch) return;
  const double made_at = now - record.load_report_age_ms / 1000.0;
  const std::uint32_t known_version = member.record.load_report.version;
  if (record.load_report.version < known_version) return;
  if (record.load_report.version == known_version && made_at <= member.load_report_at) return;
  member.record.load_report = record.load_report;
  member.load_report_at = made_at;
}

// Returns whether the record contained an update.
bool MembershipView::apply_record(const Record& record, double now) {
  if (record.name == self_.name) {
    apply_record_about_self(record, now);
    return false;
  }
  const std::optional<MemberIndex> index = table_.find(record.name);
  if (!index) return add_member(record, now);
  Member& member = table_[*index];
  update_load_report(member, record, now);
  if (supersedes(record, member.record)) {
    replace_record(*index, record, now);
    return true;
  }
  const bool is_equal = record.newest_epoch() == member.record.newest_epoch() &&
                        record.incarnation == member.record.incarnation;
  return is_equal && merge_equal_record(*index, record, now);
}

// Returns whether there was capacity for it.
bool MembershipView::add_member(const Record& record, double now) {
  Record without_report = record;
  without_report.load_report = {};
  const std::optional<MemberIndex> index = table_.add(without_report, now);
  if (!index) {
    ++counts_.rejected_members;
    return false;
  }
  Member& member = table_[*index];
  if (member.is_active()) schedule_.insert(*index, random_);
  update_load_report(member, record, now);
  reported_links_.update(record.name, record.broken_links, now);
  if (member.is_suspected()) {
    suspected_.insert(*index);
    member.suspicion_deadline = suspicion_deadline(member, now);
  }
  queue_gossip(*index);
  sink_.on_state_changed(record.name, state_of(member, now), StateChangeReason::kDiscovered);
  return true;
}

void MembershipView::replace_record(MemberIndex index, const Record& record, double now) {
  Member& member = table_[index];
  const Record former = std::exchange(member.record, record);
  const bool is_new_process = record.newest_epoch() > former.newest_epoch() && record.epoch != former.epoch;
  member.record.load_report = former.load_report;
  if (is_new_process) forget_former_process(member);
  update_load_report(member, record, now);
  if (!is_new_process && member.is_suspected() && former.condition == Condition::kSuspected)
    add_accusers(member.record, former.accusers);
  reported_links_.update(record.name, record.broken_links, now);
  apply_condition_change(index, former.condition, now, StateChangeReason::kGossip);
  const bool is_refuted = former.condition != Condition::kAlive && record.condition == Condition::kAlive;
  queue_gossip(index, is_refuted);
}

// A record of the same epoch and incarnation that does not replace the known one may still add accusers,
// which shorten a suspicion, evidence that the member is alive, or broken links. Returns whether there were
// new accusers.
bool MembershipView::merge_equal_record(MemberIndex index, const Record& record, double now) {
  Member& member = table_[index];
  if (record.condition == Condition::kSuspected && member.is_suspected()) {
    record_evidence(index, record.last_datagram_number, now);
    const bool has_more = add_accusers(member.record, record.accusers);
    if (has_more) shorten_suspicion(index);
    return has_more;
  }
  if (!record.broken_links.empty()) reported_links_.update(record.name, record.broken_links, now);
  return false;
}

void MembershipView::apply_condition_change(MemberIndex index, Condition before, double now,
                                            StateChangeReason reason) {
  Member& member = table_[index];
  const bool was_active = before <= Condition::kSuspected;
  const bool was_suspected = before == Condition::kSuspected;
  table_.update_activity(index);
  if (!was_active && member.is_active()) {
    schedule_.append(index);
    record_return(member, now);
  }
  if (before != member.record.condition) member.since = now;
  if (member.is_suspected()) {
    if (!was_suspected) {
      member.is_accused_here = false;
      member.final_probe_queued = false;
      newest_suspicion_at_ = now;
    }
    member.suspicion_deadline = suspicion_deadline(member, member.since);
    suspected_.insert(index);
  } else {
    member.suspicion_deadline = -1;
    member.is_accused_here = false;
    suspected_.erase(index);
    if (member.is_alive()) member.record.accusers.clear();
  }
  if (!member.is_active()) {
    unreachable_.erase(index);
    member.link = {};
  }
  if (before != member.record.condition)
    sink_.on_state_changed(member.record.name, state_of(member, now), reason);
}

// The record describes this process, a former process with this name, or a second process with this name that
// is running.
void MembershipView::apply_record_about_self(const Record& record, double now) {
  if (has_yielded_) return;
  if (record.epoch == self_.epoch) return apply_suspicion_of_self(record, now);
  if (record.conflicting_epoch >= self_.epoch && record.epoch < self_.epoch) {
    has_yielded_ = true;
    rejoin_at_ = now + kRejoinSeconds;
    sink_.on_notice({.kind = Notice::Kind::kYielded, .address = record.address, .pause_seconds = 0});
    return;
  }
  const bool is_former_process = record.newest_epoch() < self_.epoch;
  if (is_former_process || record.newest_epoch() >= kMaxEpoch) return;
  if (record.condition >= Condition::kDead || record.address == self_.address) {
    // A former process had a higher epoch, because a clock was set back.
    self_.epoch = record.newest_epoch() + 1;
    conflicting_epoch_ = 0;
    incarnation_ = 0;
    sink_.on_notice({.kind = Notice::Kind::kEpochRaised, .address = {}, .pause_seconds = 0});
    return refute({}, now, kRefuteFanout);
  }
  if (conflicting_epoch_ >= record.epoch) return;
  conflicting_epoch_ = record.epoch;
  ++incarnation_;
  sink_.on_notice({.kind = Notice::Kind::kIdentityConflict, .address = record.address, .pause_seconds = 0});
  refute({}, now, kRefuteFanout);
}

void MembershipView::apply_suspicion_of_self(const Record& record, double now) {
  if (is_leaving_ || record.condition == Condition::kAlive || record.incarnation < incarnation_) return;
  incarnation_ = record.incarnation;
  local_health_.degrade();
  ++counts_.refutations;
  sink_.on_notice({.kind = Notice::Kind::kRefuted, .address = {}, .pause_seconds = 0});
  refute(record.accusers, now, kRefuteFanout);
}

// The refutation is sent to the accusers first, because they are the first to declare the death.
void MembershipView::refute(const std::vector<std::string>& accusers, double now, std::size_t others) {
  // A suspicion may name the last incarnation; records with a higher one are not accepted.
  if (++incarnation_ > kMaxIncarnation) {
    ++self_.epoch;
    incarnation_ = 0;
  }
  Message message;
  message.records.push_back(self_record(now));
  for (const std::string& name : accusers) {
    if (const std::optional<MemberIndex> accuser = table_.find(name)) send(*accuser, message, now);
  }
  send_to_random_members(others, message, now);
}

}  // namespace damsonspoke::members
