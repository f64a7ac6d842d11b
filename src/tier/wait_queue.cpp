#include "tier/wait_queue.h"

#include <algorithm>

namespace damsonspoke::tier {

std::optional<RequestId> WaitQueue::push(RequestId request, double priority_weight, std::uint32_t caller,
                                         std::size_t bytes) {
  Rank& rank = ranks_[priority_weight];
  std::deque<RequestId>& mine = rank.by_caller[caller];
  if (mine.empty()) rank.turns.push_back(caller);
  mine.push_back(request);
  ++rank.count;
  waiting_[request] = {priority_weight, caller, bytes};
  bytes_ += bytes;
  if (waiting_.size() <= max_requests_ && bytes_ <= max_bytes_) return std::nullopt;
  const RequestId goes = eviction_candidate();
  erase(goes, false);
  return goes;
}

// Of the least important: the newest of the caller that has most of them waiting.
RequestId WaitQueue::eviction_candidate() const {
  const Rank& rank = ranks_.rbegin()->second;
  const std::deque<RequestId>* most = nullptr;
  for (const std::uint32_t caller : rank.turns) {
    const std::deque<RequestId>& requests = rank.by_caller.at(caller);
    if (most == nullptr || requests.size() >= most->size()) most = &requests;
  }
  return most != nullptr ? most->back() : RequestId{};  // a rank that is there has turns
}

std::optional<RequestId> WaitQueue::front() const {
  if (ranks_.empty()) return std::nullopt;
  const Rank& rank = ranks_.begin()->second;
  return rank.by_caller.at(rank.turns.front()).front();
}

bool WaitQueue::remove(RequestId request) {
  if (!waiting_.contains(request)) return false;
  erase(request, front() == request);
  return true;
}

// Whoever had its turn goes behind the other callers of its rank.
void WaitQueue::erase(RequestId request, bool its_turn) {
  const Waiting w = waiting_.at(request);
  waiting_.erase(request);
  bytes_ -= w.bytes;
  const auto at = ranks_.find(w.priority_weight);
  Rank& rank = at->second;
  std::deque<RequestId>& mine = rank.by_caller.at(w.caller);
  mine.erase(std::find(mine.begin(), mine.end(), request));
  const auto turn = std::find(rank.turns.begin(), rank.turns.end(), w.caller);
  if (mine.empty()) {
    rank.turns.erase(turn);
    rank.by_caller.erase(w.caller);
  } else if (its_turn) {
    rank.turns.splice(rank.turns.end(), rank.turns, turn);
  }
  if (--rank.count == 0) ranks_.erase(at);
}

std::size_t WaitQueue::count_ahead(double priority_weight) const {
  std::size_t count = 0;
  for (const auto& [of, rank] : ranks_) {
    if (of < priority_weight) break;
    count += rank.count;
  }
  return count;
}

}  // namespace damsonspoke::tier
