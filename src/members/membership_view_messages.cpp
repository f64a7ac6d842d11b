// MembershipView: received datagrams, and probes on behalf of other members.
#include <algorithm>
#include <utility>

#include "members/membership_view.h"
#include "members/membership_view_internal.h"

namespace damsonspoke::members {
namespace {

constexpr std::size_t kMaxIndirectProbes = 64;    // in progress at the same time
constexpr double kIndirectProbeTimeShare = 0.75;  // of the rest of the requester's probe period
constexpr double kResendShare = 0.4;              // of that time, after which the ping is sent again

}  // namespace

void MembershipView::on_message(const std::string& from_address, const Message& message, double now,
                                bool is_stale) {
  if (message.sender == self_.name) return;  // a second process or a forgery: handled through its records
  if (!is_stale && now - next_timer_at_ > kPauseThresholdSeconds) {
    // The timer has not been called since the pause: the message was also queued during it.
    on_timer(now);
    is_stale = true;
  }
  if (is_stale) {
    for (const Record& record : message.records) {
      if (record.name == self_.name && record.condition != Condition::kAlive)
        apply_record_about_self(record, now);
    }
    return;
  }
  if (has_yielded_) return;
  apply_records(from_address, message.records, now);
  const std::optional<MemberIndex> from = table_.find(message.sender);
  if (!from) return;
  // The sender is a former process, or a second one with the same name.
  if (table_[*from].record.epoch != message.sender_epoch) return send_record(from_address, *from, now);
  table_[*from].last_datagram_at = now;
  compare_digest(from_address, message.membership_digest, now);
  record_evidence(*from, message.datagram_number, now);
  switch (message.kind) {
    case MessageKind::kPing: return handle_ping(from_address, *from, message, now);
    case MessageKind::kAck: return handle_ack(*from, message, now);
    case MessageKind::kPingRequest: return handle_ping_request(from_address, *from, message, now);
    case MessageKind::kNegativeAck: return handle_negative_ack(message);
    case MessageKind::kGossip: return;
  }
}

// Sends the current records to a sender of outdated suspicions and deaths: it may have missed the
// refutations.
void MembershipView::apply_records(const std::string& from_address, const std::vector<Record>& records,
                                   double now) {
  Message corrections;
  for (const Record& record : records) {
    apply_record(record, now);
    if (record.condition == Condition::kAlive) continue;
    const std::optional<MemberIndex> about = table_.find(record.name);
    if (about && supersedes(table_[*about].record, record) && may_send_correction(*about, now))
      corrections.records.push_back(record_of(*about, now));
  }
  if (!corrections.records.empty()) send_to(from_address, std::move(corrections), now, std::nullopt);
}

// Corrections that report a death count toward the rate limit: otherwise the loss of many members would cause
// a flood of them.
bool MembershipView::may_send_correction(MemberIndex about, double now) {
  const Record& record = table_[about].record;
  if (record.condition != Condition::kDead) return true;
  if (!gossip_rate_limiter_.has_budget(now)) return false;
  gossip_rate_limiter_.charge(approximate_bytes(record));
  return true;
}

void MembershipView::handle_ping(const std::string& from_address, MemberIndex from, const Message& message,
                                 double now) {
  if (message.target != self_.name) return;  // another member used this address before
  Message ack;
  ack.kind = MessageKind::kAck;
  ack.probe_id = message.probe_id;
  ack.requested_by = message.requested_by;
  ack.direct_probe_id = message.direct_probe_id;
  if (message.requested_by.empty()) {
    table_[from].last_ping_id = message.probe_id;
    table_[from].last_ping_at = now;
  } else if (const std::optional<MemberIndex> index = table_.find(message.requested_by)) {
    const Member& requester = table_[*index];
    ack.direct_ping_received =
        requester.last_ping_at >= 0 && requester.last_ping_id == message.direct_probe_id;
    // A second ack goes to the requester itself: whether it arrives shows which direction is broken.
    Message direct_ack = ack;
    direct_ack.probe_id = message.direct_probe_id;
    send(*index, direct_ack, now);
  }
  send_to(from_address, ack, now, from);
}

void MembershipView::handle_ack(MemberIndex from, const Message& message, double now) {
  if (forward_indirect_ack(from, message, now)) return;
  if (!probe_ || probe_->id != message.probe_id) return;
  Member& target = table_[probe_->member];
  if (message.sender == target.record.name && message.requested_by.empty()) {
    probe_->is_acked = true;
    return;
  }
  if (message.sender == target.record.name) {
    probe_->inbound_works = true;
  } else if (message.target == target.record.name) {
    target.last_helper = message.sender;
  } else {
    return;
  }
  probe_->is_reached_indirectly = true;
  probe_->direct_ping_received |= message.direct_ping_received;
}

// Forwards the ack if it answers a probe on behalf of another member. Returns whether it did.
bool MembershipView::forward_indirect_ack(MemberIndex from, const Message& message, double now) {
  const auto found = std::find_if(
      indirect_probes_.begin(), indirect_probes_.end(),
      [&](const IndirectProbe& p) { return p.id == message.probe_id && p.target == message.sender; });
  if (found == indirect_probes_.end()) return false;
  Message ack;
  ack.kind = MessageKind::kAck;
  ack.probe_id = found->request_id;
  ack.target = found->target;
  ack.direct_ping_received = message.direct_ping_received;
  ack.records.push_back(record_of(from, now));  // it may have refuted the requester's suspicion
  send_to(found->requester_address, ack, now, table_.find(found->requester));
  indirect_probes_.erase(found);
  return true;
}

void MembershipView::handle_ping_request(const std::string& from_address, MemberIndex from,
                                         const Message& message, double now) {
  const std::optional<MemberIndex> target = table_.find(message.target);
  if (!target || target == from || indirect_probes_.size() >= kMaxIndirectProbes) return;
  const double time = options_.probe_interval * (1 - kDirectProbeShare) * kIndirectProbeTimeShare;
  IndirectProbe probe;
  probe.requester = message.sender;
  probe.requester_address = from_address;
  probe.target = message.target;
  probe.id = next_probe_id_++;
  probe.direct_probe_id = message.direct_probe_id;
  probe.request_id = message.probe_id;
  probe.deadline = now + time;
  probe.resend_at = now + time * kResendShare;
  indirect_probes_.push_back(probe);
  send_indirect_ping(probe, *target, now);
}

void MembershipView::send_indirect_ping(const IndirectProbe& probe, MemberIndex target, double now) {
  Message ping;
  ping.kind = MessageKind::kPing;
  ping.probe_id = probe.id;
  ping.target = probe.target;
  ping.requested_by = probe.requester;
  ping.direct_probe_id = probe.direct_probe_id;
  send(target, ping, now);
}

void MembershipView::handle_negative_ack(const Message& message) {
  if (!probe_ || probe_->id != message.probe_id) return;
  std::vector<std::string>& helpers = probe_->negative_acks;
  if (std::find(helpers.begin(), helpers.end(), message.sender) == helpers.end())
    helpers.push_back(message.sender);
}

void MembershipView::run_indirect_probes(double now) {
  for (std::size_t i = 0; i < indirect_probes_.size();) {
    IndirectProbe& probe = indirect_probes_[i];
    if (now >= probe.deadline) {
      const IndirectProbe expired = probe;
      indirect_probes_.erase(indirect_probes_.begin() + static_cast<std::ptrdiff_t>(i));
      Message negative_ack;
      negative_ack.kind = MessageKind::kNegativeAck;
      negative_ack.probe_id = expired.request_id;
      negative_ack.target = expired.target;
      send_to(expired.requester_address, negative_ack, now, table_.find(expired.requester));
      continue;
    }
    if (now >= probe.resend_at) {  // one lost datagram must not count as silence
      probe.resend_at = probe.deadline;
      if (const std::optional<MemberIndex> target = table_.find(probe.target))
        send_indirect_ping(probe, *target, now);
    }
    ++i;
  }
}

}  // namespace damsonspoke::members
