// How many bytes of news of other members one member may add to what it sends: a token bucket. Without it the
// bytes that a member sends grow with the number of members that change at once. Pure: time is handed in.
#pragma once

#include <algorithm>
#include <cstddef>

namespace damsonspoke::members {

class GossipRateLimiter {
 public:
  // `per_s`: bytes a second on the long run; `burst`: bytes that may go at once after a rest.
  GossipRateLimiter(double bytes_per_second, double burst_bytes)
      : bytes_per_second_(bytes_per_second), burst_bytes_(burst_bytes), available_bytes_(burst_bytes) {}

  // Whether a datagram may carry news now; what it carries may go beyond what is left, the next one waits for
  // it. `now`: s, monotonic; never earlier than in the call before.
  bool has_budget(double now) {
    available_bytes_ = std::min(burst_bytes_, available_bytes_ + (now - refilled_at_) * bytes_per_second_);
    refilled_at_ = now;
    return available_bytes_ > 0;
  }
  // Owed is a burst at most: what goes without asking would else hold back all other news for as long as it
  // lasts.
  void charge(std::size_t bytes) {
    available_bytes_ = std::max(available_bytes_ - static_cast<double>(bytes), -burst_bytes_);
  }

 private:
  const double bytes_per_second_, burst_bytes_;
  double available_bytes_;
  double refilled_at_ = 0;
};

}  // namespace damsonspoke::members
