// How many bytes of news of other members one member may add to what it sends: a token bucket. Without it the
// bytes that a member sends grow with the number of members that change at once. Pure: time is handed in.
#pragma once

#include <algorithm>
#include <cstddef>

namespace damsonspoke::members {

class GossipRateLimiter {
 public:
  // `per_s`: bytes a second on the long run; `burst`: bytes that may go at once after a rest.
  GossipRateLimiter(double per_s, double burst) : per_s_(per_s), burst_(burst), left_(burst) {}

  // Whether a datagram may carry news now; what it carries may go beyond what is left, the next one waits for
  // it. `now`: s, monotonic; never earlier than in the call before.
  bool open(double now) {
    left_ = std::min(burst_, left_ + (now - at_) * per_s_);
    at_ = now;
    return left_ > 0;
  }
  // Owed is a burst at most: what goes without asking would else hold back all other news for as long as it
  // lasts.
  void spend(std::size_t bytes) { left_ = std::max(left_ - static_cast<double>(bytes), -burst_); }

 private:
  const double per_s_, burst_;
  double left_;
  double at_ = 0;
};

}  // namespace damsonspoke::members
