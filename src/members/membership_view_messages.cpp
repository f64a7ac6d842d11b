// View: what comes in, by datagram and by full exchange.
#include <algorithm>
#include <cmath>

#include "members/membership_view.h"
#include "members/membership_view_internal.h"

namespace damsonspoke::members {
namespace {

constexpr double kResendShare = 0.4;                 // of the time of an errand, until its ping is sent again
constexpr std::size_t kMaxGossipedPerPushPull = 16;  // records of one exchange that are passed on
constexpr double kYieldSeconds = 30;                 // s until a clone that yielded tries again
constexpr double kFlapHalfLifeSeconds = 60;          // s, half-life
constexpr double kFlapThreshold = 3;                 // comings back within it that make a member unsettled
constexpr double kDampingSeconds = 5;      // s that it has to stay then, doubled with each one more up to
constexpr double kMaxDampingSeconds = 60;  // s
constexpr double kMinSeedBackoffSeconds = 0.25;  // s, about
constexpr double kHeardGossipSeconds = 1;        // s; that it was heard again is news then

}  // namespace

void MembershipView::update_load_report(Member& m, const Record& record, double now) {
  if (record.load_report.version == 0 || record.epoch != m.record.epoch) return;
  const double at = now - record.load_report_age_ms / 1000.0;
  if (record.load_report.version < m.record.load_report.version ||
      (record.load_report.version == m.record.load_report.version && at <= m.load_report_at))
    return;
  m.record.load_report = record.load_report;
  m.load_report_at = at;
}

// True where it was news.
bool MembershipView::apply_record(const Record& record, double now) {
  if (record.name == self_.name) return apply_record_about_self(record, now), false;
  const int at = find(record.name);
  if (at < 0) {
    Record fresh = record;
    fresh.load_report = {};
    const int made = add(fresh, now);
    if (made < 0) return false;
    Member& m = members_[static_cast<std::size_t>(made)];
    update_load_report(m, record, now);
    reported_links_.update(record.name, record.broken_links, now);
    if (record.condition == Condition::kSuspected) m.deadline = suspicion_deadline(m, now);
    gossip_.add(made, retransmit_limit(fleet_size()));
    sink_.on_state_changed(record.name, state_of(m, now), "heard of");
    return true;
  }
  Member& m = members_[static_cast<std::size_t>(at)];
  update_load_report(m, record, now);
  if (supersedes(record, m.record)) {
    const Condition before = m.record.condition;
    const std::uint64_t epoch = m.record.epoch;
    const bool fresh_life = record.newest_epoch() > m.record.newest_epoch();
    LoadReport load_report = m.record.load_report;
    std::vector<std::string> accusers = m.record.accusers;
    m.record = record;
    if (fresh_life && record.epoch != epoch) {
      m.load_report_at = -1e9, load_report = {}, m.link = {}, m.last_ping_at = -1,
      m.heard_datagram_number = 0, m.heard_by_others_at = -1e9, m.last_relay.clear(), accusers.clear();
    }
    m.record.load_report = std::move(load_report);
    update_load_report(m, record, now);
    if (record.condition == Condition::kSuspected && before == Condition::kSuspected)
      add_accusers(m.record, accusers);
    reported_links_.update(record.name, record.broken_links, now);
    apply_condition_change(at, before, now, "told");
    const bool lives_after_all = before != Condition::kAlive && m.record.condition == Condition::kAlive;
    gossip_.add(at, retransmit_limit(fleet_size()), lives_after_all);
    return true;
  }
  // The same suspicion from more witnesses shortens its time.
  const bool same = record.newest_epoch() == m.record.newest_epoch() &&
                    record.incarnation == m.record.incarnation && record.condition == Condition::kSuspected &&
                    m.record.condition == Condition::kSuspected;
  if (same) {
    note_heard_by_other(at, record.heard_datagram_number, now);
    const bool more = add_accusers(m.record, record.accusers);
    if (more) shorten_suspicion(at);
    return more;
  }
  if (record.newest_epoch() == m.record.newest_epoch() && record.incarnation == m.record.incarnation &&
      !record.broken_links.empty())
    reported_links_.update(record.name, record.broken_links, now);
  return false;
}

// A member's condition has changed by what was told or found.
void MembershipView::apply_condition_change(int member, Condition before, double now,
                                            const std::string& why) {
  Member& m = members_[static_cast<std::size_t>(member)];
  const Condition after = m.record.condition;
  const bool was = before <= Condition::kSuspected, is = is_active(m);
  if (was && !is) --alive_;
  if (!was && is) {
    ++alive_;
    if (std::find(order_.begin(), order_.end(), member) == order_.end()) order_.push_back(member);
    // Damping: one that comes and goes counts only once it has stayed.
    m.flap_count = m.flap_count * std::exp2(-(now - m.flap_counted_at) / kFlapHalfLifeSeconds) + 1;
    m.flap_counted_at = now;
    if (m.flap_count > kFlapThreshold)
      m.stable_at = now + std::min(kMaxDampingSeconds,
                                   kDampingSeconds * std::exp2(std::floor(m.flap_count - kFlapThreshold)));
  }
  if (before != after) m.since = now;
  if (after == Condition::kSuspected) {
    if (before != Condition::kSuspected)
      m.accused_here = m.final_probe_queued = false, newest_suspicion_ = now;
    m.deadline = suspicion_deadline(m, m.since);
    suspected_.insert(member);
  } else {
    m.deadline = -1;
    m.accused_here = false;
    suspected_.erase(member);
    if (after == Condition::kAlive) m.record.accusers.clear();
    if (!is) unreachable_.erase(member), m.link = {};
  }
  update_digest(member);
  if (before != after) sink_.on_state_changed(m.record.name, state_of(m, now), why);
}

// Somebody speaks of this one: of this life, of one before it, or of a clone.
void MembershipView::apply_record_about_self(const Record& record, double now) {
  if (yielded_) return;
  if (record.epoch == self_.epoch) {
    const bool accuses =
        !leaving_ && record.condition != Condition::kAlive && record.incarnation >= incarnation_;
    if (!accuses) return;
    incarnation_ = record.incarnation;
    local_health_.degrade();
    ++counts_.refutations;
    sink_.on_notice("refuted what was said of this one");
    return refute(record.accusers, now);
  }
  if (record.conflicting_epoch >= self_.epoch && record.epoch < self_.epoch) {
    // An older one still runs under our name: we are its clone.
    yielded_ = true;
    retry_at_ = now + kYieldSeconds;
    sink_.on_notice("another life under this name is older and still runs, at " + record.address +
                    ": this one yields");
    return;
  }
  if (record.newest_epoch() < self_.epoch || record.newest_epoch() >= kMaxEpoch)
    return;  // a life before this one, or none at all
  const bool gone = record.condition >= Condition::kDead;
  if (gone || record.address == self_.address) {
    // It was ours, or is over, and its number is the higher one since a clock was set back: go beyond it.
    self_.epoch = record.newest_epoch() + 1;
    conflicting_epoch_ = 0, incarnation_ = 0;
    sink_.on_notice("took a later epoch than that of a life before");
    return refute({}, now);
  }
  if (conflicting_epoch_ >= record.epoch) return;
  conflicting_epoch_ = record.epoch;
  ++incarnation_;
  sink_.on_notice("a clone of this one has come up at " + record.address);
  refute({}, now);
}

// First to who accuses, then to whoever: they have the shortest time.
void MembershipView::refute(const std::vector<std::string>& accusers, double now, std::size_t to) {
  // An accusation may name the last incarnation there is. Guards against refuting with one that nobody reads.
  if (++incarnation_ > kMaxIncarnation) ++self_.epoch, incarnation_ = 0;
  Message message;
  message.records.push_back(self_record(now));
  for (const std::string& name : accusers) {
    const int at = find(name);
    if (at >= 0) send(at, message, now);
  }
  for (const int at : random_members(to, [](const Member&) { return true; })) send(at, message, now);
}

// Somebody heard from a suspected member: it lives, whoever can't reach it. Passed on, so that none of those
// who do not hear it calls it dead. By the number that it gave its datagram, not by times: what travels late
// would make it look alive for ever. Guards against the end of a member that is heard and hears nobody.
void MembershipView::note_heard_by_other(int member, std::uint32_t number, double now) {
  Member& m = members_[static_cast<std::size_t>(member)];
  if (m.record.condition != Condition::kSuspected || number <= m.heard_datagram_number) return;
  if (now - m.heard_by_others_at > kHeardGossipSeconds) gossip_.add(member, retransmit_limit(fleet_size()));
  m.heard_by_others_at = now;
  m.heard_datagram_number = number;
}

// A death counts as any news: answers to all who still suspect would be a flood of their own in a great loss.
bool MembershipView::may_send_correction(int member, double now) {
  if (members_[static_cast<std::size_t>(member)].record.condition != Condition::kDead) return true;
  if (!gossip_rate_limiter_.has_budget(now)) return false;
  gossip_rate_limiter_.charge(approximate_bytes(members_[static_cast<std::size_t>(member)].record));
  return true;
}

void MembershipView::on_message(const std::string& from_address, const Message& message, double now,
                                bool stale) {
  if (message.sender == self_.name) return;  // a clone, or a forged one: lives are sorted out by records
  if (!stale && now - next_timer_at_ > kPauseThresholdSeconds) {  // nobody has woken us yet: this waited, too
    on_timer(now);
    stale = true;
  }
  if (stale) {
    for (const Record& record : message.records) {
      if (record.name == self_.name && record.condition != Condition::kAlive)
        apply_record_about_self(record, now);
    }
    return;
  }
  if (yielded_) return;
  // Who tells ill news that is out of date gets what is known here: it may have missed all that said so.
  Message better;
  for (const Record& record : message.records) {
    apply_record(record, now);
    const int of = record.condition == Condition::kAlive ? -1 : find(record.name);
    if (of >= 0 && supersedes(members_[static_cast<std::size_t>(of)].record, record) &&
        may_send_correction(of, now))
      better.records.push_back(record_of(of, now));
  }
  if (!better.records.empty()) send_to(from_address, std::move(better), now, -1);
  const int at = find(message.sender);
  if (at < 0) return;  // its own record comes first in what it sends; without one it is nobody
  Member& m = members_[static_cast<std::size_t>(at)];
  if (m.record.epoch != message.sender_epoch) {  // a life that is over, or a clone's: it has to know
    Message news;
    news.records.push_back(record_of(at, now));
    return send_to(from_address, news, now, -1);
  }
  m.last_heard = now;
  compare_digest(from_address, message.membership_digest, now);
  note_heard_by_other(at, message.datagram_number, now);
  Message answer;
  answer.probe_id = message.probe_id;
  switch (message.kind) {
    case MessageKind::kPing: {
      if (message.target != self_.name) return;  // it means whoever was here before
      answer.kind = MessageKind::kAck;
      answer.requested_by = message.requested_by;
      answer.direct_probe_id = message.direct_probe_id;
      if (message.requested_by.empty()) {
        m.last_ping_id = message.probe_id, m.last_ping_at = now;
      } else {
        const int whose = find(message.requested_by);
        if (whose >= 0) {
          const Member& asker = members_[static_cast<std::size_t>(whose)];
          answer.direct_ping_received =
              asker.last_ping_at >= 0 && asker.last_ping_id == message.direct_probe_id;
          // And straight to who asked: whether that arrives tells which way is cut.
          Message detour = answer;
          detour.probe_id = message.direct_probe_id;
          send(whose, detour, now);
        }
      }
      send_to(from_address, answer, now, at);
      return;
    }
    case MessageKind::kAck: {
      for (auto it = indirect_probes_.begin(); it != indirect_probes_.end(); ++it) {
        if (it->probe_id != message.probe_id || it->target != message.sender) continue;
        answer.kind = MessageKind::kAck;
        answer.probe_id = it->request_probe_id;
        answer.target = it->target;
        answer.direct_ping_received = message.direct_ping_received;
        answer.records.push_back(record_of(at, now));  // it may have refuted what they think of it
        send_to(it->requester_address, answer, now, find(it->requester));
        indirect_probes_.erase(it);
        return;
      }
      if (!probe_) return;
      Probe& p = *probe_;
      if (p.probe_id != message.probe_id) return;
      const Member& target = members_[static_cast<std::size_t>(p.member)];
      if (message.sender == target.record.name) {
        if (message.requested_by.empty())
          p.answered = true;
        else
          p.reached = p.detour = true, p.direct_came |= message.direct_ping_received;
      } else if (message.target == target.record.name) {
        p.reached = true;
        p.direct_came |= message.direct_ping_received;
        members_[static_cast<std::size_t>(p.member)].last_relay = message.sender;
      }
      return;
    }
    case MessageKind::kPingRequest: {
      const int target = find(message.target);
      if (target < 0 || target == at || indirect_probes_.size() >= kMaxIndirectProbes) return;
      IndirectProbe indirect_probe;
      indirect_probe.requester = message.sender, indirect_probe.requester_address = from_address,
      indirect_probe.target = message.target;
      indirect_probe.probe_id = next_probe_id_++, indirect_probe.direct_probe_id = message.direct_probe_id,
      indirect_probe.request_probe_id = message.probe_id;
      const double time = options_.probe_interval * (1 - kDirectProbeShare) * 0.75;
      indirect_probe.deadline = now + time, indirect_probe.resend_at = now + time * kResendShare;
      Message ping;
      ping.kind = MessageKind::kPing;
      ping.probe_id = indirect_probe.probe_id, ping.target = indirect_probe.target,
      ping.requested_by = indirect_probe.requester;
      ping.direct_probe_id = indirect_probe.direct_probe_id;
      indirect_probes_.push_back(std::move(indirect_probe));
      send(target, ping, now);
      return;
    }
    case MessageKind::kNegativeAck:
      if (!probe_ || probe_->probe_id != message.probe_id) return;
      if (std::find(probe_->silent.begin(), probe_->silent.end(), message.sender) == probe_->silent.end())
        probe_->silent.push_back(message.sender);
      return;
    case MessageKind::kGossip: return;
  }
}

void MembershipView::on_push_pull(const std::vector<Record>& records, double now) {
  ++counts_.push_pulls;
  if (yielded_) return;
  // Little news is passed on as any; a great deal of it means that this one is new, or was apart, and that
  // most others have it already: then it goes by exchanges. Guards against a flood where a fleet comes up or
  // heals.
  std::size_t news = 0;
  for (const Record& record : records) news += apply_record(record, now) ? 1 : 0;
  if (news <= kMaxGossipedPerPushPull) return;
  for (const Record& record : records) {
    const int at = find(record.name);
    if (at >= 0) gossip_.forget(at);
  }
}

// Seeds refuse exchanges beyond their bound when many come up at once. Who knows nobody yet tries again soon,
// and waits longer each time, up to the time between any two tries.
void MembershipView::on_push_pull_failed(double now) {
  if (alive_ > 0 || yielded_) return;
  seed_backoff_ =
      seed_backoff_ == 0 ? kMinSeedBackoffSeconds : std::min(kSeedContactSeconds, 2 * seed_backoff_);
  seed_contact_at_ = std::min(seed_contact_at_, now + seed_backoff_ * (0.5 + random_unit()));
}

}  // namespace damsonspoke::members
