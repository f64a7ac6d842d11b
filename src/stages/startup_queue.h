// Requests that are read before the runtime's first `ready`. A server listens a few milliseconds before its
// runtime has answered; what comes in between waits for a short time instead of being rejected. Policy
// without I/O; times are seconds on one clock that never steps back.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "peers/ports.h"

namespace damsonspoke::stages {

struct StartupQueueLimits {
  double wait_seconds = 0.25;  // from the first request on
  std::size_t max_requests = 256;
  std::size_t max_bytes = 512 * 1024;  // of bodies
};

class StartupQueue {
 public:
  explicit StartupQueue(StartupQueueLimits limits = {}) : limits_(limits) {}

  // Whether a request that has `remaining_seconds` left may wait. It may not once the time to wait is over or
  // the queue is full, nor where less than half of what it has left would remain after the longest wait.
  [[nodiscard]] bool accepts(std::size_t body_bytes, double remaining_seconds, double now) const;
  void add(peers::IncomingRequest request, std::size_t body_bytes, double now);
  // False where the request does not wait here.
  bool remove(RequestId id);
  // The time at which what still waits is to be rejected; none before the first request.
  [[nodiscard]] std::optional<double> wait_end() const { return wait_end_; }
  // Gives what waits, in the order of arrival. Nothing is accepted any more.
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
