// Holds requests that are read before the runtime's first `ready`. A server starts to listen a few
// milliseconds before its runtime is ready; requests that arrive in between wait for a short time instead of
// being rejected. Policy without I/O; times are seconds on a monotonic clock.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "peers/ports.h"

namespace damsonspoke::stages {

struct StartupQueueLimits {
  double wait_seconds = 0.25;  // from the arrival of the first request
  std::size_t max_requests = 256;
  std::size_t max_bytes = 512 * 1024;  // of bodies
};

class StartupQueue {
 public:
  explicit StartupQueue(StartupQueueLimits limits = {}) : limits_(limits) {}

  // Whether a request with `remaining_seconds` left until its deadline may wait. It may not if the waiting
  // period is over, the queue is full, or the longest wait would use up more than half of the remaining time.
  [[nodiscard]] bool accepts(std::size_t body_bytes, double remaining_seconds, double now) const;
  void add(peers::IncomingRequest request, std::size_t body_bytes, double now);
  // Whether another request with the same route and idempotency key waits; without a key, with the same body.
  [[nodiscard]] bool holds_duplicate_of(const peers::IncomingRequest& request) const;
  // Returns false if the request is not in the queue.
  bool remove(RequestId id);
  // The time at which the requests that still wait are to be rejected; nullopt before the first request.
  [[nodiscard]] std::optional<double> wait_end() const { return wait_end_; }
  // Returns the waiting requests in order of arrival. The queue accepts no requests afterwards.
  [[nodiscard]] std::vector<peers::IncomingRequest> close();

 private:
  struct Entry {
    peers::IncomingRequest request;
    std::size_t body_bytes = 0;
  };

  const StartupQueueLimits limits_;
  std::vector<Entry> entries_;
  std::size_t bytes_ = 0;
  std::optional<double> wait_end_;
  bool closed_ = false;
};

}  // namespace damsonspoke::stages
