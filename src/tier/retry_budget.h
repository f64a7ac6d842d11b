// Limits a forwarder's retries to a share of its first attempts, so that retries do not amplify an overload.
// Policy without I/O, modeled on the retry budgets of Finagle and of Google's SRE book (cascading failures).
#pragma once

#include <algorithm>

namespace damsonspoke::tier {

class RetryBudget {
 public:
  // `share`: retries for each first attempt. `burst`: retries that may be made at once after a period without
  // retries.
  RetryBudget(double share, double burst) : share_(share), burst_(burst), tokens_(burst) {}

  void on_first_attempt() { tokens_ = std::min(burst_, tokens_ + share_); }
  // Spends one retry; returns false if none is left.
  [[nodiscard]] bool try_spend() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  const double share_;
  const double burst_;
  double tokens_;
};

}  // namespace damsonspoke::tier
