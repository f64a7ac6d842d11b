#include "admission/dependency_latency.h"

#include <algorithm>

namespace damsonspoke {
namespace {

constexpr double kSlowFactor = 3;     // x the median
constexpr double kTimeoutFactor = 4;  // x the 95th percentile, or the recent mean
constexpr double kMedian = 0.5;
constexpr double kHighQuantile = 0.95;
constexpr double kMaxRejectedShare = 0.9;
constexpr double kSmoothingCalls = 12;
constexpr double kSmoothingCallsFalling = 2;   // a dependency that has recovered shows it in a few calls
constexpr double kSmoothingCallsTimedOut = 4;  // a timed-out call is a stronger sign than a slow one

}  // namespace

void DependencyLatency::restore(const LearnedDurations& prior) {
  calls_.restore(prior);
  recent_mean_ = calls_.mean();
}

void DependencyLatency::record(Outcome outcome, double seconds) {
  rejected_share_ +=
      ((outcome == Outcome::kRejected ? kMaxRejectedShare : 0) - rejected_share_) / kSmoothingCalls;
  if (outcome == Outcome::kTimeout)
    recent_mean_ += std::max(0.0, seconds - recent_mean_) / kSmoothingCallsTimedOut;
  if (outcome != Outcome::kOk) return;
  calls_.add(seconds);
  recent_mean_ +=
      (seconds - recent_mean_) / (seconds < recent_mean_ ? kSmoothingCallsFalling : kSmoothingCalls);
}

bool DependencyLatency::slow() const {
  return has_samples() && recent_mean_ > kSlowFactor * calls_.quantile(kMedian);
}

double DependencyLatency::longest_useful_timeout() const {
  return std::max(
      {kMinTimeoutSeconds, kTimeoutFactor * calls_.quantile(kHighQuantile), kTimeoutFactor * recent_mean_});
}

}  // namespace damsonspoke
