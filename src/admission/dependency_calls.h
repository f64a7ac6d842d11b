// Schedules the dependency calls of running requests: their order, the number in flight, timeouts, backoff,
// and which calls are skipped.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "admission/call_budget.h"
#include "admission/call_concurrency_limit.h"
#include "admission/dependency_latency.h"
#include "admission/random.h"
#include "admission/request_state.h"
#include "admission/route_statistics.h"
#include "admission/service_rate.h"
#include "admission/slow_call_pacer.h"

namespace damsonspoke {

// Times are seconds on the controller's clock.
class DependencyCalls {
 public:
  DependencyCalls(const AdmissionOptions& options, const RequestTable& requests,
                  const RouteStatisticsTable& statistics, const ServiceRate& service_rate);

  void restore(const LearnedDurations& prior) { latency_.restore(prior); }
  void advance(double seconds);

  // ---- The queue of calls.
  void enqueue(RequestId id) { queue_.push_back(id); }
  void remove(RequestId id) { std::erase(queue_, id); }
  [[nodiscard]] std::size_t queued() const { return queue_.size(); }
  [[nodiscard]] int in_flight() const { return in_flight_; }
  // Calls that are queued or in flight.
  [[nodiscard]] int pending_calls() const { return static_cast<int>(queue_.size()) + in_flight_; }
  // True if no more requests that need calls should start: all pending calls may return, and their runs need
  // a core, at the same moment.
  [[nodiscard]] bool saturated() const { return pending_calls() >= limit_.ceiling(); }
  // False if this server may make no calls at all.
  [[nodiscard]] bool allowed() const { return budget_.allows_calls(); }

  // ---- Making calls.
  // The call to make now, or else the time at which one may become possible. Neither is set if no call is
  // ready, or if a call in flight must end first.
  struct Next {
    std::optional<RequestId> call;
    std::optional<double> check_again_at;
    CallBudget::Reservation reservation;  // for the call
  };
  [[nodiscard]] Next next(double now);
  void begin_call(RequestState& state, const CallBudget::Reservation& reservation, double now);

  // Removes from the queue the first call at or after index `from` that could only return too late. `skip`:
  // the run continues without the call; otherwise the request fails.
  struct LateCall {
    RequestId id = 0;
    std::size_t index = 0;
    bool skip = false;
  };
  [[nodiscard]] std::optional<LateCall> take_late_call(std::size_t from, double now);

  // ---- The end of a call.
  // The request's call has ended, with whatever outcome. `abandoned`: the dependency may still work on it.
  void end_call(RequestState& state, bool abandoned, double now);
  // Updates the latency and the concurrency limit after a call that took `seconds`.
  CallConcurrencyLimit::Change record_outcome(Outcome outcome, double seconds, double now);
  // Backoff before the request's next attempt. Draws a random number even if no attempt follows.
  [[nodiscard]] static double backoff(const RequestState& state, RandomGenerator& random);
  [[nodiscard]] static bool may_retry(const RequestState& state, Outcome outcome, double retry_at);

  // ---- For predictions and reports.
  // The dependency is overloaded: calls of requests with a higher priority weight go first.
  [[nodiscard]] bool is_overloaded() const { return latency_.slow() || limit_.lowered(); }
  [[nodiscard]] bool limit_lowered() const { return limit_.lowered(); }
  [[nodiscard]] const DependencyLatency& latency() const { return latency_; }
  [[nodiscard]] double concurrency_limit() const { return limit_.value(); }
  // While calls are slow: the time between two calls, and the time until the next one may start.
  [[nodiscard]] double slow_interval() const { return pacer_.interval(latency_.recent_mean()); }
  [[nodiscard]] double slow_delay(double now) const { return pacer_.delay(now); }

 private:
  [[nodiscard]] std::optional<RequestId> select_call(double now) const;
  [[nodiscard]] double timeout_for(const RequestState& state, double now) const;
  [[nodiscard]] double time_after_call(std::size_t index, double now) const;
  [[nodiscard]] double calls_ahead(std::size_t index) const;

  const AdmissionOptions& options_;
  const RequestTable& requests_;
  const RouteStatisticsTable& statistics_;
  const ServiceRate& service_rate_;
  std::deque<RequestId> queue_;
  int in_flight_ = 0;
  DependencyLatency latency_;
  CallConcurrencyLimit limit_;
  CallBudget budget_;
  SlowCallPacer pacer_;
};

}  // namespace damsonspoke
