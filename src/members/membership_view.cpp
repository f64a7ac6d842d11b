#include "members/membership_view.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "members/membership_view_internal.h"

namespace damsonspoke::members {
namespace {

constexpr double kTickShare = 0.15;     // of the interval, between two looks
constexpr double kGossipEvery = 0.1;    // s, while there is news
constexpr std::size_t kNewsAtOnce = 6;  // records of others in a datagram
constexpr double kDiffers = 5;          // s that others know another set; news takes less
constexpr double kLeastCompare = 3;     // s between two exchanges that such a difference asks for
constexpr double kRecheck = 1;          // s between probes out of turn of members behind a cut link
constexpr double kLinksKept = 30;       // s that an account of broken links counts

std::uint64_t token_of(const std::string& name, std::uint64_t epoch) {
  return XXH64(name.data(), name.size(), epoch);
}

}  // namespace

const char* text_of(MemberState state) {
  switch (state) {
    case MemberState::kAlive: return "there";
    case MemberState::kFlapping: return "unsettled";
    case MemberState::kUnreachable: return "cut";
    case MemberState::kSuspected: return "suspected";
    case MemberState::kDead: return "dead";
    case MemberState::kLeft: return "left";
  }
  return "";
}

MembershipView::MembershipView(MembershipOptions terms, Self self, std::vector<std::string> seeds,
                               std::uint64_t seed, MembershipSink& port)
    : terms_(terms),
      self_(std::move(self)),
      seeds_(std::move(seeds)),
      random_(seed),
      port_(port),
      gossip_rate_limiter_(terms.news, terms.news_burst),
      links_(kLinksKept) {}

double MembershipView::chance() { return std::ldexp(static_cast<double>(random_()), -32); }

// ---- The table.

int MembershipView::find(const std::string& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? -1 : found->second;
}

int MembershipView::add(const Record& record, double now) {
  if (by_name_.size() >= kMostMembers) {
    ++counts_.refused;
    return -1;
  }
  int at = static_cast<int>(members_.size());
  if (holes_.empty()) {
    members_.emplace_back();
  } else {
    at = holes_.back();
    holes_.pop_back();
  }
  Member& m = members_[static_cast<std::size_t>(at)];
  m = Member();
  m.record = record;
  m.since = m.flapped_at = now;
  by_name_[record.name] = at;
  if (in_play(m)) {
    ++alive_;
    // Somewhere in what is left of the round: probes of all members stay spread.
    const std::size_t left = order_.size() - next_in_order_;
    const auto place = static_cast<std::ptrdiff_t>(
        next_in_order_ + static_cast<std::size_t>(chance() * static_cast<double>(left + 1)));
    order_.insert(order_.begin() + place, at);
  }
  if (record.condition == Condition::kSuspected) suspected_.insert(at);
  count_in(at);
  return at;
}

void MembershipView::count_in(int member) {
  Member& m = members_[static_cast<std::size_t>(member)];
  const std::uint64_t token = in_play(m) ? token_of(m.record.name, m.record.epoch) : 0;
  sum_ ^= m.token ^ token;
  m.token = token;
}

std::uint64_t MembershipView::sum() const {
  return sum_ ^ (leaving_ ? 0 : token_of(self_.name, self_.epoch));
}

// Who has known another set of members than this one for a while has missed something, or we have: a full
// exchange with it tells. Guards against news that all its passes missed, until the next exchange by chance.
// After a great loss all find a difference at once: each one's exchange comes at a moment of its own, and few
// are still needed by then.
void MembershipView::compare(const std::string& address, std::uint64_t theirs, double now) {
  if (theirs == 0) return;  // it does not tell
  if (theirs == sum()) {
    differs_since_ = -1;
    return;
  }
  const double time = comparison_time(known());
  if (differs_since_ < 0) {
    differs_since_ = now;
    compare_at_ = std::max(compare_at_, now + kDiffers + time * chance());
  }
  if (now < compare_at_) return;
  compare_at_ = now + std::max(kLeastCompare, time) * (0.75 + chance() / 2);
  differs_since_ = -1;
  port_.exchange(address);
}

void MembershipView::remove(int member) {
  Member& m = members_[static_cast<std::size_t>(member)];
  links_.forget(m.record.name);
  by_name_.erase(m.record.name);
  gossip_.forget(member);
  suspected_.erase(member);
  cut_.erase(member);
  m = Member();
  holes_.push_back(member);
}

Record MembershipView::self_record(double now) const {
  Record r;
  r.name = self_.name, r.address = self_.address;
  r.epoch = self_.epoch, r.contest = contest_, r.incarnation = incarnation_;
  r.condition = leaving_ ? Condition::kLeft : Condition::kAlive;
  if (now - pause_at_ < kPauseMemory) r.pause_ms = static_cast<std::uint32_t>(pause_ * 1000);
  r.told = told_;
  r.told_age_ms = 0;  // we tell it now
  for (const int at : cut_) {
    const Member& m = members_[static_cast<std::size_t>(at)];
    if (r.broken.size() >= kMostBroken) break;
    const auto age = [&](double since) {
      return static_cast<std::uint32_t>(std::max(0.0, now - since) * 1000);
    };
    if (m.link.inward_broken()) r.broken.push_back({m.record.name, true, age(m.link.inward_since())});
    if (m.link.outward_broken()) r.broken.push_back({m.record.name, false, age(m.link.outward_since())});
  }
  if (r.broken.size() > kMostBroken) r.broken.resize(kMostBroken);
  return r;
}

Record MembershipView::record_of(int member, double now) const {
  const Member& m = members_[static_cast<std::size_t>(member)];
  Record r = m.record;
  r.told_age_ms = static_cast<std::uint32_t>(std::max(0.0, now - m.told_at) * 1000);
  r.heard = 0;
  const bool old = now - m.told_at > terms_.old;
  if (old || r.condition != Condition::kAlive) r.told = {};  // worth nothing to anybody any more
  if (r.condition == Condition::kSuspected && now - m.heard_at < kHeardCounts) r.heard = m.heard;
  return r;
}

std::vector<Record> MembershipView::full(double now) const {
  std::vector<Record> out;
  if (!yielded_) out.push_back(self_record(now));
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (!members_[i].record.name.empty()) out.push_back(record_of(static_cast<int>(i), now));
  }
  return out;
}

