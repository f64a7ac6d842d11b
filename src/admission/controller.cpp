#include "admission/controller.h"

#include <algorithm>
#include <string>

#include "admission/gauge_limits.h"

namespace damsonspoke {
namespace {

constexpr double kTickSeconds = 0.1;  // between two readings of the gauges
constexpr double kDeadlineMarginSeconds = 0.010;
// While draining, the deadline of each request is at least this long before the process stops, so that its
// answer is sent even if an iteration of the event loop is slow.
constexpr double kStopMarginSeconds = 0.200;
constexpr double kRetrySpentShare = 0.4;  // of the objective, spent before a retry arrives

}  // namespace

AdmissionController::AdmissionController(const AdmissionOptions& options, std::uint64_t seed,
                                         DecisionSink& sink, double now, const LearnedStatistics& prior,
                                         const RouteDirectory* directory)
    : options_(options),
      fixed_directory_(options_),
      directory_(directory != nullptr ? *directory : fixed_directory_),
      sink_(sink),
      random_(seed),
      wakeup_(sink),
      slow_start_(options_, now),
      pool_(options_),
      keys_(pool_, sink),
      quotas_(directory_, options_.servers),
      statistics_(directory_),
      service_rate_(requests_, statistics_, slow_start_),
      run_queue_(options_, requests_, statistics_, slow_start_),
      calls_(options_, requests_, statistics_, service_rate_),
      estimator_(requests_, statistics_, service_rate_, run_queue_, calls_),
      health_(options_, drain_, sink),
      signals_(options_, random_, sink),
      idle_connections_(options_, sink),
      check_({options_, directory_, requests_, statistics_, pool_, keys_, run_queue_, calls_, service_rate_,
              estimator_, health_, drain_}),
      now_(now) {
  statistics_.restore(prior, now);
  calls_.restore(prior.calls);
  if (prior.returning_share >= 0) idle_connections_.restore(prior.returning_share);
  if (options_.deep_health_checks) sink_.set_health(true, true);
  signals_.initialize(slow_start_.min_speed(now), should_be_avoided(), directory_.route_count());
  wakeup_.schedule(now + kTickSeconds);
}

// Updates all state that depends on the time. Every event handler begins with it.
void AdmissionController::advance_to(double now) {
  const double seconds = std::max(0.0, now - now_);
  now_ = now;
  service_rate_.advance(seconds, run_queue_.running());
  keys_.expire(now);
  calls_.advance(seconds);
  service_rate_.update(now);
}

// ---- Arrival.

void AdmissionController::on_request(double now, const Request& request) {
  advance_to(now);
  const RequestState state = register_arrival(request);
  if (request.duplicate_of != 0 && state.route.idempotency != Idempotency::kNonIdempotent)
    return join_original(state);
  const double queue_wait = estimator_.queue_wait();
  const bool within_quota = !quotas_.enabled() || quotas_.observe(request.tenant, now);
  const NewRequest new_request{state, now - request.age, queue_wait, within_quota};
  const std::optional<RejectReason> reason = check_admission(new_request);
  if (reason) {
    const bool over_quota = !within_quota && *reason == RejectReason::kNoCapacity;
    return reject(request.id, within_quota ? queue_wait : 0, over_quota);
  }
  if (quotas_.enabled() && within_quota) quotas_.spend(request.tenant);
  admit(state);
  start_queued_requests();
}

RequestState AdmissionController::register_arrival(const Request& request) {
  RouteStatistics& statistics = statistics_.entry(request.route);
  RequestState state;
  state.request = request;
  state.route = statistics.route;
  state.stage_since = now_;
  const bool is_retry = observe_read(request, state.route, statistics);
  set_deadlines(state, is_retry);
  return state;
}

// Returns whether the request is taken for a retry.
bool AdmissionController::observe_read(const Request& request, const Route& route,
                                       RouteStatistics& statistics) {
  pool_.observe_size(request.size_kb);
  health_.observe_read(request.age, route.latency_objective, now_);
  idle_connections_.observe_caller(request.caller, now_);
  const bool is_retry =
      request.is_retry || (request.remaining_timeout > 0 &&
                           statistics.timeout_detector.observe(request.remaining_timeout + request.age));
  signals_.observe_read(is_retry);
  return is_retry;
}

void AdmissionController::set_deadlines(RequestState& state, bool is_retry) const {
  const Request& request = state.request;
  const Route& route = state.route;
  const double arrived_at = now_ - request.age;
  const double caller_waits_until =
      request.remaining_timeout > 0 ? now_ + request.remaining_timeout : arrived_at + route.timeout;
  state.deadline = std::max(now_, caller_waits_until - kDeadlineMarginSeconds);
  if (drain_.draining())
    state.deadline = std::min(state.deadline, std::max(now_, drain_.stop_at - kStopMarginSeconds));
  state.useful_until = state.deadline;
  if (route.has_value_when_late()) return;
  // The objective counts from the first attempt. A retry has spent a part of it, at most the part of the
  // timeout that is over for its caller.
  double spent = is_retry ? kRetrySpentShare * route.latency_objective : 0;
  if (request.remaining_timeout > 0)
    spent = std::clamp(route.timeout - request.remaining_timeout - request.age, 0.0, spent);
  state.useful_until = std::min(state.deadline, arrived_at + route.latency_objective - spent);
}

// A duplicate never runs concurrently with its original request: it waits for the outcome of that request.
void AdmissionController::join_original(const RequestState& state) {
  RequestState& tracked = track(state);
  tracked.stage = RequestStage::kAwaitingOriginal;
  // The original request may have run, so the duplicate is failed, never rejected.
  if (pool_.used_kb() > pool_.request_capacity_kb()) return fail(tracked);
  sink_.join(state.request.id);
}

std::optional<RejectReason> AdmissionController::check_admission(const NewRequest& new_request) {
  std::optional<RejectReason> reason = check_.reject_reason(new_request, now_);
  if (reason == RejectReason::kNoCapacity && new_request.within_quota) {
    if (const auto preempted = check_.requests_to_preempt(new_request, now_)) {
      for (const RequestId id : *preempted) reject(id, estimator_.queue_wait(), false);
      reason = std::nullopt;
    }
  }
  // Stale requests also count toward the shortage, rejected or not: they show that reading has fallen behind.
  const bool lacked_capacity = reason == RejectReason::kNoCapacity ||
                               reason == RejectReason::kDeadlinePassed || health_.reads_stale_requests();
  if (new_request.within_quota) signals_.observe_capacity(lacked_capacity);
  if (reason == RejectReason::kNoCapacity) signals_.count_rejection_for_capacity();
  return reason;
}

void AdmissionController::admit(const RequestState& state) {
  RequestState& tracked = track(state);
  remember_key(tracked);
  run_queue_.push_back(tracked.request.id);
}

RequestState& AdmissionController::track(const RequestState& state) {
  RequestState& tracked = requests_[state.request.id] = state;
  pool_.charge(tracked.charged_kb, state.request.size_kb);
  deadlines_.add(tracked.deadline, state.request.id);
  wakeup_.schedule(tracked.deadline);
  return tracked;
}

void AdmissionController::remember_key(RequestState& state) {
  const Request& request = state.request;
  const Route& route = state.route;
  if (route.idempotency == Idempotency::kWithKey)
    keys_.remember(state, std::max(options_.timer_resolution, route.idempotency_window - request.age), now_);
  // Reads may share an answer where the settings allow it: many reads of one subject then cost one run.
  const bool shares_answer = options_.shared_answer_ttl > 0 &&
                             route.idempotency == Idempotency::kIdempotent && !request.is_write &&
                             request.subject != 0;
  if (shares_answer && keys_.has_capacity())
    keys_.remember(state, options_.shared_answer_ttl + estimator_.processing_time(state, now_), now_);
}

// ---- Starts and ends.

void AdmissionController::start_queued_requests() {
  while (run_queue_.has_run_capacity(calls_.pending_calls(), now_) && start_next_request()) {
  }
  run_queue_.update_saturation(now_);
}

// Returns false if no queued request can start now.
bool AdmissionController::start_next_request() {
  const std::optional<RequestId> id = run_queue_.most_urgent(now_, calls_.saturated());
  if (!id) return false;
  RequestState& state = requests_.at(*id);
  if (reject_if_late(state)) return true;
  const double running_kb = pool_.running_kb(state.request.size_kb);
  const bool runs_alone = run_queue_.running() + calls_.pending_calls() == 0;
  if (!runs_alone && !pool_.has_capacity(state.charged_kb, running_kb)) return false;
  run_queue_.remove(*id);
  pool_.charge(state.charged_kb, running_kb);
  run_queue_.begin_run(state, now_);
  state.has_run = true;
  sink_.start(*id);
  return true;
}

// Rejects a queued request that can no longer finish in time, if other requests run. Returns whether it did.
bool AdmissionController::reject_if_late(const RequestState& state) {
  const bool never_ran = state.stage == RequestStage::kQueued && !state.has_run;
  if (!never_ran || run_queue_.running() == 0) return false;
  if (now_ + estimator_.processing_time(state, now_) <= state.useful_until) return false;
  signals_.observe_given_up();
  reject(state.request.id, estimator_.queue_wait(), false);
  return true;
}

void AdmissionController::on_run_finished(double now, RequestId id, Outcome outcome, double /*spent*/) {
  advance_to(now);
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  RequestState& state = found->second;
  if (state.stage == RequestStage::kRunning) run_queue_.end_run(state, now);
  if (state.stage == RequestStage::kInCall) calls_.end_call(state, true, now);
  if (state.stage == RequestStage::kAwaitingOriginal || outcome == Outcome::kObsolete) return release(id);
  if (outcome == Outcome::kCancelled && !state.answered) return requeue(state);
  if (outcome == Outcome::kOk) learn_from_run(state);
  if (outcome != Outcome::kCancelled) health_.observe_run(outcome);
  release(id);
  assess_health();
  start_queued_requests();
}

// Called if a run was stopped although its request still waits for an answer.
void AdmissionController::requeue(RequestState& state) {
  calls_.remove(state.request.id);
  const bool keeps_progress = options_.preemption == Preemption::kPause;
  state.stage = keeps_progress ? RequestStage::kPaused : RequestStage::kQueued;
  if (!keeps_progress) {
    if (state.route.idempotency != Idempotency::kIdempotent) return fail(state);
    pool_.charge(state.charged_kb, state.request.size_kb);
  }
  run_queue_.push_front(state.request.id);
  start_queued_requests();
}

void AdmissionController::learn_from_run(const RequestState& state) {
  const auto contradicted = statistics_.record_run(state, !slow_start_.warming_up(now_), now_);
  if (contradicted) {
    sink_.log("learned statistics dropped for route " + std::to_string(contradicted->route) +
              ": mean run time is " + std::to_string(contradicted->run_time) + " s, learned was " +
              std::to_string(contradicted->prior_run_time) + " s");
  }
  service_rate_.work_done(statistics_.expected_run_time(state));
  statistics_.record_work_hint(state);
  service_rate_.update(now_);
}

void AdmissionController::assess_health() {
  // Slow runs are expected while the server warms up.
  const auto objective_use =
      slow_start_.warming_up(now_) ? std::nullopt : statistics_.mean_objective_use(service_rate_.value());
  health_.assess(objective_use, now_);
}

LearnedStatistics AdmissionController::learned() const {
  LearnedStatistics learned;
  learned.routes = statistics_.snapshot();
  learned.calls = calls_.latency().snapshot();
  learned.returning_share = idle_connections_.returning_share();
  learned.under_pressure = health_.unhealthy() || slow_start_.warming_up(now_) || calls_.limit_lowered();
  return learned;
}

// ---- Dependency calls.

void AdmissionController::on_call_needed(double now, RequestId id) {
  advance_to(now);
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  RequestState& state = found->second;
  if (state.stage == RequestStage::kRunning) run_queue_.end_run(state, now);
  state.stage = RequestStage::kAwaitingCall;
  state.call_attempts = 0;
  ++state.calls;
  if (state.answered) return sink_.fail(id);
  if (!calls_.allowed()) return state.route.value_without_call > 0 ? skip_call(state) : fail(state);
  calls_.enqueue(id);
  dispatch_calls();
  start_queued_requests();
}

// Makes the calls that may be made now, and drops those that could only return too late.
void AdmissionController::dispatch_calls() {
  for (;;) {
    const DependencyCalls::Next next = calls_.next(now_);
    if (next.check_again_at) wakeup_.schedule(*next.check_again_at);
    if (!next.call) break;
    calls_.begin_call(requests_.at(*next.call), next.reservation, now_);
    sink_.call(*next.call, next.reservation.timeout);
  }
  std::size_t from = 0;
  while (const auto late_call = calls_.take_late_call(from, now_)) {
    from = late_call->index;
    RequestState& state = requests_.at(late_call->id);
    late_call->skip ? skip_call(state) : fail(state);
  }
}

void AdmissionController::on_call_finished(double now, RequestId id, Outcome outcome, double /*spent*/) {
  advance_to(now);
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.stage != RequestStage::kInCall) return;
  RequestState& state = found->second;
  const double seconds = now - state.stage_since;
  calls_.end_call(state, outcome == Outcome::kTimeout, now);
  log_limit_change(calls_.record_outcome(outcome, seconds, now));
  if (outcome == Outcome::kOk)
    run_queue_.begin_run(state, now);
  else
    retry_call_or_give_up(state, outcome);
  dispatch_calls();
  start_queued_requests();
}

