#include "tier/wait_estimator.h"

#include <algorithm>
#include <cmath>

namespace damsonspoke::tier {
namespace {

constexpr double kLatencyMeanWeight = 12;  // served requests; a dozen tell a slow spell from a slow request
constexpr double kMinFreedForRate = 4;     // ends seen before a rate is believed
constexpr double kMinObservedSeconds = 0.01;  // s of busy time; less says nothing of a rate
constexpr double kRetryAfterJitter = 0.5;     // of the time to come back, either way

}  // namespace

WaitEstimator::WaitEstimator(WaitEstimatorOptions options, std::size_t routes, double now)
    : options_(options), updated_at_(now), mean_latency_(routes), no_planner_since_(now) {}

void WaitEstimator::set_busy(bool any_open, double now) {
  capacity_freed_per_second(now);
  busy_ = any_open;
}
void WaitEstimator::on_capacity_freed(double now) {
  capacity_freed_per_second(now);
  freed_recently_ += 1;
  freed_total_ += 1;
}
double WaitEstimator::capacity_freed_per_second(double now) {
  const double dt = busy_ ? std::max(0.0, now - updated_at_) : 0;
  const double keep = std::exp(-dt / options_.rate_window_seconds);
  freed_recently_ *= keep;
  observed_seconds_ = observed_seconds_ * keep + options_.rate_window_seconds * (1 - keep);
  updated_at_ = now;
  return freed_recently_ / std::max(observed_seconds_, kMinObservedSeconds);
}

void WaitEstimator::on_success(std::size_t route, double latency) {
  double& mean = mean_latency_.at(route);
  mean += (latency - mean) / (mean == 0 ? 1 : kLatencyMeanWeight);
}
void WaitEstimator::on_planner_available(double) { no_planner_since_ = -1; }
void WaitEstimator::on_no_planner(double now) {
  if (no_planner_since_ < 0) no_planner_since_ = now;
}

// Guards against a line of requests that are all answered too late while planners are slow: the room that
// comes free goes to those that can still be in time.
bool WaitEstimator::can_finish_in_time(std::size_t route, std::size_t ahead, double left, double now) {
  if (left <= 0) return false;
  const double rate = capacity_freed_per_second(now);
  const bool known = freed_total_ >= kMinFreedForRate;
  const double wait = ahead == 0 || !known ? 0 : static_cast<double>(ahead) / std::max(rate, 1e-9);
  return wait + mean_latency_.at(route) <= options_.max_wait_share * left;
}

double WaitEstimator::retry_after_seconds(std::size_t ahead, double now, double random) {
  const double rate = capacity_freed_per_second(now);
  double wait = freed_total_ >= kMinFreedForRate ? static_cast<double>(ahead) / std::max(rate, 0.01)
                                                 : options_.min_retry_after;
  if (no_planner_since_ >= 0) wait = std::max(wait, now - no_planner_since_);
  wait = std::clamp(wait, options_.min_retry_after, options_.max_retry_after);
  return std::min(options_.max_retry_after, wait * (1 - kRetryAfterJitter + 2 * kRetryAfterJitter * random));
}

bool WaitEstimator::is_healthy(double now) const {
  return no_planner_since_ < 0 || now - no_planner_since_ < options_.unhealthy_after_seconds;
}

}  // namespace damsonspoke::tier
