// View: probes, what is concluded from them, pauses of this one's own, and what is done from time to time.
#include <algorithm>
#include <cmath>

#include "members/membership_view.h"
#include "members/membership_view_internal.h"

namespace damsonspoke::members {
namespace {

constexpr double kReportedPauseSeconds = 0.5;    // s; shorter pauses are not told
constexpr double kCatchUpSeconds = 0.3;          // s after a pause in which nobody is accused
constexpr double kPauseAllowanceFactor = 1.5;    // x the longest pause told, beside the time of a suspicion
constexpr double kMaxPauseAllowanceSeconds = 5;  // s
constexpr std::size_t kGossipFanout = 3;
constexpr std::size_t kDatagramBytes = 75;  // heads of IP, UDP and ours, and who sends it
constexpr double kNonAccuserWaitSeconds =
    1.5;  // s more for who has not found it silent itself: its accusers call it first
constexpr double kRecentDeathSeconds = 10;  // s; silent at once
constexpr double kFinalProbeLeadSeconds =
    0.9;  // s before its time is over: one more probe, lest we missed that it refuted
constexpr double kMassSilenceWaitSeconds =
    2.5;  // s without a new suspicion, while over a quarter are silent, and
constexpr double kMaxMassSilenceWaitSeconds = 6;  // s in all
constexpr std::size_t kSmallFleetMembers = 40;    // members, of whom each is heard within a mass wait
constexpr double kHoldRecheckSeconds = 0.5;       // s between looks at a held death

}  // namespace

// ---- Probes.

std::optional<int> MembershipView::next_target() {
  if (!reprobe_ && !final_probes_.empty()) {
    reprobe_ = final_probes_.front();
    final_probes_.pop_front();
  }
  if (reprobe_) {
    const int at = *reprobe_;
    reprobe_.reset();
    const Member& m = members_[static_cast<std::size_t>(at)];
    if (!m.record.name.empty() && is_active(m)) return at;
  }
  for (std::size_t tries = 0; tries < 2; ++tries) {
    while (next_in_order_ < order_.size()) {
      const int at = order_[next_in_order_++];
      const Member& m = members_[static_cast<std::size_t>(at)];
      if (!m.record.name.empty() && is_active(m)) return at;
    }
    // A new round in another order: each member is probed once in it, so a death is found within two.
    std::erase_if(order_, [this](int at) {
      const Member& m = members_[static_cast<std::size_t>(at)];
      return m.record.name.empty() || !is_active(m);
    });
    std::sort(order_.begin(), order_.end());
    order_.erase(std::unique(order_.begin(), order_.end()), order_.end());
    for (std::size_t i = order_.size(); i > 1; --i)
      std::swap(order_[i - 1], order_[static_cast<std::size_t>(random_unit() * static_cast<double>(i))]);
    next_in_order_ = 0;
  }
  return std::nullopt;
}

void MembershipView::start_probe(double now) {
  const std::optional<int> target = next_target();
  if (!target) return;
  ++counts_.probes;
  Probe p;
  p.member = *target;
  p.probe_id = next_probe_id_++;
  p.sent = now;
  probe_ = p;
  Message ping;
  ping.kind = MessageKind::kPing;
  ping.probe_id = p.probe_id;
  ping.target = members_[static_cast<std::size_t>(p.member)].record.name;
  send(p.member, ping, now);
}

// Others probe it for us: first who reached it last, then any, more of them while the link is known to be
// cut.
void MembershipView::start_indirect_probes(double now) {
  Probe& p = *probe_;
  p.asked = true;
  const Member& target = members_[static_cast<std::size_t>(p.member)];
  const std::string name = target.record.name, last_relay = target.last_relay;
  const int wanted = target.link.is_broken() || target.link.is_uncertain() ? 2 * options_.indirect_probes
                                                                           : options_.indirect_probes;
  std::vector<int> helpers;
  const int last = find(last_relay);
  if (!last_relay.empty() && last >= 0 &&
      members_[static_cast<std::size_t>(last)].record.condition == Condition::kAlive)
    helpers.push_back(last);
  for (const int at : random_members(static_cast<std::size_t>(wanted), [&](const Member& m) {
         return m.record.name != name && m.record.name != last_relay && !m.link.is_broken();
       })) {
    if (helpers.size() < static_cast<std::size_t>(wanted)) helpers.push_back(at);
  }
  p.helpers = static_cast<int>(helpers.size());
  Message ask;
  ask.kind = MessageKind::kPingRequest;
  ask.probe_id = ask.direct_probe_id = p.probe_id;
  ask.target = name;
  counts_.indirect_probes += helpers.size();
  for (const int at : helpers) send(at, ask, now);
}

void MembershipView::finish_probe(double now) {
  const Probe p = std::move(*probe_);
  probe_.reset();
  Member& m = members_[static_cast<std::size_t>(p.member)];
  if (m.record.name.empty() || !is_active(m)) return;
  if (p.answered) {
    local_health_.improve();
    const bool was = m.link.is_broken();
    m.link.record_probe(true, true, now);
    unreachable_.erase(p.member);
    if (was) sink_.on_state_changed(m.record.name, state_of(m, now), "it answers us again");
    return;
  }
  ++counts_.failed_probes;
  if (p.reached) {  // alive, and out of our reach in one way or both, or a datagram was lost
    local_health_.improve();
    if (m.record.condition == Condition::kSuspected) m.heard_by_others_at = now;
    const bool was = m.link.is_broken();
    m.link.record_probe(p.detour, p.direct_came, now);
    if (m.link.is_broken()) unreachable_.insert(p.member);
    if (m.link.is_uncertain()) reprobe_ = p.member;  // one wrong probe may be a lost datagram
    if (m.link.is_broken() == was) return;
    if (was) unreachable_.erase(p.member);
    sink_.on_state_changed(
        m.record.name, state_of(m, now),
        was ? "some of what we send each other comes again" : "others reach it, we do not");
    return;
  }
  const int missing = p.helpers - static_cast<int>(p.silent.size());
  // Helpers that say nothing at all: the fault may be ours.
  local_health_.degrade(p.helpers == 0 ? 0 : missing);
  std::vector<std::string> accusers{self_.name};
  accusers.insert(accusers.end(), p.silent.begin(), p.silent.end());
  if (accusers.size() > kAccusersNeeded) accusers.resize(kAccusersNeeded);
  accuse(p.member, std::move(accusers), now);
}

void MembershipView::accuse(int member, std::vector<std::string> accusers, double now) {
  Member& m = members_[static_cast<std::size_t>(member)];
  if (m.record.condition == Condition::kSuspected) {
    m.accused_here = true;
    add_accusers(m.record, accusers);
    return shorten_suspicion(member);
  }
  ++counts_.suspicions;
  m.record.condition = Condition::kSuspected;
  m.record.accusers = std::move(accusers);
  apply_condition_change(member, Condition::kAlive, now, "no answer to us, nor to those that we asked");
  m.accused_here = true;
  m.deadline = suspicion_deadline(m, now);
  gossip_.add(member, retransmit_limit(fleet_size()));
}

// More witnesses of a suspicion, or this one itself: passed on only where that leaves it less time, so that
// the news of a loss does not grow with the number of those who notice it.
void MembershipView::shorten_suspicion(int member) {
  Member& m = members_[static_cast<std::size_t>(member)];
  const double deadline = suspicion_deadline(m, m.since);
  if (deadline >= m.deadline) return;
  m.deadline = deadline;
  gossip_.add(member, retransmit_limit(fleet_size()));
}

// Who has found it silent itself calls it dead first; the others wait a little for that. A member that is
// known to stand still now and then gets that time on top.
double MembershipView::suspicion_deadline(const Member& m, double from) const {
  double time = suspicion_timeout(options_, fleet_size(), m.record.accusers.size());
  // Nobody but this one has found it silent, and this one is ill itself.
  if (m.accused_here && m.record.accusers.size() < 2) time *= local_health_.multiplier();
  time += std::min(kMaxPauseAllowanceSeconds, kPauseAllowanceFactor * m.record.longest_pause_ms / 1000.0);
  if (!m.accused_here) time += kNonAccuserWaitSeconds;
  return from + time;
}

// How many are silent at once. In a small fleet, where each is heard every few seconds, those count too that
// have not been heard since this one fell silent: some of them may not have been probed yet.
MembershipView::Silence MembershipView::silence(int also, double now) const {
  std::size_t silent = 0, others = 0, unheard = 0;
  const double since = members_[static_cast<std::size_t>(also)].since;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const Member& m = members_[i];
    if (m.record.name.empty() || m.record.condition == Condition::kLeft) continue;
    const bool dead_lately = m.record.condition == Condition::kDead && now - m.since < kRecentDeathSeconds;
    if (m.record.condition == Condition::kDead && !dead_lately) continue;
    ++others;
    if (m.record.condition != Condition::kAlive || static_cast<int>(i) == also)
      ++silent;
    else if (m.last_heard < since)
      ++unheard;
  }
  const bool many = silent > 1 && silent * 4 > others;
  if (many && others <= kSmallFleetMembers && now > since + kMassSilenceWaitSeconds) silent += unheard;
  return silent * 2 > others ? Silence::kMost : many ? Silence::kMany : Silence::kFew;
}

