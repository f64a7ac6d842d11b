#include "admission/latency_estimator.h"

#include <algorithm>

namespace damsonspoke {

double LatencyEstimator::queue_wait() const {
  double ahead = 0;
  for (const RequestId id : run_queue_.ids()) ahead += statistics_.expected_run_time(requests_.at(id));
  for (const auto& [id, state] : requests_) {
    // On average half of a run in progress is left.
    if (state.stage == RequestStage::kRunning) ahead += statistics_.expected_run_time(state) / 2;
  }
  return ahead / (run_queue_.run_limit() * service_rate_.value());
}

double LatencyEstimator::processing_time(const RequestState& state, double now) const {
  const DependencyLatency& latency = calls_.latency();
  const double run_time = statistics_.expected_run_time(state) / service_rate_.value();
  double call_time = statistics_.for_request(state).call_times.mean();
  if (call_time > 0 && latency.has_samples() && state.route.value_without_call <= 0) {
    if (latency.slow()) return run_time + slow_call_time(state, now);
    call_time *= std::max(1.0, latency.recent_mean() / latency.mean());
    call_time += static_cast<double>(calls_.queued()) * latency.recent_mean() / calls_.concurrency_limit();
  }
  return run_time + call_time;
}

// Time that the calls of a request take while calls are slow. Calls of requests with at least its weight go
// first, unless both requests are queued and the other one was queued later.
double LatencyEstimator::slow_call_time(const RequestState& state, double now) const {
  double ahead = 0;
  for (const auto& [id, other] : requests_) {
    const bool has_calls = id != state.request.id && !other.answered &&
                           other.stage != RequestStage::kAwaitingOriginal && other.route.calls_dependency;
    if (!has_calls || other.route.priority_weight < state.route.priority_weight) continue;
    const bool both_queued = other.stage == RequestStage::kQueued && state.stage == RequestStage::kQueued;
    if (both_queued && other.stage_since > state.stage_since) continue;
    ahead += other.stage == RequestStage::kAwaitingCall ? 1 : 0;
    ahead += std::max(0.0, statistics_.for_request(other).calls_per_run - other.calls);
  }
  const double own = statistics_.for_request(state).calls_per_run;
  return own * calls_.latency().recent_mean() + calls_.slow_delay(now) +
         (ahead + own - 1) * calls_.slow_interval();
}

}  // namespace damsonspoke
