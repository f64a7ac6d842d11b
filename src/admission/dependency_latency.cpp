#include "admission/dependency_latency.h"

#include <algorithm>

namespace damsonspoke {
namespace {

constexpr double kSlowFactor = 3;     // x the median
constexpr double kTimeoutFactor = 4;  // x the 95th percentile, or the recent mean
constexpr double kMedian = 0.5;
constexpr double kHighQuantile = 0.95;
constexpr double kMostRejectedShare = 0.9;
constexpr double kMemoryCalls = 12;
constexpr double kMemoryCallsFalling = 2;   // a dependency that has recovered shows it in a few calls
constexpr double kMemoryCallsTimedOut = 4;  // a call that was given up tells more than one that is late

}  // namespace

void DependencyLatency::restore(const LearnedDurations& prior) {
  calls_.restore(prior);
  recent_ = calls_.mean();
}

void DependencyLatency::record(Outcome outcome, double seconds) {
  rejected_share_ +=
      ((outcome == Outcome::kRejected ? kMostRejectedShare : 0) - rejected_share_) / kMemoryCalls;
  if (outcome == Outcome::kTimeout) recent_ += std::max(0.0, seconds - recent_) / kMemoryCallsTimedOut;
  if (outcome != Outcome::kOk) return;
  calls_.add(seconds);
  recent_ += (seconds - recent_) / (seconds < recent_ ? kMemoryCallsFalling : kMemoryCalls);
}

bool DependencyLatency::slow() const { return known() && recent_ > kSlowFactor * calls_.quantile(kMedian); }

double DependencyLatency::longest_useful_timeout() const {
  return std::max(
      {kLeastTimeoutSeconds, kTimeoutFactor * calls_.quantile(kHighQuantile), kTimeoutFactor * recent_});
}

}  // namespace damsonspoke
