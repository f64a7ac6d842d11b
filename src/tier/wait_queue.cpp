#include "tier/wait_queue.h"

#include <algorithm>

namespace damsonspoke::tier {

std::optional<RequestId> WaitQueue::push(RequestId request, double priority_weight, std::uint32_t caller,
                                         std::size_t bytes) {
  Priority& priority = priorities_[priority_weight];
  std::deque<RequestId>& of_caller = priority.by_caller[caller];
  if (of_caller.empty()) priority.rotation.push_back(caller);
  of_caller.push_back(request);
  ++priority.count;
  waiting_[request] = {priority_weight, caller, bytes};
  bytes_ += bytes;
  if (waiting_.size() <= max_requests_ && bytes_ <= max_bytes_) return std::nullopt;
  const RequestId evicted = eviction_candidate();
  erase(evicted, false);
  return evicted;
}

// The newest request of the caller with the most requests of the lowest priority. The queue is not empty:
// push() has just added a request.
RequestId WaitQueue::eviction_candidate() const {
  const Priority& lowest = priorities_.rbegin()->second;
  const std::deque<RequestId>* longest = nullptr;
  for (const std::uint32_t caller : lowest.rotation) {
    const std::deque<RequestId>& requests = lowest.by_caller.at(caller);
    if (longest == nullptr || requests.size() >= longest->size()) longest = &requests;
  }
  return longest != nullptr ? longest->back() : RequestId{};
}

std::optional<RequestId> WaitQueue::front() const {
  if (priorities_.empty()) return std::nullopt;
  const Priority& highest = priorities_.begin()->second;
  return highest.by_caller.at(highest.rotation.front()).front();
}

bool WaitQueue::remove(RequestId request) {
  if (!waiting_.contains(request)) return false;
  erase(request, front() == request);
  return true;
}

// A caller that was served moves behind the other callers of its priority.
void WaitQueue::erase(RequestId request, bool was_served) {
  const Waiting entry = waiting_.at(request);
  waiting_.erase(request);
  bytes_ -= entry.bytes;
  const auto found = priorities_.find(entry.priority_weight);
  Priority& priority = found->second;
  std::deque<RequestId>& of_caller = priority.by_caller.at(entry.caller);
  of_caller.erase(std::find(of_caller.begin(), of_caller.end(), request));
  const auto place_in_rotation = std::find(priority.rotation.begin(), priority.rotation.end(), entry.caller);
  if (of_caller.empty()) {
    priority.rotation.erase(place_in_rotation);
    priority.by_caller.erase(entry.caller);
  } else if (was_served) {
    priority.rotation.splice(priority.rotation.end(), priority.rotation, place_in_rotation);
  }
  --priority.count;
  if (priority.count == 0) priorities_.erase(found);
}

std::size_t WaitQueue::count_ahead(double priority_weight) const {
  std::size_t count = 0;
  for (const auto& [weight, priority] : priorities_) {
    if (weight < priority_weight) break;
    count += priority.count;
  }
  return count;
}

}  // namespace damsonspoke::tier
