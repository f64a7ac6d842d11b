#include "admission/dependency_calls.h"

#include <algorithm>
#include <cmath>

namespace damsonspoke {
namespace {

constexpr double kMaxPendingCallsPerCore = 2;  // in addition to the run limit; all may return at one moment
constexpr int kMaxAttempts = 3;                // more only add to an overload of the dependency
constexpr double kFirstBackoffSeconds = 0.05;  // doubled with each attempt, plus up to 100 % jitter

double max_calls_in_flight(const AdmissionOptions& options) {
  return kMaxPendingCallsPerCore * options.cores;
}

double max_paced_calls(const AdmissionOptions& options, const CallBudget& budget) {
  return budget.shared() ? budget.refill_rate() : max_calls_in_flight(options);
}

}  // namespace

DependencyCalls::DependencyCalls(const AdmissionOptions& options, const RequestTable& requests,
                                 const RouteStatisticsTable& statistics, const ServiceRate& service_rate)
    : options_(options),
      requests_(requests),
      statistics_(statistics),
      service_rate_(service_rate),
      limit_(max_calls_in_flight(options)),
      budget_(options),
      pacer_(max_paced_calls(options, budget_)) {}

void DependencyCalls::advance(double seconds) {
  budget_.refill(seconds);
  pacer_.advance(seconds, in_flight_, latency_.has_samples() && !latency_.slow(), latency_.recent_mean());
}

DependencyCalls::Next DependencyCalls::next(double now) {
  Next next;
  if (in_flight_ >= static_cast<int>(limit_.value())) return next;
  if (latency_.slow() && pacer_.delay(now) > 0) {
    if (!queue_.empty()) next.check_again_at = now + std::max(options_.timer_resolution, pacer_.delay(now));
    return next;
  }
  const std::optional<RequestId> chosen = select_call(now);
  if (!chosen) return next;
  const double timeout = timeout_for(requests_.at(*chosen), now);
  const std::optional<CallBudget::Reservation> reservation = budget_.reserve(timeout);
  if (!reservation) {
    next.check_again_at = now + options_.timer_resolution + budget_.seconds_until_available(timeout);
    return next;
  }
  next.call = chosen;
  next.reservation = *reservation;
  return next;
}

// Selects in the order of arrival, but by priority weight while the dependency is overloaded. Of requests
// with equal weight, the one with more calls goes first, because its earlier calls would be wasted without
// this one.
std::optional<RequestId> DependencyCalls::select_call(double now) const {
  const bool by_priority = is_overloaded();
  const RequestState* chosen = nullptr;
  for (const RequestId id : queue_) {
    const RequestState& state = requests_.at(id);
    if (state.next_call_at > now) continue;
    if (chosen == nullptr) chosen = &state;
    if (!by_priority) continue;
    const double gain = state.route.priority_weight - chosen->route.priority_weight;
    if (gain > 0 || (gain == 0 && state.calls > chosen->calls)) chosen = &state;
  }
  if (chosen == nullptr) return std::nullopt;
  return chosen->request.id;
}

double DependencyCalls::timeout_for(const RequestState& state, double now) const {
  double timeout = state.deadline - now;
  if (state.route.value_without_call > 0) {
    const double run_time = statistics_.mean_run_time(statistics_.for_request(state)) / service_rate_.value();
    timeout = state.useful_until - run_time - now;
  }
  if (latency_.has_samples()) timeout = std::min(timeout, latency_.longest_useful_timeout());
  return std::max(options_.timer_resolution, timeout);
}

void DependencyCalls::begin_call(RequestState& state, const CallBudget::Reservation& reservation,
                                 double now) {
  remove(state.request.id);
  state.stage = RequestStage::kInCall;
  state.call_time += now - state.stage_since;
  state.stage_since = now;
  state.reserved_call_time = reservation.reserved;
  ++state.call_attempts;
  ++in_flight_;
  pacer_.call_started(now);
}

std::optional<DependencyCalls::LateCall> DependencyCalls::take_late_call(std::size_t from, double now) {
  for (std::size_t index = from; index < queue_.size(); ++index) {
    const RequestState& state = requests_.at(queue_[index]);
    const double run_time = statistics_.mean_run_time(statistics_.for_request(state)) / service_rate_.value();
    const bool skip = state.route.value_without_call > 0 && time_after_call(index, now) < run_time;
    // The request can no longer finish in time, and others wait for the same scarce calls.
    const bool fail = is_overloaded() && state.useful_until < now + latency_.recent_mean() && !state.answered;
    if (!skip && !fail) continue;
    const RequestId id = queue_[index];
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(index));
    return LateCall{id, index, skip};
  }
  return std::nullopt;
}

// The part of the request's useful time that would be left after the call at this index of the queue.
double DependencyCalls::time_after_call(std::size_t index, double now) const {
  const RequestState& state = requests_.at(queue_[index]);
  // The mean of many calls lags behind a dependency that has just become slow.
  const double call_time = latency_.has_samples() ? std::max(latency_.mean(), latency_.recent_mean()) : 0;
  const double left = state.useful_until - now - call_time;
  if (latency_.slow()) return left - (calls_ahead(index) * slow_interval() + slow_delay(now));
  if (!limit_.lowered()) return left;
  return left -
         calls_ahead(index) * latency_.recent_mean() / (limit_.value() * (1 - latency_.rejected_share()));
}

// Number of queued calls that go before the one at this index when priority weight decides.
double DependencyCalls::calls_ahead(std::size_t index) const {
  const double weight = requests_.at(queue_[index]).route.priority_weight;
  double before = 0;
  for (std::size_t i = 0; i < queue_.size(); ++i) {
    const double other = requests_.at(queue_[i]).route.priority_weight;
    if (other > weight || (other == weight && i < index)) before += 1;
  }
  return before;
}

void DependencyCalls::end_call(RequestState& state, bool abandoned, double now) {
  const double seconds = now - state.stage_since;
  --in_flight_;
  state.call_time += seconds;
  state.stage_since = now;
  budget_.release(state.reserved_call_time, seconds, abandoned);
  state.reserved_call_time = 0;
}

CallConcurrencyLimit::Change DependencyCalls::record_outcome(Outcome outcome, double seconds, double now) {
  using Change = CallConcurrencyLimit::Change;
  latency_.record(outcome, seconds);
  Change raised = Change::kNone;
  if (outcome == Outcome::kOk && !latency_.slow()) raised = limit_.raise();
  // Only signs of overload lower the limit: a dependency that fails quickly is not helped by fewer calls.
  const bool shows_overload =
      outcome == Outcome::kTimeout || outcome == Outcome::kRejected || latency_.slow();
  return shows_overload ? limit_.lower(now) : raised;
}

double DependencyCalls::backoff(const RequestState& state, RandomGenerator& random) {
  return kFirstBackoffSeconds * std::exp2(state.call_attempts - 1) * (1 + random.uniform());
}

bool DependencyCalls::may_retry(const RequestState& state, Outcome outcome, double retry_at) {
  const bool never_ran =
      outcome == Outcome::kRejected || outcome == Outcome::kUnreachable || outcome == Outcome::kObsolete;
  return state.call_attempts < kMaxAttempts && retry_at < state.useful_until &&
         (never_ran || state.route.idempotency == Idempotency::kIdempotent);
}

}  // namespace damsonspoke
