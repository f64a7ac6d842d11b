#include "tier/attempt_ledger.h"

#include <algorithm>

namespace damsonspoke::tier {

Attempt AttemptLedger::begin(RequestId request, int planner, std::uint64_t epoch, std::uint64_t step) {
  last_attempt_ += std::max<std::uint64_t>(step, 1);
  const Attempt attempt = last_attempt_;
  attempts_[attempt] = {request, planner, epoch, AttemptState::kOpen};
  attempt_of_request_[request] = attempt;
  ++open_by_planner_[planner];
  return attempt;
}

std::optional<Attempt> AttemptLedger::current_attempt(RequestId request) const {
  const auto found = attempt_of_request_.find(request);
  return found == attempt_of_request_.end() ? std::nullopt : std::optional(found->second);
}

const AttemptRecord* AttemptLedger::find(Attempt attempt) const {
  const auto found = attempts_.find(attempt);
  return found == attempts_.end() ? nullptr : &found->second;
}

int AttemptLedger::open_attempts_at(int planner) const {
  const auto found = open_by_planner_.find(planner);
  return found == open_by_planner_.end() ? 0 : found->second;
}

std::optional<RequestId> AttemptLedger::remove(Attempt attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) return std::nullopt;
  const RequestId request = found->second.request;
  --open_by_planner_[found->second.planner];
  attempts_.erase(found);
  const auto of_request = attempt_of_request_.find(request);
  if (of_request != attempt_of_request_.end() && of_request->second == attempt)
    attempt_of_request_.erase(of_request);
  return request;
}

// The epoch must match too: a restarted planner could answer attempts that were sent to its previous
// incarnation.
std::optional<RequestId> AttemptLedger::record_answer(int planner, std::uint64_t epoch, Attempt attempt) {
  const AttemptRecord* record = find(attempt);
  if (record == nullptr || record->planner != planner || record->epoch != epoch) return std::nullopt;
  return remove(attempt);
}

std::optional<RequestId> AttemptLedger::record_unwritten(Attempt attempt) { return remove(attempt); }

bool AttemptLedger::start_fencing(Attempt attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end() || found->second.state != AttemptState::kOpen) return false;
  found->second.state = AttemptState::kFencing;
  return true;
}

std::vector<Attempt> AttemptLedger::attempts_at(int planner) const {
  std::vector<Attempt> out;
  for (const auto& [attempt, record] : attempts_) {
    if (record.planner == planner) out.push_back(attempt);
  }
  std::sort(out.begin(), out.end());
  return out;
}

std::vector<Attempt> AttemptLedger::on_link_lost(int planner) {
  std::vector<Attempt> out = attempts_at(planner);
  for (const Attempt attempt : out) attempts_.at(attempt).state = AttemptState::kDisconnected;
  return out;
}

AttemptLedger::Reconnection AttemptLedger::on_link_up(int planner, std::uint64_t epoch) {
  Reconnection out;
  for (const Attempt attempt : attempts_at(planner)) {
    AttemptRecord& record = attempts_.at(attempt);
    if (record.state != AttemptState::kDisconnected) continue;
    if (record.epoch == epoch) {
      record.state = AttemptState::kFencing;
      out.to_fence.push_back(attempt);
    } else {
      out.lost.push_back(*remove(attempt));
    }
  }
  return out;
}

std::vector<RequestId> AttemptLedger::abandon_attempts_at(int planner) {
  std::vector<RequestId> out;
  for (const Attempt attempt : attempts_at(planner)) out.push_back(*remove(attempt));
  return out;
}

void AttemptLedger::abandon(RequestId request) {
  if (const std::optional<Attempt> attempt = current_attempt(request)) remove(*attempt);
}

}  // namespace damsonspoke::tier