// ---- What goes out. Each datagram begins with this one's own record, so that it can be told who speaks, and
// what the addressee is accused of comes next: it can then refute at once.

void MembershipView::send_to(const std::string& address, Message message, double now, int member) {
  message.from = self_.name;
  message.epoch = self_.epoch;
  message.number = next_number_++;
  const bool probes = message.kind == Kind::kPing || message.kind == Kind::kAck;
  if (probes) message.sum = sum();
  if (message.records.empty() || message.records.front().name != self_.name) {
    message.records.insert(message.records.begin(), self_record(now));
    if (!probes) message.records.front().told = {};  // it goes with probes often enough
  }
  if (member >= 0) {
    const Member& to = members_[static_cast<std::size_t>(member)];
    if (to.record.condition != Condition::kAlive) message.records.push_back(record_of(member, now));
  }
  // What shows that somebody lives after all is never held back: guards against deaths called wrongly where
  // many stood still at once.
  const bool open = gossip_rate_limiter_.open(now);
  for (const int news :
       gossip_.take(kNewsAtOnce, open ? GossipQueue::Which::kAll : GossipQueue::Which::kUrgent)) {
    if (news == member || members_[static_cast<std::size_t>(news)].record.name.empty()) continue;
    message.records.push_back(record_of(news, now));
    gossip_rate_limiter_.spend(approximate_bytes(message.records.back()));
  }
  // What is held against somebody goes along with everything, for who knows better to say so: news that it
  // has refuted may have missed us.
  if (!suspected_.empty()) {
    const auto at = static_cast<std::ptrdiff_t>(chance() * static_cast<double>(suspected_.size()));
    const int suspect = *std::next(suspected_.begin(), at);
    if (suspect != member) message.records.push_back(record_of(suspect, now));
  }
  // What is left carries the age of what some member told.
  if (probes && message.records.size() < 2 && !order_.empty()) {
    const int any = order_[static_cast<std::size_t>(chance() * static_cast<double>(order_.size()))];
    const Member& m = members_[static_cast<std::size_t>(any)];
    if (any != member && !m.record.name.empty() && m.record.condition == Condition::kAlive &&
        now - m.told_at < terms_.old)
      message.records.push_back(record_of(any, now));
  }
  port_.send(address, message);
}

void MembershipView::send(int member, Message message, double now) {
  const std::string address = members_[static_cast<std::size_t>(member)].record.address;
  send_to(address, std::move(message), now, member);
}

std::vector<int> MembershipView::some(std::size_t most, const std::function<bool(const Member&)>& wanted) {
  std::vector<int> out;
  if (order_.empty()) return out;
  // A few draws, then whoever fits from a random place on: cheap in a large fleet, whole in a small one.
  const auto place = static_cast<std::size_t>(chance() * static_cast<double>(order_.size()));
  const auto fits = [&](int at) {
    const Member& m = members_[static_cast<std::size_t>(at)];
    return !m.record.name.empty() && m.record.condition == Condition::kAlive && wanted(m) &&
           std::find(out.begin(), out.end(), at) == out.end();
  };
  for (std::size_t i = 0; i < 3 * most && out.size() < most; ++i) {
    const int at = order_[static_cast<std::size_t>(chance() * static_cast<double>(order_.size()))];
    if (fits(at)) out.push_back(at);
  }
  for (std::size_t i = 0; i < order_.size() && out.size() < most; ++i) {
    const int at = order_[(place + i) % order_.size()];
    if (fits(at)) out.push_back(at);
  }
  return out;
}

