// Tells unmarked retries by their timeouts.
#pragma once

#include <array>

namespace damsonspoke {

// Callers give first attempts one of few timeouts, and retries what is left of them, which may be anything.
// Keeps the timeouts that were usual on one route of late.
class UnusualTimeoutDetector {
 public:
  // Counts a request with this timeout (s, from its arrival). Whether the timeout is unusual.
  bool observe(double timeout);

 private:
  struct TimeoutCount {
    double timeout = 0;  // s
    double count = 0;    // fades with each request
  };
  std::array<TimeoutCount, 6> counts_{};
};

}  // namespace damsonspoke
