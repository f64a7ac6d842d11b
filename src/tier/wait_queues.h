// A forwarder's queues of waiting requests: one for requests that any planner may run, and one for each
// planner with the keyed requests that only this planner may run.
#pragma once

#include <cstddef>
#include <vector>

#include "tier/wait_queue.h"

namespace damsonspoke::tier {

class WaitQueues {
 public:
  // The limits apply to each queue.
  WaitQueues(std::size_t max_requests, std::size_t max_bytes)
      : max_requests_(max_requests), max_bytes_(max_bytes), shared_(max_requests, max_bytes) {}

  // Adds the queue of the next planner.
  void add_planner() { of_planners_.emplace_back(max_requests_, max_bytes_); }
  [[nodiscard]] WaitQueue& shared() { return shared_; }
  [[nodiscard]] WaitQueue& of_planner(int planner) { return of_planners_[static_cast<std::size_t>(planner)]; }
  // The queue of requests with this target; < 0: any planner.
  [[nodiscard]] WaitQueue& of_target(int target) { return target >= 0 ? of_planner(target) : shared_; }
  [[nodiscard]] int planners() const { return static_cast<int>(of_planners_.size()); }
  // Requests waiting in all queues.
  [[nodiscard]] std::size_t size() const;
  // Empties the planners' queues and returns their requests in the order of their ids.
  [[nodiscard]] std::vector<RequestId> take_keyed();

 private:
  const std::size_t max_requests_;
  const std::size_t max_bytes_;
  WaitQueue shared_;
  std::vector<WaitQueue> of_planners_;
};

}  // namespace damsonspoke::tier
