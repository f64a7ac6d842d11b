// How many records of other members one member may add to what it sends: a token bucket. Without it the bytes
// that a member sends grow with the number of members that change at once. Pure: time is handed in.
#pragma once

#include <algorithm>
#include <cstddef>

namespace damsonspoke::members {

class NewsPace {
 public:
  // `per_s`: records a second on the long run; `burst`: at most so many at once, after a rest.
  NewsPace(double per_s, double burst) : per_s_(per_s), burst_(burst), left_(burst) {}

  // Records that may go now. `now`: s, monotonic; never earlier than in the call before.
  std::size_t available(double now) {
    left_ = std::min(burst_, left_ + (now - at_) * per_s_);
    at_ = now;
    return left_ < 0 ? 0 : static_cast<std::size_t>(left_);
  }
  void spend(std::size_t records) { left_ -= static_cast<double>(records); }

 private:
  const double per_s_, burst_;
  double left_;
  double at_ = 0;
};

}  // namespace damsonspoke::members
