// Statistics of dependency calls: how long they take, and how many are rejected.
#pragma once

#include "admission/histogram.h"
#include "admission/request.h"

namespace damsonspoke {

// Times are seconds.
class DependencyLatency {
 public:
  void restore(const LearnedDurations& prior);
  [[nodiscard]] LearnedDurations snapshot() const { return calls_.snapshot(); }

  // Records a call that ended after `seconds`.
  void record(Outcome outcome, double seconds);

  [[nodiscard]] bool has_samples() const { return !calls_.empty(); }
  [[nodiscard]] double mean() const { return calls_.mean(); }
  // A smoothed mean of the latest calls, which follows a change sooner than mean().
  [[nodiscard]] double recent_mean() const { return recent_mean_; }
  // True if calls take much longer than usual, which means that the dependency is overloaded.
  [[nodiscard]] bool slow() const;
  // The time (s) after which a call hardly ever returns.
  [[nodiscard]] double longest_useful_timeout() const;
  // Share of the recent calls that the dependency rejected. It is capped below 1, because some calls are
  // accepted.
  [[nodiscard]] double rejected_share() const { return rejected_share_; }

  // Shorter timeouts would burden a slow dependency with retries.
  static constexpr double kMinTimeoutSeconds = 0.25;

 private:
  DurationHistogram calls_;
  double recent_mean_ = 0;
  double rejected_share_ = 0;
};

}  // namespace damsonspoke
