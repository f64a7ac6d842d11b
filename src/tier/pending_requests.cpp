#include "tier/pending_requests.h"

#include <algorithm>

namespace damsonspoke::tier {

void PendingRequests::add(const PendingRequest& request) {
  requests_[request.details.id] = Entry{request, -1};
  deadlines_.insert({request.deadline, request.details.id});
}

void PendingRequests::erase(RequestId id) {
  const auto found = requests_.find(id);
  deadlines_.erase({found->second.request.deadline, id});
  fences_.erase({found->second.fence_at, id});
  requests_.erase(found);
}

void PendingRequests::cap_deadlines(double latest) {
  deadlines_.clear();
  for (auto& [id, entry] : requests_) {
    entry.request.deadline = std::min(entry.request.deadline, latest);
    deadlines_.insert({entry.request.deadline, id});
  }
}

std::optional<RequestId> PendingRequests::first_overdue(double now) const {
  if (deadlines_.empty() || deadlines_.begin()->first > now) return std::nullopt;
  return deadlines_.begin()->second;
}

void PendingRequests::schedule_fence(RequestId id, double time) {
  requests_.at(id).fence_at = time;
  fences_.insert({time, id});
}

void PendingRequests::cancel_fence(RequestId id) {
  Entry& entry = requests_.at(id);
  fences_.erase({entry.fence_at, id});
  entry.fence_at = -1;
}

std::optional<RequestId> PendingRequests::take_late(double now) {
  if (fences_.empty() || fences_.begin()->first > now) return std::nullopt;
  const RequestId id = fences_.begin()->second;
  cancel_fence(id);
  return id;
}

std::optional<double> PendingRequests::next_event() const {
  std::optional<double> next;
  if (!deadlines_.empty()) next = deadlines_.begin()->first;
  if (!fences_.empty()) next = std::min(next.value_or(fences_.begin()->first), fences_.begin()->first);
  return next;
}

}  // namespace damsonspoke::tier
