// Whether a new_request is admitted, and which queued requests make place for it.
#pragma once

#include <optional>
#include <vector>

#include "admission/byte_pool.h"
#include "admission/dependency_calls.h"
#include "admission/drain.h"
#include "admission/health.h"
#include "admission/idempotency_keys.h"
#include "admission/latency_estimator.h"
#include "admission/request_state.h"
#include "admission/route_directory.h"
#include "admission/run_queue.h"

namespace damsonspoke {

enum class RejectReason {
  kDraining,        // it arrived after the drain grace
  kDeadlinePassed,  // its caller has stopped waiting
  kTooLarge,        // it could never run here
  kNoCapacity,      // the pool is exhausted, or it would not be done in time
  kNoKeyCapacity,   // its idempotency key could not be remembered
  kUnhealthy,       // an unhealthy server takes only as many requests as show whether it has recovered
};

// The new_request as the controller has read it; times are seconds on the controller's clock.
struct NewRequest {
  const RequestState& state;
  double arrived_at = 0;  // at this machine
  double queue_wait = 0;  // predicted
  bool within_quota = true;
};

class AdmissionCheck {
 public:
  // What the check looks at; all outlive it.
  struct View {
    const AdmissionOptions& options;
    const RouteDirectory& directory;
    const RequestTable& requests;
    const RouteStatisticsTable& statistics;
    const BytePool& pool;
    const IdempotencyKeys& keys;
    const RunQueue& run_queue;
    const DependencyCalls& calls;
    const ServiceRate& service_rate;
    const LatencyEstimator& estimator;
    const HealthMonitor& health;
    const DrainState& drain;
  };
  explicit AdmissionCheck(const View& view) : view_(view) {}

  // Why the new_request is rejected; none: it is admitted.
  [[nodiscard]] std::optional<RejectReason> reject_reason(const NewRequest& new_request, double now) const;
  // Queued requests of lower weight that have to go for the new_request to be in time: the least weight
  // first, of those the latest. None where that does not suffice, or they weigh more together.
  [[nodiscard]] std::optional<std::vector<RequestId>> requests_to_preempt(const NewRequest& new_request,
                                                                          double now) const;

 private:
  [[nodiscard]] bool has_waiting_work(double now) const;
  [[nodiscard]] bool exceeds_fair_share(const Request& request) const;
  [[nodiscard]] double queue_time_allowed(const RequestState& state, double now) const;
  [[nodiscard]] std::vector<const RequestState*> queued_with_lower_weight(double priority_weight) const;

  const View view_;
};

}  // namespace damsonspoke
