#include "admission/run_queue.h"

#include <algorithm>

#include "admission/gauge_limits.h"

namespace damsonspoke {
namespace {

// Share of the survivable concurrency; runs that resume after a call are added to it.
constexpr double kSafeConcurrencyShare = 0.6;
constexpr double kMinWeight = 1e-3;  // keeps the wait of a request with weight 0 finite
constexpr double kRunLimitGrowthPerTick = 1.25;
constexpr double kGaugeWindowSeconds = 0.5;  // over which the gauge of busy cores is averaged

}  // namespace

double RunQueue::safe_concurrency(double now) const {
  return slow_start_.survivable_concurrency(now) * kSafeConcurrencyShare;
}

bool RunQueue::saturated(double now) const {
  return running_ >= static_cast<int>(std::min(run_limit_, safe_concurrency(now)));
}

bool RunQueue::has_run_capacity(int pending_calls, double now) const {
  return !saturated(now) && running_ + pending_calls < safe_concurrency(now);
}

std::optional<RequestId> RunQueue::most_urgent(double now, bool skip_calling_routes) const {
  std::optional<RequestId> chosen;
  double least_slack = 0;
  for (const RequestId id : queue_) {
    const RequestState& state = requests_.at(id);
    if (skip_calling_routes && state.route.calls_dependency) continue;
    const double slack = state.useful_until - now - statistics_.expected_run_time(state);
    const double weighted_slack = slack / std::max(state.route.priority_weight, kMinWeight);
    if (chosen && weighted_slack >= least_slack) continue;
    chosen = id;
    least_slack = weighted_slack;
  }
  return chosen;
}

void RunQueue::begin_run(RequestState& state, double now) {
  state.stage = RequestStage::kRunning;
  state.stage_since = now;
  ++running_;
}

void RunQueue::end_run(RequestState& state, double now) {
  --running_;
  state.run_time += now - state.stage_since;
  state.stage_since = now;
}

void RunQueue::update_saturation(double now) {
  if (!saturated(now) || queue_.empty()) saturated_since_ = now;
}

void RunQueue::adjust_run_limit(double cpu_busy, double now) {
  // The gauge covers the recent past: cores that idled before the work arrived are no reason to run more.
  if (cores_idle(cpu_busy) && now - saturated_since_ >= kGaugeWindowSeconds)
    run_limit_ = run_limit_ * kRunLimitGrowthPerTick;
  else if (cores_saturated(cpu_busy) || queue_.empty())
    run_limit_ = run_limit_ - 1;
  run_limit_ = std::clamp<double>(run_limit_, cores_, safe_concurrency(now));
}

}  // namespace damsonspoke