// ---- Time.

void MembershipView::begin(double now) {
  tick_at_ = now;
  exchange_at_ = now + terms_.exchange * (0.5 + chance());
  seeds_at_ = now + kSeedEvery;
  look_at_ = now + kDeadEvery;
  period_at_ = now + terms_.interval * chance();
  for (const std::string& seed : seeds_) {
    if (seed != self_.address) port_.exchange(seed);
  }
}

bool MembershipView::on_timer(double now) {
  const double gap = now - tick_at_;
  const bool paused = gap > kPause;
  if (paused) notice_pause(gap, now);
  tick_at_ = now + terms_.interval * kTickShare;
  if (yielded_) {
    if (now < retry_at_) return paused;
    yielded_ = false;  // perhaps the older one is gone by now
    ++self_.epoch;
    incarnation_ = 0;
    for (const std::string& seed : seeds_) {
      if (seed != self_.address) port_.exchange(seed);
    }
  }
  if (leaving_) {
    gossip(now);
    return paused;
  }
  const double period = terms_.interval * local_health_.stretch();
  if (probe_ && !probe_->answered && !probe_->asked && now >= probe_->sent + period * kDirectShare)
    ask_helpers(now);
  if (now >= recheck_at_ && !cut_.empty()) {  // a cut that has ended is to show soon
    recheck_at_ = now + kRecheck;
    again_ =
        *std::next(cut_.begin(), static_cast<std::ptrdiff_t>(chance() * static_cast<double>(cut_.size())));
  }
  if (now >= period_at_) {
    if (probe_) judge_probe(now);
    period_at_ = std::max(now, period_at_ + terms_.interval * local_health_.stretch());
    if (period_at_ <= now) period_at_ = now + terms_.interval * local_health_.stretch();
    start_probe(now);
  }
  run_indirect_probes(now);
  look_at_suspicions(now);
  if (now >= gossip_at_) {
    gossip_at_ = now + kGossipEvery;
    gossip(now);
  }
  look_around(now);
  return paused;
}

void MembershipView::tell(LoadReport told) {
  told.serial = told_.serial;
  if (told == told_) return;
  told_ = std::move(told);
  ++told_.serial;
}

void MembershipView::leave(double now) {
  leaving_ = true;
  ++incarnation_;
  probe_.reset();
  Message message;
  message.records.push_back(self_record(now));
  for (const int at : some(kLeaveTo, [](const Member&) { return true; })) send(at, message, now);
}

// ---- What it shows.

MemberState MembershipView::state_of(const Member& m, double now) const {
  switch (m.record.condition) {
    case Condition::kDead: return MemberState::kDead;
    case Condition::kLeft: return MemberState::kLeft;
    case Condition::kSuspected:
      return hold_since_ >= 0 || now - m.heard_at < kHeardCounts ? MemberState::kUnreachable
                                                                 : MemberState::kSuspected;
    case Condition::kAlive: break;
  }
  if (m.link.broken()) return MemberState::kUnreachable;
  return now < m.settled_at ? MemberState::kFlapping : MemberState::kAlive;
}

std::vector<MemberStatus> MembershipView::members(double now) const {
  std::vector<MemberStatus> out;
  for (const Member& m : members_) {
    if (m.record.name.empty()) continue;
    MemberStatus seen;
    seen.name = m.record.name, seen.address = m.record.address;
    seen.epoch = m.record.epoch, seen.incarnation = m.record.incarnation, seen.contest = m.record.contest;
    seen.state = state_of(m, now);
    seen.since = m.since;
    seen.told_age = now - m.told_at;
    if (m.record.told.serial > 0 && seen.told_age <= terms_.old) seen.told = m.record.told;
    seen.pause = m.record.pause_ms / 1000.0;
    seen.by = m.record.by;
    out.push_back(std::move(seen));
  }
  std::sort(out.begin(), out.end(),
            [](const MemberStatus& a, const MemberStatus& b) { return a.name < b.name; });
  return out;
}

std::vector<ObservedLink> MembershipView::broken_links(double now) const {
  std::vector<ObservedLink> out = links_.broken(now);
  for (const Member& m : members_) {
    if (m.record.name.empty() || !in_play(m)) continue;
    if (m.link.inward_broken()) out.push_back({m.record.name, self_.name, m.link.inward_since(), self_.name});
    if (m.link.outward_broken())
      out.push_back({self_.name, m.record.name, m.link.outward_since(), self_.name});
  }
  return out;
}

}  // namespace damsonspoke::members
