// The admission controller of one server: decides for each request whether it is admitted, when it runs and
// calls its dependency, and how its caller is answered. Pure: it does no I/O and receives the time as a
// parameter.
//
// The mechanism is byte-pool admission, modelled on Apache Kafka's KIP-72; docs/design.md explains it.
#pragma once

#include <cstdint>
#include <optional>

#include "admission/admission_check.h"
#include "admission/byte_pool.h"
#include "admission/deadline_queue.h"
#include "admission/decision_sink.h"
#include "admission/dependency_calls.h"
#include "admission/drain.h"
#include "admission/fixed_route_directory.h"
#include "admission/health.h"
#include "admission/idempotency_keys.h"
#include "admission/idle_connections.h"
#include "admission/latency_estimator.h"
#include "admission/learned_statistics.h"
#include "admission/overload_signals.h"
#include "admission/random.h"
#include "admission/route_statistics.h"
#include "admission/run_queue.h"
#include "admission/service_rate.h"
#include "admission/slow_start.h"
#include "admission/tenant_quotas.h"
#include "admission/wakeup_timer.h"

namespace damsonspoke {

// Each method receives the time (s, on a monotonic clock) and acts through the sink before it returns.
// Invariant: every request gets one answer (reject, fail, or the result of its run) by its deadline, unless
// its caller has disconnected.
class AdmissionController {
 public:
  // If `directory` is null, the routes and tenants of the options are used. The sink and a given directory
  // must outlive the controller. The counts in the prior's histograms are its weight; a route's prior is
  // dropped if the first runs contradict it.
  AdmissionController(const AdmissionOptions& options, std::uint64_t seed, DecisionSink& sink, double now,
                      const LearnedStatistics& prior = {}, const RouteDirectory* directory = nullptr);
  ~AdmissionController() = default;
  AdmissionController(const AdmissionController&) = delete;
  AdmissionController& operator=(const AdmissionController&) = delete;

  void on_request(double now, const Request& request);
  // `spent` is the duration (s) that the server measured. It is ignored: the controller uses its own clock.
  void on_run_finished(double now, RequestId id, Outcome outcome, double spent);
  void on_call_needed(double now, RequestId id);
  void on_call_finished(double now, RequestId id, Outcome outcome, double spent);
  void on_caller_disconnected(double now, RequestId id);
  // Starts draining: the server stops `time_left` (s) from now.
  void on_drain(double now, double time_left);
  // A wakeup scheduled through the sink. Tokens of superseded wakeups are ignored.
  void on_timer(double now, std::uint64_t token, const Gauges& gauges);

  [[nodiscard]] LearnedStatistics learned() const;
  [[nodiscard]] double pool_used_kb() const { return pool_.used_kb(); }  // kB

 private:
  void advance_to(double now);

  // ---- Arrival.
  RequestState register_arrival(const Request& request);
  bool observe_read(const Request& request, const Route& route, RouteStatistics& statistics);
  void set_deadlines(RequestState& state, bool is_retry) const;
  void join_original(const RequestState& state);
  std::optional<RejectReason> check_admission(const NewRequest& new_request);
  void admit(const RequestState& state);
  RequestState& track(const RequestState& state);
  void remember_key(RequestState& state);

  // ---- Starts and ends.
  void start_queued_requests();
  bool start_next_request();
  bool reject_if_late(const RequestState& state);
  void requeue(RequestState& state);
  void learn_from_run(const RequestState& state);
  void assess_health();

  // ---- Dependency calls.
  void dispatch_calls();
  void retry_call_or_give_up(RequestState& state, Outcome outcome);
  void skip_call(RequestState& state);
  void log_limit_change(CallConcurrencyLimit::Change change);

  // ---- Answers.
  void reject(RequestId id, double queue_wait, bool no_retry);
  void fail(RequestState& state);
  void abandon(RequestState& state);
  void release(RequestId id);

  // ---- Time.
  void answer_overdue_requests();
  void tick(const Gauges& gauges);
  void schedule_next_wakeup();
  [[nodiscard]] bool should_be_avoided() const { return health_.unhealthy() || drain_.draining(); }

  const AdmissionOptions options_;
  const FixedRouteDirectory fixed_directory_;
  const RouteDirectory& directory_;
  DecisionSink& sink_;
  RandomGenerator random_;
  WakeupTimer wakeup_;
  SlowStart slow_start_;
  DrainState drain_;
  RequestTable requests_;
  DeadlineQueue deadlines_;
  BytePool pool_;
  IdempotencyKeys keys_;
  TenantQuotas quotas_;
  RouteStatisticsTable statistics_;
  ServiceRate service_rate_;
  RunQueue run_queue_;
  DependencyCalls calls_;
  LatencyEstimator estimator_;
  HealthMonitor health_;
  OverloadSignals signals_;
  IdleConnections idle_connections_;
  AdmissionCheck check_;
  double now_;
  double next_tick_at_ = 0;
};

}  // namespace damsonspoke
