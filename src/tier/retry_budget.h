// How many second tries a forwarder may make: a share of its first ones, so that tries never multiply a
// trouble. Pure policy; after the retry budgets of Finagle and of Google's SRE chapter on cascading failure.
#pragma once

#include <algorithm>

namespace damsonspoke::tier {

class RetryBudget {
 public:
  // `share` of first tries; `burst`: tries that may be made at once after a calm time.
  RetryBudget(double share, double burst) : share_(share), burst_(burst), tokens_(burst) {}
  void on_first_attempt() { tokens_ = std::min(burst_, tokens_ + share_); }
  bool try_spend() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  const double share_, burst_;
  double tokens_;
};

}  // namespace damsonspoke::tier
