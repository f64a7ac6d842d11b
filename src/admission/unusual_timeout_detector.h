// Detects unmarked retries by their timeouts.
#pragma once

#include <array>

namespace damsonspoke {

// Callers give first attempts one of a few timeouts, and give retries the remainder, which can be any value.
// Tracks the timeouts that were recently usual on one route.
class UnusualTimeoutDetector {
 public:
  // Counts a request with this timeout (s, from its arrival). Returns whether the timeout is unusual.
  bool observe(double timeout);

 private:
  struct TimeoutCount {
    double timeout = 0;  // s
    double count = 0;    // decays with each request
  };
  std::array<TimeoutCount, 6> counts_{};
};

}  // namespace damsonspoke
