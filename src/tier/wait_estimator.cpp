#include "tier/wait_estimator.h"

#include <algorithm>
#include <cmath>

namespace damsonspoke::tier {
namespace {

constexpr double kLatencyMeanRequests = 12;
constexpr double kMinFreedForRate = 4;        // attempts ended
constexpr double kMinObservedSeconds = 0.01;  // keeps the rate finite
constexpr double kMinRatePerSecond = 1e-9;    // keeps an estimated wait finite
constexpr double kMinRetryRatePerSecond = 0.01;
constexpr double kRetryAfterJitter = 0.5;  // share of the delay, either way

}  // namespace

WaitEstimator::WaitEstimator(WaitEstimatorOptions options, std::size_t routes, double now)
    : options_(options), updated_at_(now), mean_latency_(routes), no_planner_since_(now) {}

void WaitEstimator::set_busy(bool any_open, double now) {
  decay(now);
  busy_ = any_open;
}

void WaitEstimator::on_capacity_freed(double now) {
  decay(now);
  freed_recently_ += 1;
  freed_total_ += 1;
}

void WaitEstimator::decay(double now) {
  const double elapsed = busy_ ? std::max(0.0, now - updated_at_) : 0;
  const double kept_share = std::exp(-elapsed / options_.rate_window_seconds);
  freed_recently_ *= kept_share;
  observed_seconds_ = observed_seconds_ * kept_share + options_.rate_window_seconds * (1 - kept_share);
  updated_at_ = now;
}

double WaitEstimator::capacity_freed_per_second() const {
  return freed_recently_ / std::max(observed_seconds_, kMinObservedSeconds);
}

bool WaitEstimator::rate_is_known() const { return freed_total_ >= kMinFreedForRate; }

void WaitEstimator::on_success(std::size_t route, double latency) {
  double& mean = mean_latency_.at(route);
  mean += (latency - mean) / (mean == 0 ? 1 : kLatencyMeanRequests);
}

void WaitEstimator::on_no_planner(double now) {
  if (no_planner_since_ < 0) no_planner_since_ = now;
}

// Without this check, slow planners would cause all waiting requests to be answered too late: the capacity
// that becomes free has to be used for requests that can still finish in time.
bool WaitEstimator::can_finish_in_time(std::size_t route, std::size_t ahead, double remaining, double now) {
  if (remaining <= 0) return false;
  decay(now);
  double wait = 0;
  if (ahead > 0 && rate_is_known())
    wait = static_cast<double>(ahead) / std::max(capacity_freed_per_second(), kMinRatePerSecond);
  return wait + mean_latency_.at(route) <= options_.max_wait_share * remaining;
}

double WaitEstimator::retry_after_seconds(std::size_t ahead, double now, double random) {
  decay(now);
  double wait = options_.min_retry_after;
  if (rate_is_known())
    wait = static_cast<double>(ahead) / std::max(capacity_freed_per_second(), kMinRetryRatePerSecond);
  if (no_planner_since_ >= 0) wait = std::max(wait, now - no_planner_since_);
  wait = std::clamp(wait, options_.min_retry_after, options_.max_retry_after);
  const double jitter = 1 - kRetryAfterJitter + 2 * kRetryAfterJitter * random;
  return std::min(options_.max_retry_after, wait * jitter);
}

bool WaitEstimator::is_healthy(double now) const {
  return no_planner_since_ < 0 || now - no_planner_since_ < options_.unhealthy_after_seconds;
}

}  // namespace damsonspoke::tier
