#include "members/membership_view.h"

#include <algorithm>
#include <utility>

#include "members/membership_view_internal.h"

namespace damsonspoke::members {
namespace {

constexpr double kTimerShare = 0.15;                // of the probe interval, between two timers
constexpr double kGossipSeconds = 0.1;              // between two rounds of gossip
constexpr double kBrokenLinkRetentionSeconds = 30;  // how long a report of broken links is valid
constexpr double kPauseRetentionSeconds = 300;      // how long a pause is reported
constexpr double kReportedPauseSeconds = 0.5;       // shorter pauses are not reported
constexpr double kCatchUpSeconds = 0.3;             // after a pause, in which no member is accused

std::uint32_t milliseconds(double seconds) {
  return static_cast<std::uint32_t>(std::max(0.0, seconds) * 1000);
}

}  // namespace

MembershipView::MembershipView(MembershipOptions options, Self self, std::vector<std::string> seeds,
                               std::uint64_t random_seed, MembershipSink& sink)
    : options_(options),
      seeds_(std::move(seeds)),
      sink_(sink),
      random_(random_seed),
      self_(std::move(self)),
      reported_links_(kBrokenLinkRetentionSeconds),
      gossip_rate_limiter_(options.gossip_bytes_per_second, options.gossip_burst_bytes) {}

// ---- Time.

void MembershipView::start(double now) {
  next_timer_at_ = now;
  push_pull_at_ = now + options_.push_pull_interval * (0.5 + random_.unit());
  seed_contact_at_ = now + kSeedContactSeconds;
  dead_member_contact_at_ = now + kDeadContactSeconds;
  probe_period_ends_at_ = now + options_.probe_interval * random_.unit();
  contact_seeds();
}

bool MembershipView::on_timer(double now) {
  const double lateness = now - next_timer_at_;
  const bool was_paused = lateness > kPauseThresholdSeconds;
  if (was_paused) handle_own_pause(lateness, now);
  next_timer_at_ = now + options_.probe_interval * kTimerShare;
  if (has_yielded_) {
    if (now < rejoin_at_) return was_paused;
    rejoin();
  }
  if (is_leaving_) {
    gossip(now);
    return was_paused;
  }
  run_probes(now);
  run_indirect_probes(now);
  check_suspicions(now);
  if (now >= gossip_at_) {
    gossip_at_ = now + kGossipSeconds;
    gossip(now);
  }
  run_push_pull(now);
  contact_missing_seed(now);
  contact_dead_member(now);
  return was_paused;
}

// Joins again with a new epoch: the older process with this name may have ended in the meantime.
void MembershipView::rejoin() {
  has_yielded_ = false;
  ++self_.epoch;
  incarnation_ = 0;
  contact_seeds();
}

void MembershipView::handle_own_pause(double pause_seconds, double now) {
  ++counts_.pauses;
  probe_.reset();
  indirect_probes_.clear();
  // Refutations could not arrive during the pause.
  for (const MemberIndex index : suspected_)
    table_[index].suspicion_deadline += pause_seconds + kCatchUpSeconds;
  probe_period_ends_at_ = now + kCatchUpSeconds;
  if (pause_seconds < kReportedPauseSeconds) return;
  if (now - longest_pause_at_ > kPauseRetentionSeconds) longest_pause_ = 0;
  longest_pause_ = std::max(longest_pause_, pause_seconds);
  longest_pause_at_ = now;
  sink_.on_notice({.kind = Notice::Kind::kPaused, .address = {}, .pause_seconds = pause_seconds});
  if (!is_leaving_ && !has_yielded_) refute({}, now, kLeaveFanout);
}

// ---- This member.

void MembershipView::set_load_report(LoadReport load_report) {
  load_report.version = load_report_.version;
  if (load_report == load_report_) return;
  load_report_ = std::move(load_report);
  ++load_report_.version;
}

void MembershipView::leave(double now) {
  is_leaving_ = true;
  ++incarnation_;
  probe_.reset();
  Message message;
  message.records.push_back(self_record(now));
  send_to_random_members(kLeaveFanout, message, now);
}

Record MembershipView::self_record(double now) const {
  Record record;
  record.name = self_.name;
  record.address = self_.address;
  record.epoch = self_.epoch;
  record.conflicting_epoch = conflicting_epoch_;
  record.incarnation = incarnation_;
  record.condition = is_leaving_ ? Condition::kLeft : Condition::kAlive;
  if (now - longest_pause_at_ < kPauseRetentionSeconds)
    record.longest_pause_ms = milliseconds(longest_pause_);
  record.load_report = load_report_;
  for (const MemberIndex index : unreachable_) {
    if (record.broken_links.size() >= kMaxBrokenLinks) break;
    const Member& member = table_[index];
    const LinkHealth& link = member.link;
    if (link.is_inbound_broken())
      record.broken_links.push_back(
          {member.record.name, true, milliseconds(now - link.inbound_broken_since())});
    if (link.is_outbound_broken())
      record.broken_links.push_back(
          {member.record.name, false, milliseconds(now - link.outbound_broken_since())});
  }
  if (record.broken_links.size() > kMaxBrokenLinks) record.broken_links.resize(kMaxBrokenLinks);
  return record;
}

// ---- Queries.

MemberState MembershipView::state_of(const Member& member, double now) const {
  switch (member.record.condition) {
    case Condition::kDead: return MemberState::kDead;
    case Condition::kLeft: return MemberState::kLeft;
    case Condition::kSuspected: {
      const bool may_live = mass_silence_since_ >= 0 || now - member.last_evidence_at < kEvidenceSeconds;
      return may_live ? MemberState::kUnreachable : MemberState::kSuspected;
    }
    case Condition::kAlive: break;
  }
  if (member.link.is_broken()) return MemberState::kUnreachable;
  return now < member.stable_at ? MemberState::kFlapping : MemberState::kAlive;
}

MemberStatus MembershipView::status_of(const Member& member, double now) const {
  MemberStatus status;
  status.name = member.record.name;
  status.address = member.record.address;
  status.epoch = member.record.epoch;
  status.incarnation = member.record.incarnation;
  status.conflicting_epoch = member.record.conflicting_epoch;
  status.state = state_of(member, now);
  status.since = member.since;
  status.load_report_age = now - member.load_report_at;
  if (member.record.load_report.version > 0 && has_current_load_report(member, now))
    status.load_report = member.record.load_report;
  status.longest_pause = member.record.longest_pause_ms / 1000.0;
  status.accusers = member.record.accusers;
  return status;
}

std::vector<MemberStatus> MembershipView::members(double now) const {
  std::vector<MemberStatus> found;
  for (const MemberIndex index : table_.indices()) found.push_back(status_of(table_[index], now));
  std::sort(found.begin(), found.end(),
            [](const MemberStatus& a, const MemberStatus& b) { return a.name < b.name; });
  return found;
}

std::vector<ObservedLink> MembershipView::broken_links(double now) const {
  std::vector<ObservedLink> found = reported_links_.links(now);
  for (const MemberIndex index : table_.indices()) {
    const Member& member = table_[index];
    const std::string& name = member.record.name;
    const LinkHealth& link = member.link;
    if (!member.is_active()) continue;
    if (link.is_inbound_broken())
      found.push_back({name, self_.name, link.inbound_broken_since(), self_.name});
    if (link.is_outbound_broken())
      found.push_back({self_.name, name, link.outbound_broken_since(), self_.name});
  }
  return found;
}

std::vector<Record> MembershipView::full_state(double now) const {
  std::vector<Record> records;
  if (!has_yielded_) records.push_back(self_record(now));
  for (const MemberIndex index : table_.indices()) records.push_back(record_of(index, now));
  return records;
}

}  // namespace damsonspoke::members