void AdmissionController::log_limit_change(CallConcurrencyLimit::Change change) {
  using Change = CallConcurrencyLimit::Change;
  if (change == Change::kLowered) sink_.log("dependency overloaded: concurrency limit of calls lowered");
  if (change == Change::kRestored) sink_.log("dependency recovered: concurrency limit of calls restored");
}

void AdmissionController::retry_call_or_give_up(RequestState& state, Outcome outcome) {
  const double retry_at = now_ + DependencyCalls::backoff(state, random_);
  state.stage = RequestStage::kAwaitingCall;
  if (DependencyCalls::may_retry(state, outcome, retry_at)) {
    state.next_call_at = retry_at;
    wakeup_.schedule(retry_at);
    calls_.enqueue(state.request.id);
  } else if (state.route.value_without_call > 0) {
    skip_call(state);
  } else {
    fail(state);
  }
}

void AdmissionController::skip_call(RequestState& state) {
  state.call_time += now_ - state.stage_since;
  run_queue_.begin_run(state, now_);
  sink_.skip_call(state.request.id);
}

// ---- Answers.

void AdmissionController::reject(RequestId id, double queue_wait, bool no_retry) {
  const auto found = requests_.find(id);
  if (found != requests_.end()) keys_.drop(found->second, now_);
  const double retry_after = signals_.retry_after(queue_wait, should_be_avoided());
  // That this server is unhealthy does not mean that the others are: they may have capacity.
  const bool others_lack_capacity = !health_.unhealthy() && (no_retry || signals_.retry_storm());
  sink_.reject(id, retry_after, others_lack_capacity);
  release(id);
}

