#include "members/membership_view.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "members/membership_view_internal.h"

namespace damsonspoke::members {
namespace {

constexpr double kTimerShare = 0.15;               // of the interval, between two looks
constexpr double kGossipSeconds = 0.1;             // s, while there is news
constexpr std::size_t kMaxUpdatesPerDatagram = 6;  // records of others in a datagram
constexpr double kDigestMismatchSeconds = 5;       // s that others know another set; news takes less
constexpr double kMinDigestSyncSeconds = 3;        // s between two exchanges that such a difference asks for
constexpr double kUnreachableRecheckSeconds = 1;  // s between probes out of turn of members behind a cut link
constexpr double kBrokenLinkMemorySeconds = 30;   // s that an account of broken links counts

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

MembershipView::MembershipView(MembershipOptions options, Self self, std::vector<std::string> seeds,
                               std::uint64_t seed, MembershipSink& sink)
    : options_(options),
      self_(std::move(self)),
      seeds_(std::move(seeds)),
      random_(seed),
      sink_(sink),
      gossip_rate_limiter_(options.gossip_bytes_per_second, options.gossip_burst_bytes),
      reported_links_(kBrokenLinkMemorySeconds) {}

double MembershipView::random_unit() { return std::ldexp(static_cast<double>(random_()), -32); }

// ---- The table.

int MembershipView::find(const std::string& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? -1 : found->second;
}

int MembershipView::add(const Record& record, double now) {
  if (by_name_.size() >= kMaxMembers) {
    ++counts_.rejected_members;
    return -1;
  }
  int at = static_cast<int>(members_.size());
  if (free_slots_.empty()) {
    members_.emplace_back();
  } else {
    at = free_slots_.back();
    free_slots_.pop_back();
  }
  Member& m = members_[static_cast<std::size_t>(at)];
  m = Member();
  m.record = record;
  m.since = m.flap_counted_at = now;
  by_name_[record.name] = at;
  if (is_active(m)) {
    ++alive_;
    // Somewhere in what is left of the round: probes of all members stay spread.
    const std::size_t left = order_.size() - next_in_order_;
    const auto place = static_cast<std::ptrdiff_t>(
        next_in_order_ + static_cast<std::size_t>(random_unit() * static_cast<double>(left + 1)));
    order_.insert(order_.begin() + place, at);
  }
  if (record.condition == Condition::kSuspected) suspected_.insert(at);
  update_digest(at);
  return at;
}

void MembershipView::update_digest(int member) {
  Member& m = members_[static_cast<std::size_t>(member)];
  const std::uint64_t token = is_active(m) ? token_of(m.record.name, m.record.epoch) : 0;
  digest_ ^= m.token ^ token;
  m.token = token;
}

std::uint64_t MembershipView::membership_digest() const {
  return digest_ ^ (leaving_ ? 0 : token_of(self_.name, self_.epoch));
}

// Who has known another set of members than this one for a while has missed something, or we have: a full
// exchange with it tells. Guards against news that all its passes missed, until the next exchange by chance.
// After a great loss all find a difference at once: each one's exchange comes at a moment of its own, and few
// are still needed by then.
void MembershipView::compare_digest(const std::string& address, std::uint64_t their_digest, double now) {
  if (their_digest == 0) return;  // it does not tell
  if (their_digest == membership_digest()) {
    digest_differs_since_ = -1;
    return;
  }
  const double time = digest_mismatch_window(fleet_size());
  if (digest_differs_since_ < 0) {
    digest_differs_since_ = now;
    next_digest_sync_at_ =
        std::max(next_digest_sync_at_, now + kDigestMismatchSeconds + time * random_unit());
  }
  if (now < next_digest_sync_at_) return;
  next_digest_sync_at_ = now + std::max(kMinDigestSyncSeconds, time) * (0.75 + random_unit() / 2);
  digest_differs_since_ = -1;
  sink_.start_push_pull(address);
}

void MembershipView::remove(int member) {
  Member& m = members_[static_cast<std::size_t>(member)];
  reported_links_.forget(m.record.name);
  by_name_.erase(m.record.name);
  gossip_.forget(member);
  suspected_.erase(member);
  unreachable_.erase(member);
  m = Member();
  free_slots_.push_back(member);
}

Record MembershipView::self_record(double now) const {
  Record r;
  r.name = self_.name, r.address = self_.address;
  r.epoch = self_.epoch, r.conflicting_epoch = conflicting_epoch_, r.incarnation = incarnation_;
  r.condition = leaving_ ? Condition::kLeft : Condition::kAlive;
  if (now - pause_at_ < kPauseMemorySeconds) r.longest_pause_ms = static_cast<std::uint32_t>(pause_ * 1000);
  r.load_report = load_report_;
  r.load_report_age_ms = 0;  // we tell it now
  for (const int at : unreachable_) {
    const Member& m = members_[static_cast<std::size_t>(at)];
    if (r.broken_links.size() >= kMaxBrokenLinks) break;
    const auto age = [&](double since) {
      return static_cast<std::uint32_t>(std::max(0.0, now - since) * 1000);
    };
    if (m.link.is_inbound_broken())
      r.broken_links.push_back({m.record.name, true, age(m.link.inbound_since())});
    if (m.link.is_outbound_broken())
      r.broken_links.push_back({m.record.name, false, age(m.link.outbound_since())});
  }
  if (r.broken_links.size() > kMaxBrokenLinks) r.broken_links.resize(kMaxBrokenLinks);
  return r;
}

Record MembershipView::record_of(int member, double now) const {
  const Member& m = members_[static_cast<std::size_t>(member)];
  Record r = m.record;
  r.load_report_age_ms = static_cast<std::uint32_t>(std::max(0.0, now - m.load_report_at) * 1000);
  r.heard_datagram_number = 0;
  const bool old = now - m.load_report_at > options_.load_report_ttl;
  if (old || r.condition != Condition::kAlive) r.load_report = {};  // worth nothing to anybody any more
  if (r.condition == Condition::kSuspected && now - m.heard_by_others_at < kHeardByOthersSeconds)
    r.heard_datagram_number = m.heard_datagram_number;
  return r;
}

std::vector<Record> MembershipView::full_state(double now) const {
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
  message.sender = self_.name;
  message.sender_epoch = self_.epoch;
  message.datagram_number = next_datagram_number_++;
  const bool probes = message.kind == MessageKind::kPing || message.kind == MessageKind::kAck;
  if (probes) message.membership_digest = membership_digest();
  if (message.records.empty() || message.records.front().name != self_.name) {
    message.records.insert(message.records.begin(), self_record(now));
    if (!probes) message.records.front().load_report = {};  // it goes with probes often enough
  }
  if (member >= 0) {
    const Member& to = members_[static_cast<std::size_t>(member)];
    if (to.record.condition != Condition::kAlive) message.records.push_back(record_of(member, now));
  }
  // What shows that somebody lives after all is never held back: guards against deaths called wrongly where
  // many stood still at once.
  const bool open = gossip_rate_limiter_.has_budget(now);
  for (const int news : gossip_.take(kMaxUpdatesPerDatagram,
                                     open ? GossipQueue::Filter::kAll : GossipQueue::Filter::kUrgentOnly)) {
    if (news == member || members_[static_cast<std::size_t>(news)].record.name.empty()) continue;
    message.records.push_back(record_of(news, now));
    gossip_rate_limiter_.charge(approximate_bytes(message.records.back()));
  }
  // What is held against somebody goes along with everything, for who knows better to say so: news that it
  // has refuted may have missed us.
  if (!suspected_.empty()) {
    const auto at = static_cast<std::ptrdiff_t>(random_unit() * static_cast<double>(suspected_.size()));
    const int suspect = *std::next(suspected_.begin(), at);
    if (suspect != member) message.records.push_back(record_of(suspect, now));
  }
  // What is left carries the age of what some member told.
  if (probes && message.records.size() < 2 && !order_.empty()) {
    const int any = order_[static_cast<std::size_t>(random_unit() * static_cast<double>(order_.size()))];
    const Member& m = members_[static_cast<std::size_t>(any)];
    if (any != member && !m.record.name.empty() && m.record.condition == Condition::kAlive &&
        now - m.load_report_at < options_.load_report_ttl)
      message.records.push_back(record_of(any, now));
  }
  sink_.send(address, message);
}

void MembershipView::send(int member, Message message, double now) {
  const std::string address = members_[static_cast<std::size_t>(member)].record.address;
  send_to(address, std::move(message), now, member);
}

std::vector<int> MembershipView::random_members(std::size_t most,
                                                const std::function<bool(const Member&)>& wanted) {
  std::vector<int> out;
  if (order_.empty()) return out;
  // A few draws, then whoever fits from a random place on: cheap in a large fleet, whole in a small one.
  const auto place = static_cast<std::size_t>(random_unit() * static_cast<double>(order_.size()));
  const auto fits = [&](int at) {
    const Member& m = members_[static_cast<std::size_t>(at)];
    return !m.record.name.empty() && m.record.condition == Condition::kAlive && wanted(m) &&
           std::find(out.begin(), out.end(), at) == out.end();
  };
  for (std::size_t i = 0; i < 3 * most && out.size() < most; ++i) {
    const int at = order_[static_cast<std::size_t>(random_unit() * static_cast<double>(order_.size()))];
    if (fits(at)) out.push_back(at);
  }
  for (std::size_t i = 0; i < order_.size() && out.size() < most; ++i) {
    const int at = order_[(place + i) % order_.size()];
    if (fits(at)) out.push_back(at);
  }
  return out;
}

// ---- Time.

void MembershipView::start(double now) {
  next_timer_at_ = now;
  push_pull_at_ = now + options_.push_pull_interval * (0.5 + random_unit());
  seed_contact_at_ = now + kSeedContactSeconds;
  dead_check_at_ = now + kDeadContactSeconds;
  probe_period_ends_at_ = now + options_.probe_interval * random_unit();
  for (const std::string& seed : seeds_) {
    if (seed != self_.address) sink_.start_push_pull(seed);
  }
}

bool MembershipView::on_timer(double now) {
  const double gap = now - next_timer_at_;
  const bool paused = gap > kPauseThresholdSeconds;
  if (paused) handle_own_pause(gap, now);
  next_timer_at_ = now + options_.probe_interval * kTimerShare;
  if (yielded_) {
    if (now < retry_at_) return paused;
    yielded_ = false;  // perhaps the older one is gone by now
    ++self_.epoch;
    incarnation_ = 0;
    for (const std::string& seed : seeds_) {
      if (seed != self_.address) sink_.start_push_pull(seed);
    }
  }
  if (leaving_) {
    gossip(now);
    return paused;
  }
  const double period = options_.probe_interval * local_health_.multiplier();
  if (probe_ && !probe_->answered && !probe_->asked && now >= probe_->sent + period * kDirectProbeShare)
    start_indirect_probes(now);
  if (now >= unreachable_recheck_at_ && !unreachable_.empty()) {  // a cut that has ended is to show soon
    unreachable_recheck_at_ = now + kUnreachableRecheckSeconds;
    reprobe_ =
        *std::next(unreachable_.begin(),
                   static_cast<std::ptrdiff_t>(random_unit() * static_cast<double>(unreachable_.size())));
  }
  if (now >= probe_period_ends_at_) {
    if (probe_) finish_probe(now);
    probe_period_ends_at_ =
        std::max(now, probe_period_ends_at_ + options_.probe_interval * local_health_.multiplier());
    if (probe_period_ends_at_ <= now)
      probe_period_ends_at_ = now + options_.probe_interval * local_health_.multiplier();
    start_probe(now);
  }
  run_indirect_probes(now);
  check_suspicions(now);
  if (now >= gossip_at_) {
    gossip_at_ = now + kGossipSeconds;
    gossip(now);
  }
  run_periodic_tasks(now);
  return paused;
}

void MembershipView::set_load_report(LoadReport load_report) {
  load_report.version = load_report_.version;
  if (load_report == load_report_) return;
  load_report_ = std::move(load_report);
  ++load_report_.version;
}

void MembershipView::leave(double now) {
  leaving_ = true;
  ++incarnation_;
  probe_.reset();
  Message message;
  message.records.push_back(self_record(now));
  for (const int at : random_members(kLeaveFanout, [](const Member&) { return true; }))
    send(at, message, now);
}

// ---- What it shows.

MemberState MembershipView::state_of(const Member& m, double now) const {
  switch (m.record.condition) {
    case Condition::kDead: return MemberState::kDead;
    case Condition::kLeft: return MemberState::kLeft;
    case Condition::kSuspected:
      return mass_silence_since_ >= 0 || now - m.heard_by_others_at < kHeardByOthersSeconds
                 ? MemberState::kUnreachable
                 : MemberState::kSuspected;
    case Condition::kAlive: break;
  }
  if (m.link.is_broken()) return MemberState::kUnreachable;
  return now < m.stable_at ? MemberState::kFlapping : MemberState::kAlive;
}

std::vector<MemberStatus> MembershipView::members(double now) const {
  std::vector<MemberStatus> out;
  for (const Member& m : members_) {
    if (m.record.name.empty()) continue;
    MemberStatus seen;
    seen.name = m.record.name, seen.address = m.record.address;
    seen.epoch = m.record.epoch, seen.incarnation = m.record.incarnation,
    seen.conflicting_epoch = m.record.conflicting_epoch;
    seen.state = state_of(m, now);
    seen.since = m.since;
    seen.load_report_age = now - m.load_report_at;
    if (m.record.load_report.version > 0 && seen.load_report_age <= options_.load_report_ttl)
      seen.load_report = m.record.load_report;
    seen.longest_pause = m.record.longest_pause_ms / 1000.0;
    seen.accusers = m.record.accusers;
    out.push_back(std::move(seen));
  }
  std::sort(out.begin(), out.end(),
            [](const MemberStatus& a, const MemberStatus& b) { return a.name < b.name; });
  return out;
}

std::vector<ObservedLink> MembershipView::broken_links(double now) const {
  std::vector<ObservedLink> out = reported_links_.links(now);
  for (const Member& m : members_) {
    if (m.record.name.empty() || !is_active(m)) continue;
    if (m.link.is_inbound_broken())
      out.push_back({m.record.name, self_.name, m.link.inbound_since(), self_.name});
    if (m.link.is_outbound_broken())
      out.push_back({self_.name, m.record.name, m.link.outbound_since(), self_.name});
  }
  return out;
}

}  // namespace damsonspoke::members
