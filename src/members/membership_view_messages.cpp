// View: what comes in, by datagram and by full exchange.
#include <algorithm>
#include <cmath>

#include "members/membership_view.h"
#include "members/membership_view_internal.h"

namespace damsonspoke::members {
namespace {

constexpr double kErrandAgain = 0.4;      // of the time of an errand, until its ping is sent again
constexpr std::size_t kMostNews = 16;     // records of one exchange that are passed on
constexpr double kYieldFor = 30;          // s until a clone that yielded tries again
constexpr double kFlapMemory = 60;        // s, half-life
constexpr double kFlaps = 3;              // comings back within it that make a member unsettled
constexpr double kSettle = 5;             // s that it has to stay then, doubled with each one more up to
constexpr double kMostSettle = 60;        // s
constexpr double kFirstSeedRetry = 0.25;  // s, about
constexpr double kHeardNews = 1;          // s; that it was heard again is news then

}  // namespace

void MembershipView::note_told(Member& m, const Record& record, double now) {
  if (record.told.serial == 0 || record.epoch != m.record.epoch) return;
  const double at = now - record.told_age_ms / 1000.0;
  if (record.told.serial < m.record.told.serial ||
      (record.told.serial == m.record.told.serial && at <= m.told_at))
    return;
  m.record.told = record.told;
  m.told_at = at;
}

// True where it was news.
bool MembershipView::take(const Record& record, double now) {
  if (record.name == self_.name) return take_about_self(record, now), false;
  const int at = find(record.name);
  if (at < 0) {
    Record fresh = record;
    fresh.told = {};
    const int made = add(fresh, now);
    if (made < 0) return false;
    Member& m = members_[static_cast<std::size_t>(made)];
    note_told(m, record, now);
    links_.told(record.name, record.broken, now);
    if (record.condition == Condition::kSuspected) m.deadline = deadline_of(m, now);
    gossip_.add(made, passes(known()));
    port_.changed(record.name, state_of(m, now), "heard of");
    return true;
  }
  Member& m = members_[static_cast<std::size_t>(at)];
  note_told(m, record, now);
  if (supersedes(record, m.record)) {
    const Condition before = m.record.condition;
    const std::uint64_t epoch = m.record.epoch;
    const bool fresh_life = record.rank() > m.record.rank();
    LoadReport told = m.record.told;
    std::vector<std::string> by = m.record.by;
    m.record = record;
    if (fresh_life && record.epoch != epoch) {
      m.told_at = -1e9, told = {}, m.link = {}, m.seen_ping_at = -1, m.heard = 0, m.heard_at = -1e9,
      m.helped_by.clear(), by.clear();
    }
    m.record.told = std::move(told);
    note_told(m, record, now);
    if (record.condition == Condition::kSuspected && before == Condition::kSuspected)
      add_witnesses(m.record, by);
    links_.told(record.name, record.broken, now);
    settle(at, before, now, "told");
    const bool lives_after_all = before != Condition::kAlive && m.record.condition == Condition::kAlive;
    gossip_.add(at, passes(known()), lives_after_all);
    return true;
  }
  // The same suspicion from more witnesses shortens its time.
  const bool same = record.rank() == m.record.rank() && record.incarnation == m.record.incarnation &&
                    record.condition == Condition::kSuspected && m.record.condition == Condition::kSuspected;
  if (same) {
    heard(at, record.heard, now);
    const bool more = add_witnesses(m.record, record.by);
    if (more) confirm(at);
    return more;
  }
  if (record.rank() == m.record.rank() && record.incarnation == m.record.incarnation &&
      !record.broken.empty())
    links_.told(record.name, record.broken, now);
  return false;
}

// A member's condition has changed by what was told or found.
void MembershipView::settle(int member, Condition before, double now, const std::string& why) {
  Member& m = members_[static_cast<std::size_t>(member)];
  const Condition after = m.record.condition;
  const bool was = before <= Condition::kSuspected, is = in_play(m);
  if (was && !is) --alive_;
  if (!was && is) {
    ++alive_;
    if (std::find(order_.begin(), order_.end(), member) == order_.end()) order_.push_back(member);
    // Damping: one that comes and goes counts only once it has stayed.
    m.flaps = m.flaps * std::exp2(-(now - m.flapped_at) / kFlapMemory) + 1;
    m.flapped_at = now;
    if (m.flaps > kFlaps)
      m.settled_at = now + std::min(kMostSettle, kSettle * std::exp2(std::floor(m.flaps - kFlaps)));
  }
  if (before != after) m.since = now;
  if (after == Condition::kSuspected) {
    if (before != Condition::kSuspected) m.accused_here = m.looked = false, newest_suspicion_ = now;
    m.deadline = deadline_of(m, m.since);
    suspected_.insert(member);
  } else {
    m.deadline = -1;
    m.accused_here = false;
    suspected_.erase(member);
    if (after == Condition::kAlive) m.record.by.clear();
    if (!is) cut_.erase(member), m.link = {};
  }
  count_in(member);
  if (before != after) port_.changed(m.record.name, state_of(m, now), why);
}

// Somebody speaks of this one: of this life, of one before it, or of a clone.
void MembershipView::take_about_self(const Record& record, double now) {
  if (yielded_) return;
  if (record.epoch == self_.epoch) {
    const bool accuses =
        !leaving_ && record.condition != Condition::kAlive && record.incarnation >= incarnation_;
    if (!accuses) return;
    incarnation_ = record.incarnation;
    local_health_.worse();
    ++counts_.refuted;
    port_.noticed("refuted what was said of this one");
    return refute(record.by, now);
  }
  if (record.contest >= self_.epoch && record.epoch < self_.epoch) {
    // An older one still runs under our name: we are its clone.
    yielded_ = true;
    retry_at_ = now + kYieldFor;
    port_.noticed("another life under this name is older and still runs, at " + record.address +
                  ": this one yields");
    return;
  }
  if (record.rank() < self_.epoch || record.rank() >= kMostEpoch)
    return;  // a life before this one, or none at all
  const bool gone = record.condition >= Condition::kDead;
  if (gone || record.address == self_.address) {
    // It was ours, or is over, and its number is the higher one since a clock was set back: go beyond it.
    self_.epoch = record.rank() + 1;
    contest_ = 0, incarnation_ = 0;
    port_.noticed("took a later epoch than that of a life before");
    return refute({}, now);
  }
  if (contest_ >= record.epoch) return;
  contest_ = record.epoch;
  ++incarnation_;
  port_.noticed("a clone of this one has come up at " + record.address);
  refute({}, now);
}

// First to who accuses, then to whoever: they have the shortest time.
void MembershipView::refute(const std::vector<std::string>& accusers, double now, std::size_t to) {
  // An accusation may name the last incarnation there is. Guards against refuting with one that nobody reads.
  if (++incarnation_ > kMostIncarnation) ++self_.epoch, incarnation_ = 0;
  Message message;
  message.records.push_back(self_record(now));
  for (const std::string& name : accusers) {
    const int at = find(name);
    if (at >= 0) send(at, message, now);
  }
  for (const int at : some(to, [](const Member&) { return true; })) send(at, message, now);
}

// Somebody heard from a suspected member: it lives, whoever can't reach it. Passed on, so that none of those
// who do not hear it calls it dead. By the number that it gave its datagram, not by times: what travels late
// would make it look alive for ever. Guards against the end of a member that is heard and hears nobody.
void MembershipView::heard(int member, std::uint32_t number, double now) {
  Member& m = members_[static_cast<std::size_t>(member)];
  if (m.record.condition != Condition::kSuspected || number <= m.heard) return;
  if (now - m.heard_at > kHeardNews) gossip_.add(member, passes(known()));
  m.heard_at = now;
  m.heard = number;
}

// A death counts as any news: answers to all who still suspect would be a flood of their own in a great loss.
bool MembershipView::may_correct(int member, double now) {
  if (members_[static_cast<std::size_t>(member)].record.condition != Condition::kDead) return true;
  if (!gossip_rate_limiter_.open(now)) return false;
  gossip_rate_limiter_.spend(approximate_bytes(members_[static_cast<std::size_t>(member)].record));
  return true;
}

void MembershipView::on_message(const std::string& from_address, const Message& message, double now,
                                bool stale) {
  if (message.from == self_.name) return;   // a clone, or a forged one: lives are sorted out by records
  if (!stale && now - tick_at_ > kPause) {  // nobody has woken us yet: this waited, too
    on_timer(now);
    stale = true;
  }
  if (stale) {
    for (const Record& record : message.records) {
      if (record.name == self_.name && record.condition != Condition::kAlive) take_about_self(record, now);
    }
    return;
  }
  if (yielded_) return;
  // Who tells ill news that is out of date gets what is known here: it may have missed all that said so.
  Message better;
  for (const Record& record : message.records) {
    take(record, now);
    const int of = record.condition == Condition::kAlive ? -1 : find(record.name);
    if (of >= 0 && supersedes(members_[static_cast<std::size_t>(of)].record, record) && may_correct(of, now))
      better.records.push_back(record_of(of, now));
  }
  if (!better.records.empty()) send_to(from_address, std::move(better), now, -1);
  const int at = find(message.from);
  if (at < 0) return;  // its own record comes first in what it sends; without one it is nobody
  Member& m = members_[static_cast<std::size_t>(at)];
  if (m.record.epoch != message.epoch) {  // a life that is over, or a clone's: it has to know
    Message news;
    news.records.push_back(record_of(at, now));
    return send_to(from_address, news, now, -1);
  }
  m.last_heard = now;
  compare(from_address, message.sum, now);
  heard(at, message.number, now);
  Message answer;
  answer.serial = message.serial;
  switch (message.kind) {
    case Kind::kPing: {
      if (message.target != self_.name) return;  // it means whoever was here before
      answer.kind = Kind::kAck;
      answer.on_behalf = message.on_behalf;
      answer.direct = message.direct;
      if (message.on_behalf.empty()) {
        m.seen_ping = message.serial, m.seen_ping_at = now;
      } else {
        const int whose = find(message.on_behalf);
        if (whose >= 0) {
          const Member& asker = members_[static_cast<std::size_t>(whose)];
          answer.heard_direct = asker.seen_ping_at >= 0 && asker.seen_ping == message.direct;
          // And straight to who asked: whether that arrives tells which way is cut.
          Message detour = answer;
          detour.serial = message.direct;
          send(whose, detour, now);
        }
      }
      send_to(from_address, answer, now, at);
      return;
    }
    case Kind::kAck: {
      for (auto it = indirect_probes_.begin(); it != indirect_probes_.end(); ++it) {
        if (it->serial != message.serial || it->target != message.from) continue;
        answer.kind = Kind::kAck;
        answer.serial = it->asked_with;
        answer.target = it->target;
        answer.heard_direct = message.heard_direct;
        answer.records.push_back(record_of(at, now));  // it may have refuted what they think of it
        send_to(it->for_address, answer, now, find(it->for_name));
        indirect_probes_.erase(it);
        return;
      }
      if (!probe_) return;
      Probe& p = *probe_;
      if (p.serial != message.serial) return;
      const Member& target = members_[static_cast<std::size_t>(p.member)];
      if (message.from == target.record.name) {
        if (message.on_behalf.empty())
          p.answered = true;
        else
          p.reached = p.detour = true, p.direct_came |= message.heard_direct;
      } else if (message.target == target.record.name) {
        p.reached = true;
        p.direct_came |= message.heard_direct;
        members_[static_cast<std::size_t>(p.member)].helped_by = message.from;
      }
      return;
    }
    case Kind::kAsk: {
      const int target = find(message.target);
      if (target < 0 || target == at || indirect_probes_.size() >= kMaxIndirectProbes) return;
      IndirectProbe errand;
      errand.for_name = message.from, errand.for_address = from_address, errand.target = message.target;
      errand.serial = next_serial_++, errand.direct = message.direct, errand.asked_with = message.serial;
      const double time = terms_.interval * (1 - kDirectShare) * 0.75;
      errand.until = now + time, errand.again = now + time * kErrandAgain;
      Message ping;
      ping.kind = Kind::kPing;
      ping.serial = errand.serial, ping.target = errand.target, ping.on_behalf = errand.for_name;
      ping.direct = errand.direct;
      indirect_probes_.push_back(std::move(errand));
      send(target, ping, now);
      return;
    }
    case Kind::kSilent:
      if (!probe_ || probe_->serial != message.serial) return;
      if (std::find(probe_->silent.begin(), probe_->silent.end(), message.from) == probe_->silent.end())
        probe_->silent.push_back(message.from);
      return;
    case Kind::kGossip: return;
  }
}

void MembershipView::on_exchange(const std::vector<Record>& records, double now) {
  ++counts_.exchanges;
  if (yielded_) return;
  // Little news is passed on as any; a great deal of it means that this one is new, or was apart, and that
  // most others have it already: then it goes by exchanges. Guards against a flood where a fleet comes up or
  // heals.
  std::size_t news = 0;
  for (const Record& record : records) news += take(record, now) ? 1 : 0;
  if (news <= kMostNews) return;
  for (const Record& record : records) {
    const int at = find(record.name);
    if (at >= 0) gossip_.forget(at);
  }
}

// Seeds refuse exchanges beyond their bound when many come up at once. Who knows nobody yet tries again soon,
// and waits longer each time, up to the time between any two tries.
void MembershipView::on_exchange_failed(double now) {
  if (alive_ > 0 || yielded_) return;
  seed_wait_ = seed_wait_ == 0 ? kFirstSeedRetry : std::min(kSeedEvery, 2 * seed_wait_);
  seeds_at_ = std::min(seeds_at_, now + seed_wait_ * (0.5 + chance()));
}

}  // namespace damsonspoke::members
