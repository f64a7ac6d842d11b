// How long dependency calls take, and how many are rejected.
#pragma once

#include "admission/histogram.h"
#include "admission/request.h"

namespace damsonspoke {

// Times are seconds.
class DependencyLatency {
 public:
  void restore(const LearnedDurations& prior);
  [[nodiscard]] LearnedDurations snapshot() const { return calls_.snapshot(); }

  // A call has ended after so long.
  void record(Outcome outcome, double seconds);

  [[nodiscard]] bool has_samples() const { return !calls_.empty(); }
  [[nodiscard]] double mean() const { return calls_.mean(); }
  // A mean of the last calls, which shows a change sooner than the mean of all.
  [[nodiscard]] double recent_mean() const { return recent_mean_; }
  // Calls take much longer than they usually do: the dependency is overloaded.
  [[nodiscard]] bool slow() const;
  // After this a call hardly ever returns.
  [[nodiscard]] double longest_useful_timeout() const;
  // Share of the recent calls that the dependency has rejected; under 1, since some are accepted.
  [[nodiscard]] double rejected_share() const { return rejected_share_; }

  static constexpr double kMinTimeoutSeconds =
      0.25;  // shorter ones would burden a slow dependency with retries

 private:
  DurationHistogram calls_;
  double recent_mean_ = 0;
  double rejected_share_ = 0;
};

}  // namespace damsonspoke
