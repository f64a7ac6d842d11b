#include "admission/run_queue.h"

#include <algorithm>

#include "admission/gauge_limits.h"

namespace damsonspoke {
namespace {

constexpr double kSafeShare = 0.6;           // of the survivable concurrency: returns from calls come on top
constexpr double kLeastWeight = 1e-3;        // a request of no weight waits for a finite time
constexpr double kRunLimitGrowth = 1.25;     // a tick
constexpr double kGaugeWindowSeconds = 0.5;  // over which the busy gauge is measured

}  // namespace

double RunQueue::safe_concurrency(double now) const {
  return slow_start_.survivable_concurrency(now) * kSafeShare;
}

bool RunQueue::saturated(double now) const {
  return running_ >= static_cast<int>(std::min(run_limit_, safe_concurrency(now)));
}

bool RunQueue::has_run_capacity(int at_calls, double now) const {
  return !saturated(now) && running_ + at_calls < safe_concurrency(now);
}

std::optional<RequestId> RunQueue::most_urgent(double now, bool skip_callers) const {
  std::optional<RequestId> chosen;
  double least = 0;
  for (const RequestId id : queue_) {
    const RequestState& state = requests_.at(id);
    if (skip_callers && state.route.calls_dependency) continue;
    const double slack = state.useful_until - now - statistics_.expected_run_time(state);
    const double urgency = slack / std::max(state.route.priority_weight, kLeastWeight);
    if (chosen && urgency >= least) continue;
    chosen = id;
    least = urgency;
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

void RunQueue::note_saturation(double now) {
  if (!saturated(now) || queue_.empty()) saturated_since_ = now;
}

void RunQueue::adjust_run_limit(double cpu_busy, double now) {
  // The gauge looks back: cores that it saw idle before the work came are no reason to run more.
  if (cores_idle(cpu_busy) && now - saturated_since_ >= kGaugeWindowSeconds)
    run_limit_ = run_limit_ * kRunLimitGrowth;
  else if (cores_full(cpu_busy) || queue_.empty())
    run_limit_ = run_limit_ - 1;
  run_limit_ = std::clamp<double>(run_limit_, cores_, safe_concurrency(now));
}

}  // namespace damsonspoke
