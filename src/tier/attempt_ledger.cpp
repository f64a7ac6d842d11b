#include "tier/attempt_ledger.h"

#include <algorithm>

namespace damsonspoke::tier {

Attempt AttemptLedger::begin(RequestId request, int planner, std::uint64_t epoch, std::uint64_t step) {
  const Attempt attempt = last_ += std::max<std::uint64_t>(step, 1);
  seen_[attempt] = {request, planner, epoch, AttemptState::kOpen};
  by_request_[request] = attempt;
  ++open_at_[planner];
  return attempt;
}

std::optional<Attempt> AttemptLedger::in_hand(RequestId request) const {
  const auto found = by_request_.find(request);
  return found == by_request_.end() ? std::nullopt : std::optional(found->second);
}

const AttemptRecord* AttemptLedger::find(Attempt attempt) const {
  const auto found = seen_.find(attempt);
  return found == seen_.end() ? nullptr : &found->second;
}

int AttemptLedger::open_at(int planner) const {
  const auto found = open_at_.find(planner);
  return found == open_at_.end() ? 0 : found->second;
}

std::optional<RequestId> AttemptLedger::end(Attempt attempt) {
  const auto found = seen_.find(attempt);
  if (found == seen_.end()) return std::nullopt;
  const RequestId request = found->second.request;
  --open_at_[found->second.planner];
  seen_.erase(found);
  const auto of_request = by_request_.find(request);
  if (of_request != by_request_.end() && of_request->second == attempt) by_request_.erase(of_request);
  return request;
}

// The life that answers must be the life that was asked: guards against a planner that starts anew and
// answers under numbers that its former life was given.
std::optional<RequestId> AttemptLedger::answered(int planner, std::uint64_t epoch, Attempt attempt) {
  const AttemptRecord* seen = find(attempt);
  if (seen == nullptr || seen->planner != planner || seen->epoch != epoch) return std::nullopt;
  return end(attempt);
}

std::optional<RequestId> AttemptLedger::never_ran(int planner, std::uint64_t epoch, Attempt attempt) {
  return answered(planner, epoch, attempt);
}

std::optional<RequestId> AttemptLedger::never_written(Attempt attempt) { return end(attempt); }

bool AttemptLedger::ask(Attempt attempt) {
  const auto found = seen_.find(attempt);
  if (found == seen_.end() || found->second.standing != AttemptState::kOpen) return false;
  found->second.standing = AttemptState::kFencing;
  return true;
}

std::vector<Attempt> AttemptLedger::of_planner(int planner) const {
  std::vector<Attempt> out;
  for (const auto& [attempt, seen] : seen_) {
    if (seen.planner == planner) out.push_back(attempt);
  }
  std::sort(out.begin(), out.end());
  return out;
}

std::vector<Attempt> AttemptLedger::link_lost(int planner) {
  std::vector<Attempt> out = of_planner(planner);
  for (const Attempt attempt : out) seen_.at(attempt).standing = AttemptState::kDisconnected;
  return out;
}

AttemptLedger::Reconnection AttemptLedger::link_up(int planner, std::uint64_t epoch) {
  Reconnection out;
  for (const Attempt attempt : of_planner(planner)) {
    AttemptRecord& seen = seen_.at(attempt);
    if (seen.standing != AttemptState::kDisconnected) continue;
    if (seen.epoch == epoch) {
      seen.standing = AttemptState::kFencing;
      out.to_fence.push_back(attempt);
    } else {
      out.lost.push_back(*end(attempt));
    }
  }
  return out;
}

std::vector<RequestId> AttemptLedger::give_up(int planner) {
  std::vector<RequestId> out;
  for (const Attempt attempt : of_planner(planner)) out.push_back(*end(attempt));
  return out;
}

void AttemptLedger::let_go(RequestId request) {
  if (const std::optional<Attempt> attempt = in_hand(request)) end(*attempt);
}

}  // namespace damsonspoke::tier
