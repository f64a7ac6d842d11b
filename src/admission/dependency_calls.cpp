#include "admission/dependency_calls.h"

#include <algorithm>
#include <cmath>

namespace damsonspoke {
namespace {

constexpr double kAtCallsPerCore = 2;          // beside the run limit: all may return at one moment
constexpr int kMaxAttempts = 3;                // more only add to an overload of the dependency
constexpr double kFirstBackoffSeconds = 0.05;  // doubled with each attempt, with full jitter on top

double ceiling_of(const AdmissionOptions& options) { return kAtCallsPerCore * options.cores; }

double pace_ceiling_of(const AdmissionOptions& options, const CallBudget& budget) {
  return budget.shared() ? budget.inflow() : ceiling_of(options);
}

}  // namespace

DependencyCalls::DependencyCalls(const AdmissionOptions& options, const RequestTable& requests,
                                 const RouteStatisticsTable& statistics, const ServiceRate& service_rate)
    : options_(options),
      requests_(requests),
      statistics_(statistics),
      service_rate_(service_rate),
      limit_(ceiling_of(options)),
      budget_(options),
      pacer_(pace_ceiling_of(options, budget_)) {}

void DependencyCalls::advance(double seconds) {
  budget_.refill(seconds);
  pacer_.advance(seconds, in_flight_, latency_.known() && !latency_.slow(), latency_.recent());
}

DependencyCalls::Next DependencyCalls::next(double now) {
  Next next;
  if (in_flight_ >= static_cast<int>(limit_.value())) return next;
  if (latency_.slow() && pacer_.delay(now) > 0) {
    if (!queue_.empty()) next.look_again_at = now + std::max(options_.timer_resolution, pacer_.delay(now));
    return next;
  }
  const std::optional<RequestId> chosen = choose(now);
  if (!chosen) return next;
  const double timeout = timeout_of(requests_.at(*chosen), now);
  const std::optional<CallBudget::Reservation> reservation = budget_.reserve(timeout);
  if (!reservation) {
    next.look_again_at = now + options_.timer_resolution + budget_.seconds_until(timeout);
    return next;
  }
  next.call = chosen;
  next.reservation = *reservation;
  return next;
}

// In the order of arrival, but under pressure by priority weight. Of equals the one goes first that has had
// more calls: they were made in vain without this one.
std::optional<RequestId> DependencyCalls::choose(double now) const {
  const bool by_priority = under_pressure();
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

double DependencyCalls::timeout_of(const RequestState& state, double now) const {
  double timeout = state.deadline - now;
  if (state.route.value_without_call > 0) {
    const double run_time = statistics_.mean_run_time(statistics_.of(state)) / service_rate_.value();
    timeout = state.useful_until - run_time - now;
  }
  if (latency_.known()) timeout = std::min(timeout, latency_.longest_useful_timeout());
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

std::optional<DependencyCalls::Hopeless> DependencyCalls::take_hopeless(std::size_t from, double now) {
  for (std::size_t place = from; place < queue_.size(); ++place) {
    const RequestState& state = requests_.at(queue_[place]);
    const double run_time = statistics_.mean_run_time(statistics_.of(state)) / service_rate_.value();
    const bool skip = state.route.value_without_call > 0 && time_after_call(place, now) < run_time;
    // It can't be in time any more, and others wait for the same scarce calls.
    const bool fail = under_pressure() && state.useful_until < now + latency_.recent() && !state.answered;
    if (!skip && !fail) continue;
    const RequestId id = queue_[place];
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(place));
    return Hopeless{id, place, skip};
  }
  return std::nullopt;
}

// What would be left of the request's useful time after the call at that place of the queue.
double DependencyCalls::time_after_call(std::size_t place, double now) const {
  const RequestState& state = requests_.at(queue_[place]);
  // The mean of many calls lags behind a dependency that has just become slow.
  const double call_time = latency_.known() ? std::max(latency_.mean(), latency_.recent()) : 0;
  const double left = state.useful_until - now - call_time;
  if (latency_.slow()) return left - (calls_before(place) * slow_interval() + slow_delay(now));
  if (!limit_.lowered()) return left;
  return left - calls_before(place) * latency_.recent() / (limit_.value() * (1 - latency_.rejected_share()));
}

// How many in the queue go first when priority weight decides.
double DependencyCalls::calls_before(std::size_t place) const {
  const double weight = requests_.at(queue_[place]).route.priority_weight;
  double before = 0;
  for (std::size_t i = 0; i < queue_.size(); ++i) {
    const double other = requests_.at(queue_[i]).route.priority_weight;
    if (other > weight || (other == weight && i < place)) before += 1;
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

CallConcurrencyLimit::Change DependencyCalls::learn(Outcome outcome, double seconds, double now) {
  using Change = CallConcurrencyLimit::Change;
  latency_.record(outcome, seconds);
  Change raised = Change::kNone;
  if (outcome == Outcome::kOk && !latency_.slow()) raised = limit_.raise();
  // Only signs of overload lower the limit: a dependency that fails quickly is not helped by fewer calls.
  const bool overloaded = outcome == Outcome::kTimeout || outcome == Outcome::kRejected || latency_.slow();
  return overloaded ? limit_.lower(now) : raised;
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
