// MembershipView: this member's probes and their outcomes.
#include <algorithm>
#include <utility>

#include "members/membership_view.h"
#include "members/membership_view_internal.h"

namespace damsonspoke::members {
namespace {

constexpr double kUnreachableProbeSeconds = 1;  // between additional probes of members with broken links

}  // namespace

void MembershipView::run_probes(double now) {
  const double period = options_.probe_interval * local_health_.multiplier();
  if (probe_ && !probe_->is_acked && !probe_->indirect_started &&
      now >= probe_->sent_at + period * kDirectProbeShare)
    start_indirect_probes(now);
  if (now >= unreachable_probe_at_ && !unreachable_.empty()) {
    unreachable_probe_at_ = now + kUnreachableProbeSeconds;
    schedule_.probe_next(random_of(unreachable_));
  }
  if (now < probe_period_ends_at_) return;
  if (probe_) finish_probe(now);
  const double next_period = options_.probe_interval * local_health_.multiplier();
  probe_period_ends_at_ = std::max(now, probe_period_ends_at_ + next_period);
  if (probe_period_ends_at_ <= now) probe_period_ends_at_ = now + next_period;
  start_probe(now);
}

void MembershipView::start_probe(double now) {
  const std::optional<MemberIndex> target = schedule_.next(table_, random_);
  if (!target) return;
  ++counts_.probes;
  Probe probe;
  probe.member = *target;
  probe.id = next_probe_id_++;
  probe.sent_at = now;
  probe_ = probe;
  Message ping;
  ping.kind = MessageKind::kPing;
  ping.probe_id = probe.id;
  ping.target = table_[*target].record.name;
  send(*target, ping, now);
}

void MembershipView::start_indirect_probes(double now) {
  probe_->indirect_started = true;
  const Member& target = table_[probe_->member];
  const std::vector<MemberIndex> helpers = choose_helpers(target);
  probe_->helpers = static_cast<int>(helpers.size());
  counts_.indirect_probes += helpers.size();
  Message request;
  request.kind = MessageKind::kPingRequest;
  request.probe_id = probe_->id;
  request.direct_probe_id = probe_->id;
  request.target = target.record.name;
  for (const MemberIndex helper : helpers) send(helper, request, now);
}

// The member that last reached the target is chosen first, then random members: twice as many while the link
// looks broken, because a false suspicion is then more likely.
std::vector<MemberIndex> MembershipView::choose_helpers(const Member& target) {
  const bool looks_broken = target.link.is_broken() || target.link.is_uncertain();
  const auto wanted =
      static_cast<std::size_t>(looks_broken ? 2 * options_.indirect_probes : options_.indirect_probes);
  std::vector<MemberIndex> helpers;
  const std::optional<MemberIndex> last_helper = table_.find(target.last_helper);
  if (last_helper && table_[*last_helper].is_alive()) helpers.push_back(*last_helper);
  const auto is_wanted = [&](const Member& member) {
    return member.record.name != target.record.name && member.record.name != target.last_helper &&
           !member.link.is_broken();
  };
  for (const MemberIndex helper : random_members(wanted, is_wanted)) {
    if (helpers.size() < wanted) helpers.push_back(helper);
  }
  return helpers;
}

void MembershipView::finish_probe(double now) {
  const Probe probe = std::move(*probe_);
  probe_.reset();
  Member& target = table_[probe.member];
  if (!target.is_active()) return;
  if (probe.is_acked) {
    local_health_.improve();
    const bool was_broken = target.link.is_broken();
    target.link.record_probe(true, true, now);
    unreachable_.erase(probe.member);
    if (was_broken)
      sink_.on_state_changed(target.record.name, state_of(target, now), StateChangeReason::kLinkRestored);
    return;
  }
  ++counts_.failed_probes;
  if (probe.is_reached_indirectly) return finish_indirectly_reached(probe, now);
  // Helpers that do not even send a negative ack indicate a fault of this member (Lifeguard, section 3.A).
  if (probe.helpers > 0) local_health_.degrade(probe.helpers - static_cast<int>(probe.negative_acks.size()));
  std::vector<std::string> accusers{self_.name};
  accusers.insert(accusers.end(), probe.negative_acks.begin(), probe.negative_acks.end());
  if (accusers.size() > kMaxListedAccusers) accusers.resize(kMaxListedAccusers);
  accuse(probe.member, std::move(accusers), now);
}

// The target is alive: the link to it is broken in one direction or both, or a datagram was lost.
void MembershipView::finish_indirectly_reached(const Probe& probe, double now) {
  Member& target = table_[probe.member];
  local_health_.improve();
  if (target.is_suspected()) target.last_evidence_at = now;
  const bool was_broken = target.link.is_broken();
  target.link.record_probe(probe.inbound_works, probe.direct_ping_received, now);
  const bool is_broken = target.link.is_broken();
  if (is_broken) unreachable_.insert(probe.member);
  if (target.link.is_uncertain()) schedule_.probe_next(probe.member);
  if (is_broken == was_broken) return;
  if (was_broken) unreachable_.erase(probe.member);
  sink_.on_state_changed(
      target.record.name, state_of(target, now),
      was_broken ? StateChangeReason::kLinkPartlyRestored : StateChangeReason::kLinkBroken);
}

}  // namespace damsonspoke::members
