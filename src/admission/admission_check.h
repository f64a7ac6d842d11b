// Decides whether a new request is admitted, and which queued requests are preempted for it.
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
  kDraining,        // the request arrived after the drain grace period
  kDeadlinePassed,  // its caller no longer waits
  kTooLarge,        // it would not fit into the byte pool even alone
  kNoCapacity,      // no memory, queue slot, share or quota is left, or it would finish too late
  kNoKeyCapacity,   // no memory is left for its idempotency key
  kUnhealthy,       // an unhealthy server admits only a few requests, to probe its recovery
};

// A request that awaits its admission decision. Times are seconds on the controller's clock.
struct NewRequest {
  const RequestState& state;
  double arrived_at = 0;  // when this machine received it
  double queue_wait = 0;  // predicted wait for a core
  bool within_quota = true;
};

class AdmissionCheck {
 public:
  // The state that the check reads. All of it outlives the check.
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

  // The reason for rejecting the request, or nullopt if it is admitted.
  [[nodiscard]] std::optional<RejectReason> reject_reason(const NewRequest& new_request, double now) const;
  // The queued requests of lower priority weight to reject so that the new request finishes in time: the
  // lowest weight first, among equal weights the latest first. nullopt if that is not enough, or if together
  // they weigh at least as much as the new request.
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
