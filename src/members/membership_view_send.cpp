// MembershipView: sent datagrams. Each begins with this member's own record; the record of the receiver
// follows if it is suspected or dead, so that it can refute immediately; then comes gossip.
#include <algorithm>
#include <iterator>
#include <utility>

#include "members/membership_view.h"
#include "members/membership_view_internal.h"
#include "members/timing.h"

namespace damsonspoke::members {
namespace {

constexpr std::size_t kMaxUpdatesPerDatagram = 6;  // about other members
constexpr std::size_t kGossipFanout = 3;
constexpr std::size_t kDrawsPerMember = 3;        // of random_members(), before it scans
constexpr std::size_t kDatagramHeaderBytes = 75;  // of IP, UDP and the message

bool is_probe(const Message& message) {
  return message.kind == MessageKind::kPing || message.kind == MessageKind::kAck;
}

}  // namespace

void MembershipView::send(MemberIndex to, Message message, double now) {
  const std::string address = table_[to].record.address;
  send_to(address, std::move(message), now, to);
}

void MembershipView::send_to(const std::string& address, Message message, double now,
                             std::optional<MemberIndex> to) {
  message.sender = self_.name;
  message.sender_epoch = self_.epoch;
  message.datagram_number = next_datagram_number_++;
  if (is_probe(message)) message.membership_digest = membership_digest();
  if (message.records.empty() || message.records.front().name != self_.name) {
    Record self = self_record(now);
    if (!is_probe(message)) self.load_report = {};  // probes transmit it often enough
    message.records.insert(message.records.begin(), std::move(self));
  }
  if (to && table_[*to].record.condition != Condition::kAlive) message.records.push_back(record_of(*to, now));
  add_gossip(message, to, now);
  add_random_suspect(message, to, now);
  if (is_probe(message) && message.records.size() < 2) add_random_load_report(message, to, now);
  sink_.send(address, message);
}

void MembershipView::send_record(const std::string& address, MemberIndex about, double now) {
  Message message;
  message.records.push_back(record_of(about, now));
  send_to(address, std::move(message), now, std::nullopt);
}

void MembershipView::send_to_random_members(std::size_t count, const Message& message, double now) {
  for (const MemberIndex to : random_members(count)) send(to, message, now);
}

// Urgent updates ignore the rate limit: otherwise, when many members are suspected at once, they would be
// declared dead while their refutations wait.
void MembershipView::add_gossip(Message& message, std::optional<MemberIndex> to, double now) {
  const auto filter =
      gossip_rate_limiter_.has_budget(now) ? GossipQueue::Filter::kAll : GossipQueue::Filter::kUrgentOnly;
  for (const MemberIndex about : gossip_.take(kMaxUpdatesPerDatagram, filter)) {
    if (about == to || !table_[about].exists()) continue;
    message.records.push_back(record_of(about, now));
    gossip_rate_limiter_.charge(approximate_bytes(message.records.back()));
  }
}

// Adds one suspicion to every datagram, so that a receiver with a newer record can correct it: this member
// may have missed the refutation.
void MembershipView::add_random_suspect(Message& message, std::optional<MemberIndex> to, double now) {
  if (suspected_.empty()) return;
  const MemberIndex suspect = random_of(suspected_);
  if (suspect != to) message.records.push_back(record_of(suspect, now));
}

void MembershipView::add_random_load_report(Message& message, std::optional<MemberIndex> to, double now) {
  const std::vector<MemberIndex>& round = schedule_.round();
  if (round.empty()) return;
  const MemberIndex about = round[random_.index(round.size())];
  const Member& member = table_[about];
  if (about != to && member.is_alive() && now - member.load_report_at < options_.load_report_ttl)
    message.records.push_back(record_of(about, now));
}

void MembershipView::gossip(double now) {
  if (gossip_.empty()) return;
  for (const MemberIndex to : random_members(kGossipFanout)) {
    if (gossip_.empty() || (!gossip_rate_limiter_.has_budget(now) && !gossip_.has_urgent())) return;
    send(to, Message(), now);
    gossip_rate_limiter_.charge(kDatagramHeaderBytes + approximate_bytes(self_record(now)));
  }
}

void MembershipView::queue_gossip(MemberIndex about, bool urgent) {
  gossip_.add(about, retransmit_limit(fleet_size()), urgent);
}

bool MembershipView::has_current_load_report(const Member& member, double now) const {
  return now - member.load_report_at <= options_.load_report_ttl;
}

Record MembershipView::record_of(MemberIndex index, double now) const {
  const Member& member = table_[index];
  Record record = member.record;
  record.load_report_age_ms = static_cast<std::uint32_t>(std::max(0.0, now - member.load_report_at) * 1000);
  if (!has_current_load_report(member, now) || record.condition != Condition::kAlive) record.load_report = {};
  const bool has_evidence = member.is_suspected() && now - member.last_evidence_at < kEvidenceSeconds;
  record.last_datagram_number = has_evidence ? member.last_evidence_number : 0;
  return record;
}

std::vector<MemberIndex> MembershipView::random_members(std::size_t limit,
                                                        const std::function<bool(const Member&)>& is_wanted) {
  const std::vector<MemberIndex>& round = schedule_.round();
  std::vector<MemberIndex> chosen;
  if (round.empty()) return chosen;
  const auto try_add = [&](MemberIndex index) {
    const Member& member = table_[index];
    if (!member.is_alive() || !is_wanted(member)) return;
    if (std::find(chosen.begin(), chosen.end(), index) == chosen.end()) chosen.push_back(index);
  };
  // In a large fleet a few draws are cheap; in a small one the scan from a random position completes them.
  const std::size_t start = random_.index(round.size());
  for (std::size_t i = 0; i < kDrawsPerMember * limit && chosen.size() < limit; ++i)
    try_add(round[random_.index(round.size())]);
  for (std::size_t i = 0; i < round.size() && chosen.size() < limit; ++i)
    try_add(round[(start + i) % round.size()]);
  return chosen;
}

std::vector<MemberIndex> MembershipView::random_members(std::size_t limit) {
  return random_members(limit, [](const Member&) { return true; });
}

MemberIndex MembershipView::random_of(const std::set<MemberIndex>& members) {
  return *std::next(members.begin(), static_cast<std::ptrdiff_t>(random_.index(members.size())));
}

}  // namespace damsonspoke::members
