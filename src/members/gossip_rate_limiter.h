// A token bucket for the bytes of gossip about other members that one member sends. Without it these bytes
// would grow with the number of members that change at the same time. Pure; times are seconds, monotonic.
#pragma once

#include <algorithm>
#include <cstddef>

namespace damsonspoke::members {

class GossipRateLimiter {
 public:
  GossipRateLimiter(double bytes_per_second, double burst_bytes)
      : bytes_per_second_(bytes_per_second), burst_bytes_(burst_bytes), available_bytes_(burst_bytes) {}

  // Whether a datagram may carry gossip now. A datagram may exceed the budget; the following ones then wait
  // until it is refilled. `now` must not decrease between calls.
  [[nodiscard]] bool has_budget(double now) {
    available_bytes_ = std::min(burst_bytes_, available_bytes_ + (now - refilled_at_) * bytes_per_second_);
    refilled_at_ = now;
    return available_bytes_ > 0;
  }
  // The debt is bounded by one burst: otherwise urgent updates, which do not wait for the budget, would block
  // all others for as long as they continue.
  void charge(std::size_t bytes) {
    available_bytes_ = std::max(available_bytes_ - static_cast<double>(bytes), -burst_bytes_);
  }

 private:
  const double bytes_per_second_;
  const double burst_bytes_;
  double available_bytes_;
  double refilled_at_ = 0;
};

}  // namespace damsonspoke::members
