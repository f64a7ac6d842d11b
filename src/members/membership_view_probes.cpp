// View: probes, what is concluded from them, pauses of this one's own, and what is done from time to time.
#include <algorithm>
#include <cmath>

#include "members/membership_view.h"
#include "members/membership_view_internal.h"

namespace damsonspoke::members {
namespace {

constexpr double kTellPause = 0.5;    // s; shorter pauses are not told
constexpr double kCatchUp = 0.3;      // s after a pause in which nobody is accused
constexpr double kPauseRoom = 1.5;    // x the longest pause told, beside the time of a suspicion
constexpr double kMostPauseRoom = 5;  // s
constexpr std::size_t kGossipTo = 3;
constexpr std::size_t kDatagramBytes = 75;  // heads of IP, UDP and ours, and who sends it
constexpr double kWitnessWait =
    1.5;  // s more for who has not found it silent itself: its accusers call it first
constexpr double kSilentWindow = 10;  // s; silent at once
constexpr double kLastLook =
    0.9;  // s before its time is over: one more probe, lest we missed that it refuted
constexpr double kMassWait = 2.5;        // s without a new suspicion, while over a quarter are silent, and
constexpr double kMostMassWait = 6;      // s in all
constexpr std::size_t kSmallFleet = 40;  // members, of whom each is heard within a mass wait
constexpr double kHoldLook = 0.5;        // s between looks at a held death

}  // namespace

// ---- Probes.

std::optional<int> MembershipView::next_target() {
  if (!again_ && !looks_.empty()) {
    again_ = looks_.front();
    looks_.pop_front();
  }
  if (again_) {
    const int at = *again_;
    again_.reset();
    const Member& m = members_[static_cast<std::size_t>(at)];
    if (!m.record.name.empty() && in_play(m)) return at;
  }
  for (std::size_t tries = 0; tries < 2; ++tries) {
    while (next_in_order_ < order_.size()) {
      const int at = order_[next_in_order_++];
      const Member& m = members_[static_cast<std::size_t>(at)];
      if (!m.record.name.empty() && in_play(m)) return at;
    }
    // A new round in another order: each member is probed once in it, so a death is found within two.
    std::erase_if(order_, [this](int at) {
      const Member& m = members_[static_cast<std::size_t>(at)];
      return m.record.name.empty() || !in_play(m);
    });
    std::sort(order_.begin(), order_.end());
    order_.erase(std::unique(order_.begin(), order_.end()), order_.end());
    for (std::size_t i = order_.size(); i > 1; --i)
      std::swap(order_[i - 1], order_[static_cast<std::size_t>(chance() * static_cast<double>(i))]);
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
  p.serial = next_serial_++;
  p.sent = now;
  probe_ = p;
  Message ping;
  ping.kind = Kind::kPing;
  ping.serial = p.serial;
  ping.target = members_[static_cast<std::size_t>(p.member)].record.name;
  send(p.member, ping, now);
}

// Others probe it for us: first who reached it last, then any, more of them while the link is known to be
// cut.
void MembershipView::ask_helpers(double now) {
  Probe& p = *probe_;
  p.asked = true;
  const Member& target = members_[static_cast<std::size_t>(p.member)];
  const std::string name = target.record.name, helped_by = target.helped_by;
  const int wanted = target.link.broken() || target.link.doubtful() ? 2 * terms_.helpers : terms_.helpers;
  std::vector<int> helpers;
  const int last = find(helped_by);
  if (!helped_by.empty() && last >= 0 &&
      members_[static_cast<std::size_t>(last)].record.condition == Condition::kAlive)
    helpers.push_back(last);
  for (const int at : some(static_cast<std::size_t>(wanted), [&](const Member& m) {
         return m.record.name != name && m.record.name != helped_by && !m.link.broken();
       })) {
    if (helpers.size() < static_cast<std::size_t>(wanted)) helpers.push_back(at);
  }
  p.helpers = static_cast<int>(helpers.size());
  Message ask;
  ask.kind = Kind::kAsk;
  ask.serial = ask.direct = p.serial;
  ask.target = name;
  counts_.indirect += helpers.size();
  for (const int at : helpers) send(at, ask, now);
}

void MembershipView::judge_probe(double now) {
  const Probe p = std::move(*probe_);
  probe_.reset();
  Member& m = members_[static_cast<std::size_t>(p.member)];
  if (m.record.name.empty() || !in_play(m)) return;
  if (p.answered) {
    local_health_.better();
    const bool was = m.link.broken();
    m.link.judged(true, true, now);
    cut_.erase(p.member);
    if (was) port_.changed(m.record.name, state_of(m, now), "it answers us again");
    return;
  }
  ++counts_.failed;
  if (p.reached) {  // alive, and out of our reach in one way or both, or a datagram was lost
    local_health_.better();
    if (m.record.condition == Condition::kSuspected) m.heard_at = now;
    const bool was = m.link.broken();
    m.link.judged(p.detour, p.direct_came, now);
    if (m.link.broken()) cut_.insert(p.member);
    if (m.link.doubtful()) again_ = p.member;  // one wrong probe may be a lost datagram
    if (m.link.broken() == was) return;
    if (was) cut_.erase(p.member);
    port_.changed(m.record.name, state_of(m, now),
                  was ? "some of what we send each other comes again" : "others reach it, we do not");
    return;
  }
  const int missing = p.helpers - static_cast<int>(p.silent.size());
  // Helpers that say nothing at all: the fault may be ours.
  local_health_.worse(p.helpers == 0 ? 0 : missing);
  std::vector<std::string> witnesses{self_.name};
  witnesses.insert(witnesses.end(), p.silent.begin(), p.silent.end());
  if (witnesses.size() > kWitnessesNeeded) witnesses.resize(kWitnessesNeeded);
  accuse(p.member, std::move(witnesses), now);
}

void MembershipView::accuse(int member, std::vector<std::string> witnesses, double now) {
  Member& m = members_[static_cast<std::size_t>(member)];
  if (m.record.condition == Condition::kSuspected) {
    m.accused_here = true;
    add_witnesses(m.record, witnesses);
    return confirm(member);
  }
  ++counts_.suspicions;
  m.record.condition = Condition::kSuspected;
  m.record.by = std::move(witnesses);
  settle(member, Condition::kAlive, now, "no answer to us, nor to those that we asked");
  m.accused_here = true;
  m.deadline = deadline_of(m, now);
  gossip_.add(member, passes(known()));
}

// More witnesses of a suspicion, or this one itself: passed on only where that leaves it less time, so that
// the news of a loss does not grow with the number of those who notice it.
void MembershipView::confirm(int member) {
  Member& m = members_[static_cast<std::size_t>(member)];
  const double deadline = deadline_of(m, m.since);
  if (deadline >= m.deadline) return;
  m.deadline = deadline;
  gossip_.add(member, passes(known()));
}

// Who has found it silent itself calls it dead first; the others wait a little for that. A member that is
// known to stand still now and then gets that time on top.
double MembershipView::deadline_of(const Member& m, double from) const {
  double time = suspicion_time(terms_, known(), m.record.by.size());
  // Nobody but this one has found it silent, and this one is ill itself.
  if (m.accused_here && m.record.by.size() < 2) time *= local_health_.stretch();
  time += std::min(kMostPauseRoom, kPauseRoom * m.record.pause_ms / 1000.0);
  if (!m.accused_here) time += kWitnessWait;
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
    const bool dead_lately = m.record.condition == Condition::kDead && now - m.since < kSilentWindow;
    if (m.record.condition == Condition::kDead && !dead_lately) continue;
    ++others;
    if (m.record.condition != Condition::kAlive || static_cast<int>(i) == also)
      ++silent;
    else if (m.last_heard < since)
      ++unheard;
  }
  const bool many = silent > 1 && silent * 4 > others;
  if (many && others <= kSmallFleet && now > since + kMassWait) silent += unheard;
  return silent * 2 > others ? Silence::kMost : many ? Silence::kMany : Silence::kFew;
}

void MembershipView::look_at_suspicions(double now) {
  bool holding = false;
  const std::vector<int> all(suspected_.begin(), suspected_.end());
  for (const int at : all) {
    Member& m = members_[static_cast<std::size_t>(at)];
    if (now >= m.deadline - kLastLook && !m.looked) {
      m.looked = true;
      looks_.push_back(at);
    }
    if (now < m.deadline) continue;
    if (!m.accused_here) {  // only who has found it silent itself calls it dead
      m.looked = false;
      m.deadline = now + kWitnessWait;
      continue;
    }
    if (now - m.heard_at < kHeardCounts) {
      m.deadline = now + kHoldLook;
      continue;
    }
    const Silence now_silent = silence(at, now);
    // Many at once, and more of them still being found: first it has to show how many.
    if (now_silent == Silence::kMany && now < newest_suspicion_ + kMassWait &&
        now < m.since + kMostMassWait) {
      m.deadline = std::min(newest_suspicion_ + kMassWait, m.since + kMostMassWait);
      continue;
    }
    // Over half of the fleet at once is more likely a cut, on our side of it, than so many deaths.
    if (now_silent == Silence::kMost) {
      if (hold_since_ < 0) {
        hold_since_ = now;
        ++counts_.held;
        port_.noticed("over half of the fleet is silent at once: no deaths are told, it may be this one");
      }
      holding = true;
      if (now - hold_since_ < terms_.hold * local_health_.stretch()) {
        m.deadline = now + kHoldLook;
        continue;
      }
    }
    call_dead(at, now, "silent for its whole time");
  }
  if (hold_since_ >= 0 && !holding && suspected_.empty()) hold_since_ = -1;
}

void MembershipView::call_dead(int member, double now, const std::string& why) {
  Member& m = members_[static_cast<std::size_t>(member)];
  ++counts_.deaths;
  m.record.condition = Condition::kDead;
  settle(member, Condition::kSuspected, now, why);
  gossip_.add(member, passes(known()));
}

// ---- This one's own pauses.

void MembershipView::notice_pause(double gap, double now) {
  ++counts_.pauses;
  probe_.reset();
  indirect_probes_.clear();
  // Nobody could refute to us meanwhile.
  for (const int at : suspected_) members_[static_cast<std::size_t>(at)].deadline += gap + kCatchUp;
  period_at_ = now + kCatchUp;
  if (gap < kTellPause) return;
  if (now - pause_at_ > kPauseMemory) pause_ = 0;
  pause_ = std::max(pause_, gap);
  pause_at_ = now;
  port_.noticed("stood still for " + std::to_string(static_cast<int>(gap * 1000)) + " ms");
  if (!leaving_ && !yielded_) refute({}, now, kLeaveTo);
}

void MembershipView::run_indirect_probes(double now) {
  for (std::size_t i = 0; i < indirect_probes_.size();) {
    IndirectProbe& e = indirect_probes_[i];
    if (now >= e.until) {
      Message silent;
      silent.kind = Kind::kSilent;
      silent.serial = e.asked_with;
      silent.target = e.target;
      const IndirectProbe done = e;
      indirect_probes_.erase(indirect_probes_.begin() + static_cast<std::ptrdiff_t>(i));
      send_to(done.for_address, silent, now, find(done.for_name));
      continue;
    }
    if (now >= e.again) {  // one lost datagram is no silence
      e.again = e.until;
      Message ping;
      ping.kind = Kind::kPing;
      ping.serial = e.serial, ping.target = e.target, ping.on_behalf = e.for_name, ping.direct = e.direct;
      const int target = find(e.target);
      if (target >= 0) send(target, ping, now);
    }
    ++i;
  }
}

void MembershipView::gossip(double now) {
  if (gossip_.empty()) return;
  for (const int at : some(kGossipTo, [](const Member&) { return true; })) {
    if (gossip_.empty() || (!gossip_rate_limiter_.open(now) && !gossip_.has_urgent())) return;
    send(at, Message(), now);
    gossip_rate_limiter_.spend(kDatagramBytes + approximate_bytes(self_record(now)));
  }
}

// Full exchanges now and then; seeds that are no members; the dead, so that a long split heals.
void MembershipView::look_around(double now) {
  if (now >= exchange_at_) {
    const double time = exchange_time(terms_, known());
    // The first one comes before it was known how many there are: most leave it out where there are many.
    const bool due = exchanged_ || chance() < terms_.exchange / time;
    exchanged_ = true;
    exchange_at_ = now + time * (0.75 + chance() / 2);
    if (due)
      for (const int at : some(1, [](const Member&) { return true; }))
        port_.exchange(members_[static_cast<std::size_t>(at)].record.address);
  }
  if (now >= seeds_at_) {
    seeds_at_ = now + kSeedEvery * (0.75 + chance() / 2);
    std::vector<std::string> absent;
    for (const std::string& seed : seeds_) {
      const bool known_there =
          seed == self_.address || std::any_of(members_.begin(), members_.end(), [&](const Member& m) {
            return m.record.address == seed && m.record.condition == Condition::kAlive;
          });
      if (!known_there) absent.push_back(seed);
    }
    if (!absent.empty())
      port_.exchange(absent[static_cast<std::size_t>(chance() * static_cast<double>(absent.size()))]);
  }
  if (now < look_at_) return;
  look_at_ = now + kDeadEvery * (0.75 + chance() / 2);
  std::vector<std::string> dead;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const Member& m = members_[i];
    if (m.record.name.empty() || in_play(m)) continue;
    if (now - m.since > terms_.remember) {
      remove(static_cast<int>(i));
    } else if (m.record.condition == Condition::kDead) {
      dead.push_back(m.record.address);
    }
  }
  if (!dead.empty())
    port_.exchange(dead[static_cast<std::size_t>(chance() * static_cast<double>(dead.size()))]);
}

}  // namespace damsonspoke::members
