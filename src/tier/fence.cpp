#include "tier/fence.h"

#include <algorithm>

namespace damsonspoke::tier {

Attempt Fence::begin(RequestId request, int planner, std::uint64_t epoch, std::uint64_t step) {
  const Attempt attempt = last_ += std::max<std::uint64_t>(step, 1);
  seen_[attempt] = {request, planner, epoch, Standing::kOpen};
  by_request_[request] = attempt;
  ++open_at_[planner];
  return attempt;
}

std::optional<Attempt> Fence::in_hand(RequestId request) const {
  const auto found = by_request_.find(request);
  return found == by_request_.end() ? std::nullopt : std::optional(found->second);
}

const AttemptSeen* Fence::find(Attempt attempt) const {
  const auto found = seen_.find(attempt);
  return found == seen_.end() ? nullptr : &found->second;
}

int Fence::open_at(int planner) const {
  const auto found = open_at_.find(planner);
  return found == open_at_.end() ? 0 : found->second;
}

std::optional<RequestId> Fence::end(Attempt attempt) {
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
std::optional<RequestId> Fence::answered(int planner, std::uint64_t epoch, Attempt attempt) {
  const AttemptSeen* seen = find(attempt);
  if (seen == nullptr || seen->planner != planner || seen->epoch != epoch) return std::nullopt;
  return end(attempt);
}

std::optional<RequestId> Fence::never_ran(int planner, std::uint64_t epoch, Attempt attempt) {
  return answered(planner, epoch, attempt);
}

std::optional<RequestId> Fence::never_written(Attempt attempt) { return end(attempt); }

bool Fence::ask(Attempt attempt) {
  const auto found = seen_.find(attempt);
  if (found == seen_.end() || found->second.standing != Standing::kOpen) return false;
  found->second.standing = Standing::kFencing;
  return true;
}

std::vector<Attempt> Fence::of_planner(int planner) const {
  std::vector<Attempt> out;
  for (const auto& [attempt, seen] : seen_) {
    if (seen.planner == planner) out.push_back(attempt);
  }
  std::sort(out.begin(), out.end());
  return out;
}

std::vector<Attempt> Fence::link_lost(int planner) {
  std::vector<Attempt> out = of_planner(planner);
  for (const Attempt attempt : out) seen_.at(attempt).standing = Standing::kAdrift;
  return out;
}

Fence::Returned Fence::link_up(int planner, std::uint64_t epoch) {
  Returned out;
  for (const Attempt attempt : of_planner(planner)) {
    AttemptSeen& seen = seen_.at(attempt);
    if (seen.standing != Standing::kAdrift) continue;
    if (seen.epoch == epoch) {
      seen.standing = Standing::kFencing;
      out.to_fence.push_back(attempt);
    } else {
      out.lost.push_back(*end(attempt));
    }
  }
  return out;
}

std::vector<RequestId> Fence::give_up(int planner) {
  std::vector<RequestId> out;
  for (const Attempt attempt : of_planner(planner)) out.push_back(*end(attempt));
  return out;
}

void Fence::let_go(RequestId request) {
  if (const std::optional<Attempt> attempt = in_hand(request)) end(*attempt);
}

}  // namespace damsonspoke::tier