void MembershipView::check_suspicions(double now) {
  bool still_mass_silence = false;
  const std::vector<int> all(suspected_.begin(), suspected_.end());
  for (const int at : all) {
    Member& m = members_[static_cast<std::size_t>(at)];
    if (now >= m.deadline - kFinalProbeLeadSeconds && !m.final_probe_queued) {
      m.final_probe_queued = true;
      final_probes_.push_back(at);
    }
    if (now < m.deadline) continue;
    if (!m.accused_here) {  // only who has found it silent itself calls it dead
      m.final_probe_queued = false;
      m.deadline = now + kNonAccuserWaitSeconds;
      continue;
    }
    if (now - m.heard_by_others_at < kHeardByOthersSeconds) {
      m.deadline = now + kHoldRecheckSeconds;
      continue;
    }
    const Silence now_silent = silence(at, now);
    // Many at once, and more of them still being found: first it has to show how many.
    if (now_silent == Silence::kMany && now < newest_suspicion_ + kMassSilenceWaitSeconds &&
        now < m.since + kMaxMassSilenceWaitSeconds) {
      m.deadline =
          std::min(newest_suspicion_ + kMassSilenceWaitSeconds, m.since + kMaxMassSilenceWaitSeconds);
      continue;
    }
    // Over half of the fleet at once is more likely a cut, on our side of it, than so many deaths.
    if (now_silent == Silence::kMost) {
      if (mass_silence_since_ < 0) {
        mass_silence_since_ = now;
        ++counts_.mass_silences;
        sink_.on_notice("over half of the fleet is silent at once: no deaths are told, it may be this one");
      }
      still_mass_silence = true;
      if (now - mass_silence_since_ < options_.mass_silence_hold * local_health_.multiplier()) {
        m.deadline = now + kHoldRecheckSeconds;
        continue;
      }
    }
    declare_dead(at, now, "silent for its whole time");
  }
  if (mass_silence_since_ >= 0 && !still_mass_silence && suspected_.empty()) mass_silence_since_ = -1;
}

