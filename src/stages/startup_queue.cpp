#include "stages/startup_queue.h"

#include <algorithm>
#include <utility>

namespace damsonspoke::stages {

bool StartupQueue::accepts(std::size_t body_bytes, double remaining_seconds, double now) const {
  if (closed_ || entries_.size() >= limits_.max_requests) return false;
  if (bytes_ + body_bytes > limits_.max_bytes) return false;
  const double longest_wait = wait_end_.value_or(now + limits_.wait_seconds) - now;
  return longest_wait > 0 && remaining_seconds >= 2 * longest_wait;
}

void StartupQueue::add(peers::IncomingRequest request, std::size_t body_bytes, double now) {
  if (!wait_end_) wait_end_ = now + limits_.wait_seconds;
  bytes_ += body_bytes;
  entries_.push_back({std::move(request), body_bytes});
}

bool StartupQueue::holds_duplicate_of(const peers::IncomingRequest& request) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const Entry& entry) {
    const peers::IncomingRequest& waiting = entry.request;
    if (waiting.id == request.id || waiting.route != request.route) return false;
    if (waiting.idempotency_key != request.idempotency_key) return false;
    return !request.idempotency_key.empty() || waiting.body == request.body;
  });
}

bool StartupQueue::remove(RequestId id) {
  const auto found = std::find_if(entries_.begin(), entries_.end(),
                                  [id](const Entry& entry) { return entry.request.id == id; });
  if (found == entries_.end()) return false;
  bytes_ -= found->body_bytes;
  entries_.erase(found);
  return true;
}

std::vector<peers::IncomingRequest> StartupQueue::close() {
  closed_ = true;
  bytes_ = 0;
  std::vector<peers::IncomingRequest> out;
  out.reserve(entries_.size());
  for (Entry& entry : entries_) out.push_back(std::move(entry.request));
  entries_.clear();
  return out;
}

}  // namespace damsonspoke::stages
