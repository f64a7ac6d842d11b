// Predicts how long requests wait and how long they take.
#pragma once

#include "admission/dependency_calls.h"
#include "admission/request_state.h"
#include "admission/route_statistics.h"
#include "admission/run_queue.h"
#include "admission/service_rate.h"

namespace damsonspoke {

// Times are seconds.
class LatencyEstimator {
 public:
  LatencyEstimator(const RequestTable& requests, const RouteStatisticsTable& statistics,
                   const ServiceRate& service_rate, const RunQueue& run_queue, const DependencyCalls& calls)
      : requests_(requests),
        statistics_(statistics),
        service_rate_(service_rate),
        run_queue_(run_queue),
        calls_(calls) {}

  // How long a new request would wait for a core.
  [[nodiscard]] double queue_wait() const;
  // How much a queued request adds to the wait of others.
  [[nodiscard]] double queue_wait_of(const RequestState& state) const {
    return statistics_.expected_run_time(state) / (run_queue_.run_limit() * service_rate_.value());
  }
  // Time from the start of the request's run to its end. It includes a slowdown of the dependency at once,
  // unless the route allows its calls to be skipped.
  [[nodiscard]] double processing_time(const RequestState& state, double now) const;

 private:
  [[nodiscard]] double slow_call_time(const RequestState& state, double now) const;

  const RequestTable& requests_;
  const RouteStatisticsTable& statistics_;
  const ServiceRate& service_rate_;
  const RunQueue& run_queue_;
  const DependencyCalls& calls_;
};

}  // namespace damsonspoke
