#include "admission/overload_signals.h"

#include <algorithm>
#include <cmath>

#include "admission/run_queue.h"

namespace damsonspoke {
namespace {

constexpr double kSmoothingRequests = 30;

constexpr double kOverloadShortage = 0.5;              // above it, most requests read are retries
constexpr double kRecoveredShortage = 0.3;             // below it, there is capacity again
constexpr double kStormShortageWithoutRetries = 0.35;  // in a large fleet, if no retries are seen
// Hardly any retries arrive here while other servers have capacity.
constexpr double kStormRetryShare = 0.05;
// Callers of a larger fleet try more of its servers in turn, so each of them sees less of the shortage.
constexpr double kLargeFleetServers = 25;

constexpr double kMinRetryAfterSeconds = 0.05;
constexpr double kMinJitter = 0.75;  // x the advice, so that callers don't return together
constexpr double kJitterRange = 0.5;
// Applies while cores idle, because long advice that all callers follow keeps them idle.
constexpr double kAdviceDecreasePerTick = 0.1;
constexpr double kAdviceIncreasePerTick = 0.02;

constexpr double kAvoidanceIncreasePerTick = 0.04;  // while requests are rejected
constexpr double kAvoidanceDecreasePerTick = 0.008;
constexpr double kAvoidanceDecreasePerIdleTick = 0.02;  // less than the increase, to avoid oscillation
// Maximum share of one route's load that callers are asked to send elsewhere, so that no route is sent
// elsewhere entirely.
constexpr double kMaxAvoidance = 0.9;
constexpr double kUnhealthyAvoidance = 0.98;  // a few requests still arrive and can show a recovery
constexpr double kMinPublishedChange = 0.02;

}  // namespace

void OverloadSignals::observe_read(bool is_retry) {
  retry_share_ += ((is_retry ? 1 : 0) - retry_share_) / kSmoothingRequests;
}

void OverloadSignals::observe_capacity(bool lacked_capacity) {
  shortage_ += ((lacked_capacity ? 1 : 0) - shortage_) / kSmoothingRequests;
}

bool OverloadSignals::has_capacity_for_callers() const { return shortage_ < kRecoveredShortage; }

bool OverloadSignals::retry_storm() const {
  const double threshold =
      kOverloadShortage * std::min(1.0, kLargeFleetServers / std::max(1, options_.servers));
  const bool shown_by_retries = shortage_ > threshold && retry_share_ > kStormRetryShare;
  return shown_by_retries || shortage_ > std::max(threshold, kStormShortageWithoutRetries);
}

double OverloadSignals::retry_after(double queue_wait, bool use_max) {
  if (!options_.sends_retry_after) return 0;
  double seconds = queue_wait;
  if (shortage_ > kOverloadShortage)
    seconds = std::max(seconds, advice_share_ * shortage_ * options_.max_retry_after);
  if (use_max) seconds = options_.max_retry_after;
  seconds *= kMinJitter + random_.uniform() * kJitterRange;
  return seconds < kMinRetryAfterSeconds ? 0 : std::min(seconds, options_.max_retry_after);
}

void OverloadSignals::initialize(double min_speed, bool should_be_avoided, std::size_t route_count) {
  avoidance_ = 1 - min_speed;
  tick(false, min_speed, should_be_avoided, route_count);
}

void OverloadSignals::tick(bool cores_idle, double min_speed, bool should_be_avoided,
                           std::size_t route_count) {
  advice_share_ =
      std::clamp(advice_share_ + (cores_idle ? -kAdviceDecreasePerTick : kAdviceIncreasePerTick), 0.0, 1.0);
  avoidance_ += cores_idle                ? -kAvoidanceDecreasePerIdleTick
                : rejections_in_tick_ > 0 ? kAvoidanceIncreasePerTick
                                          : -kAvoidanceDecreasePerTick;
  const double max_avoidance = kMaxAvoidance / static_cast<double>(std::max<std::size_t>(1, route_count));
  avoidance_ = std::clamp(avoidance_, 0.0, std::max(max_avoidance, 1 - min_speed));
  rejections_in_tick_ = 0;
  publish(should_be_avoided);
}

void OverloadSignals::publish(bool should_be_avoided) {
  if (options_.load_feedback == LoadFeedback::kOff) return;
  const double avoidance = should_be_avoided ? kUnhealthyAvoidance : avoidance_;
  if (std::abs(avoidance - published_) < kMinPublishedChange && published_ >= 0) return;
  published_ = avoidance;
  double value = avoidance;
  if (options_.load_feedback == LoadFeedback::kWeight) value = 1 - avoidance;
  if (options_.load_feedback == LoadFeedback::kCredit)
    value = (1 - avoidance) * RunQueue::kMaxQueuedPerCore * options_.cores / std::max(1, options_.callers);
  sink_.publish_load_feedback(value);
}

void OverloadSignals::log_overload_change() {
  const bool overloaded = shortage_ > (overloaded_ ? kRecoveredShortage : kOverloadShortage);
  if (overloaded != overloaded_)
    sink_.log(overloaded ? "overload: most requests are rejected for lack of capacity" : "overload ended");
  overloaded_ = overloaded;
}

}  // namespace damsonspoke