void MembershipView::declare_dead(int member, double now, const std::string& why) {
  Member& m = members_[static_cast<std::size_t>(member)];
  ++counts_.deaths;
  m.record.condition = Condition::kDead;
  apply_condition_change(member, Condition::kSuspected, now, why);
  gossip_.add(member, retransmit_limit(fleet_size()));
}

// ---- This one's own pauses.

void MembershipView::handle_own_pause(double gap, double now) {
  ++counts_.pauses;
  probe_.reset();
  indirect_probes_.clear();
  // Nobody could refute to us meanwhile.
  for (const int at : suspected_) members_[static_cast<std::size_t>(at)].deadline += gap + kCatchUpSeconds;
  probe_period_ends_at_ = now + kCatchUpSeconds;
  if (gap < kReportedPauseSeconds) return;
  if (now - pause_at_ > kPauseMemorySeconds) pause_ = 0;
  pause_ = std::max(pause_, gap);
  pause_at_ = now;
  sink_.on_notice("stood still for " + std::to_string(static_cast<int>(gap * 1000)) + " ms");
  if (!leaving_ && !yielded_) refute({}, now, kLeaveFanout);
}

void MembershipView::run_indirect_probes(double now) {
  for (std::size_t i = 0; i < indirect_probes_.size();) {
    IndirectProbe& e = indirect_probes_[i];
    if (now >= e.deadline) {
      Message silent;
      silent.kind = MessageKind::kNegativeAck;
      silent.probe_id = e.request_probe_id;
      silent.target = e.target;
      const IndirectProbe done = e;
      indirect_probes_.erase(indirect_probes_.begin() + static_cast<std::ptrdiff_t>(i));
      send_to(done.requester_address, silent, now, find(done.requester));
      continue;
    }
    if (now >= e.resend_at) {  // one lost datagram is no silence
      e.resend_at = e.deadline;
      Message ping;
      ping.kind = MessageKind::kPing;
      ping.probe_id = e.probe_id, ping.target = e.target, ping.requested_by = e.requester,
      ping.direct_probe_id = e.direct_probe_id;
      const int target = find(e.target);
      if (target >= 0) send(target, ping, now);
    }
    ++i;
  }
}

