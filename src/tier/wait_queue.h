// The requests that wait at a forwarder while no planner has room for them. Pure policy. The more important
// first; among equals callers take turns, so that one heavy caller delays itself and not the others; of one
// caller the oldest first. Full, the least important request of the caller that has most waiting goes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "admission/request.h"

namespace damsonspoke::tier {

class WaitQueue {
 public:
  WaitQueue(std::size_t max_requests, std::size_t max_bytes)
      : max_requests_(max_requests), max_bytes_(max_bytes) {}

  // Enters a request. What has to go for it, which may be the request itself; none where there was room.
  std::optional<RequestId> push(RequestId request, double priority_weight, std::uint32_t caller,
                                std::size_t bytes);
  // Whose turn it is. None where nobody waits.
  std::optional<RequestId> front() const;
  bool remove(RequestId request);  // false: it does not wait
  bool contains(RequestId request) const { return waiting_.contains(request); }
  // Requests that go before one of that importance that comes now.
  std::size_t count_ahead(double priority_weight) const;

  std::size_t size() const { return waiting_.size(); }
  std::size_t bytes() const { return bytes_; }

 private:
  struct Rank {
    // Callers with something waiting, whose turn is next first; each with its requests, the oldest first.
    std::list<std::uint32_t> turns;
    std::unordered_map<std::uint32_t, std::deque<RequestId>> by_caller;
    std::size_t count = 0;
  };
  struct Waiting {
    double priority_weight = 0;
    std::uint32_t caller = 0;
    std::size_t bytes = 0;
  };
  RequestId eviction_candidate() const;
  void erase(RequestId request, bool its_turn);

  const std::size_t max_requests_, max_bytes_;
  std::map<double, Rank, std::greater<>> ranks_;  // the most important first
  std::unordered_map<RequestId, Waiting> waiting_;
  std::size_t bytes_ = 0;
};

}  // namespace damsonspoke::tier