void AdmissionController::fail(RequestState& state) {
  sink_.fail(state.request.id);
  abandon(state);
}

// The request needs no answer any more. If it is queued it is released; if it runs, the run is stopped, or
// keeps its charge and its core until it ends.
void AdmissionController::abandon(RequestState& state) {
  const RequestId id = state.request.id;
  state.answered = true;
  deadlines_.remove(state.deadline, id);
  calls_.remove(id);
  const bool has_no_active_run = state.stage == RequestStage::kQueued ||
                                 state.stage == RequestStage::kPaused ||
                                 state.stage == RequestStage::kAwaitingOriginal;
  if (has_no_active_run) return release(id);
  // A run with an idempotency key continues: if it were stopped half way, later duplicates could not be
  // answered.
  const bool is_interrupted =
      options_.preemption != Preemption::kOff && state.route.idempotency != Idempotency::kWithKey;
  if (state.stage == RequestStage::kRunning && is_interrupted) sink_.interrupt(id);
}

void AdmissionController::release(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  pool_.charge(found->second.charged_kb, 0);
  deadlines_.remove(found->second.deadline, id);
  run_queue_.remove(id);
  calls_.remove(id);
  requests_.erase(found);
  if (requests_.empty()) pool_.reset();
}

void AdmissionController::on_caller_disconnected(double now, RequestId id) {
  advance_to(now);
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  abandon(found->second);
  start_queued_requests();
}