void MembershipView::gossip(double now) {
  if (gossip_.empty()) return;
  for (const int at : random_members(kGossipFanout, [](const Member&) { return true; })) {
    if (gossip_.empty() || (!gossip_rate_limiter_.has_budget(now) && !gossip_.has_urgent())) return;
    send(at, Message(), now);
    gossip_rate_limiter_.charge(kDatagramBytes + approximate_bytes(self_record(now)));
  }
}

// Full exchanges now and then; seeds that are no members; the dead, so that a long split heals.
void MembershipView::run_periodic_tasks(double now) {
  if (now >= push_pull_at_) {
    const double time = push_pull_interval(options_, fleet_size());
    // The first one comes before it was known how many there are: most leave it out where there are many.
    const bool due = has_push_pulled_ || random_unit() < options_.push_pull_interval / time;
    has_push_pulled_ = true;
    push_pull_at_ = now + time * (0.75 + random_unit() / 2);
    if (due)
      for (const int at : random_members(1, [](const Member&) { return true; }))
        sink_.start_push_pull(members_[static_cast<std::size_t>(at)].record.address);
  }
  if (now >= seed_contact_at_) {
    seed_contact_at_ = now + kSeedContactSeconds * (0.75 + random_unit() / 2);
    std::vector<std::string> absent;
    for (const std::string& seed : seeds_) {
      const bool known_there =
          seed == self_.address || std::any_of(members_.begin(), members_.end(), [&](const Member& m) {
            return m.record.address == seed && m.record.condition == Condition::kAlive;
          });
      if (!known_there) absent.push_back(seed);
    }
    if (!absent.empty())
      sink_.start_push_pull(
          absent[static_cast<std::size_t>(random_unit() * static_cast<double>(absent.size()))]);
  }
  if (now < dead_check_at_) return;
  dead_check_at_ = now + kDeadContactSeconds * (0.75 + random_unit() / 2);
  std::vector<std::string> dead;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const Member& m = members_[i];
    if (m.record.name.empty() || is_active(m)) continue;
    if (now - m.since > options_.dead_retention) {
      remove(static_cast<int>(i));
    } else if (m.record.condition == Condition::kDead) {
      dead.push_back(m.record.address);
    }
  }
  if (!dead.empty())
    sink_.start_push_pull(dead[static_cast<std::size_t>(random_unit() * static_cast<double>(dead.size()))]);
}

}  // namespace damsonspoke::members
