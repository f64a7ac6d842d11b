// The requests that wait at a forwarder while no planner has capacity for them. Higher priority weights go
// first. Within a priority, callers are served round robin, so that one heavy caller delays only itself; the
// oldest request of a caller goes first. When the queue is full, a request of the lowest priority is evicted:
// the newest one of the caller with the most waiting requests of that priority. Policy without I/O.
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

  // Adds a request. Returns the request that was evicted for it, which may be the new one; none if there was
  // capacity.
  std::optional<RequestId> push(RequestId request, double priority_weight, std::uint32_t caller,
                                std::size_t bytes);
  // The next request to be served; none if the queue is empty.
  [[nodiscard]] std::optional<RequestId> front() const;
  // Removes a request. Returns false if it is not in the queue.
  bool remove(RequestId request);
  // Number of requests that would be served before a new one of this priority weight.
  [[nodiscard]] std::size_t count_ahead(double priority_weight) const;

  [[nodiscard]] std::size_t size() const { return waiting_.size(); }
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  // The requests of one priority weight.
  struct Priority {
    std::list<std::uint32_t> rotation;  // callers with waiting requests, the next one first
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
