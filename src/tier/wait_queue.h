// The requests that wait at a forwarder while no planner has capacity for them. Higher priority weights go
// first. Among equals, callers take turns, so that one heavy caller delays only itself; of one caller the
// oldest request goes first. When the queue is full, the least important request of the caller with the most
// waiting is evicted. Policy without I/O.
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

  // Adds a request. Returns the request that was evicted for it, which may be the new one; none where there
  // was capacity.
  std::optional<RequestId> push(RequestId request, double priority_weight, std::uint32_t caller,
                                std::size_t bytes);
  // The request whose turn it is; none where nothing waits.
  [[nodiscard]] std::optional<RequestId> front() const;
  // Removes a request. False where it does not wait here.
  bool remove(RequestId request);
  // Requests that would go before a new one of this priority weight.
  [[nodiscard]] std::size_t count_ahead(double priority_weight) const;

  [[nodiscard]] std::size_t size() const { return waiting_.size(); }
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  // The requests of one priority weight.
  struct Priority {
    std::list<std::uint32_t> rotation;  // callers with something waiting, the next one first
    std::unordered_map<std::uint32_t, std::deque<RequestId>> by_caller;  // the oldest request first
    std::size_t count = 0;
  };
  struct Waiting {
    double priority_weight = 0;
    std::uint32_t caller = 0;
    std::size_t bytes = 0;
  };
  [[nodiscard]] RequestId eviction_candidate() const;
  void erase(RequestId request, bool was_served);

  const std::size_t max_requests_;
  const std::size_t max_bytes_;
  std::map<double, Priority, std::greater<>> priorities_;  // the most important first
  std::unordered_map<RequestId, Waiting> waiting_;
  std::size_t bytes_ = 0;
};

}  // namespace damsonspoke::tier