// ---- Time.

void AdmissionController::on_drain(double now, double time_left) {
  advance_to(now);
  sink_.log("draining: " + std::to_string(requests_.size()) + " requests in flight");
  drain_ = {now, now + time_left};
  deadlines_.clear();
  for (auto& [id, state] : requests_) {
    state.deadline = std::min(state.deadline, std::max(now, drain_.stop_at - kStopMarginSeconds));
    state.useful_until = std::min(state.useful_until, state.deadline);
    if (state.answered) continue;
    deadlines_.add(state.deadline, id);
    wakeup_.schedule(state.deadline);
  }
  health_.publish(now);
}

void AdmissionController::on_timer(double now, std::uint64_t token, const Gauges& gauges) {
  advance_to(now);
  if (!wakeup_.fired(token)) return;
  answer_overdue_requests();
  if (now >= next_tick_at_) tick(gauges);
  dispatch_calls();
  start_queued_requests();
  schedule_next_wakeup();
}

void AdmissionController::answer_overdue_requests() {
  while (const auto id = deadlines_.overdue(now_)) {
    RequestState& state = requests_.at(*id);
    const bool never_ran = !state.has_run && state.stage != RequestStage::kAwaitingOriginal;
    if (never_ran && state.route.idempotency == Idempotency::kIdempotent)
      reject(*id, 0, false);
    else
      fail(state);
  }
}

void AdmissionController::tick(const Gauges& gauges) {
  next_tick_at_ = now_ + kTickSeconds;
  const bool idle = cores_idle(gauges.cpu_busy);
  run_queue_.adjust_run_limit(gauges.cpu_busy, now_);
  health_.tick(idle);
  assess_health();
  signals_.log_overload_change();
  signals_.tick(idle, slow_start_.min_speed(now_), should_be_avoided(), directory_.route_count());
  idle_connections_.tick(gauges.runnable - run_queue_.running(), signals_.has_capacity_for_callers());
}

void AdmissionController::schedule_next_wakeup() {
  double next = std::max(next_tick_at_, now_ + options_.timer_resolution);
  if (const auto deadline = deadlines_.earliest()) next = std::min(next, std::max(*deadline, now_));
  wakeup_.schedule(next);
}

}  // namespace damsonspoke
