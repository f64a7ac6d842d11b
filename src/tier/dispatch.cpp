#include "tier/dispatch.h"

#include <algorithm>
#include <utility>

namespace damsonspoke::tier {
namespace {

constexpr double kPollSeconds = 0.05;       // interval of wakeups while requests wait
constexpr double kStopMarginSeconds = 0.2;  // before the stop, when the last replies are sent
constexpr double kFenceRecheckSeconds = 0.05;

}  // namespace

Dispatch::Dispatch(const DispatchOptions& options, std::size_t routes,
                   const std::vector<std::string>& planners, DispatchSink& sink,
                   std::function<double()> random, double now)
    : options_(options),
      sink_(sink),
      random_(std::move(random)),
      picker_(options.picker, {}),
      wait_estimator_(options.wait_estimator, routes, now),
      retry_budget_(options.retry_share, options.retry_burst),
      key_ownership_(options.key_ownership),
      key_attempts_(options.key_attempts),
      queues_(options.max_waiting_requests, options.max_waiting_bytes) {
  set_planners(planners, now);
}

// ---- Intake.

double Dispatch::latest_reply_when_draining(double now) const {
  return std::max(now, stop_at_ - kStopMarginSeconds);
}

PendingRequest& Dispatch::add(const ForwardedRequest& details, double now) {
  PendingRequest request;
  request.details = details;
  request.arrived_at = now - details.age;
  if (details.is_keyed()) route_by_key(request);
  request.deadline = now + std::max(0.0, details.remaining_time - options_.reply_margin);
  if (is_draining()) request.deadline = std::min(request.deadline, latest_reply_when_draining(now));
  requests_.add(request);
  return requests_.at(details.id);
}

bool Dispatch::arrived_after_grace(const PendingRequest& request) const {
  return is_draining() && request.arrived_at > drain_at_ + drain_grace_;
}

// After the grace of a drain nothing starts, but a repeat still gets the result of its key.
void Dispatch::on_request(const ForwardedRequest& details, double now) {
  key_attempts_.expire(now);
  if (startup_ends_at_ < 0) startup_ends_at_ = now + options_.startup_wait;
  if (now >= startup_ends_at_) end_startup(now);
  PendingRequest& request = add(details, now);
  request.may_start = !arrived_after_grace(request);
  if (details.is_keyed() && request.may_start) {
    request.is_key_pending = true;
    key_attempts_.on_request_pending(details.idempotency_key_hash);
  }
  if (request.may_start || is_repeat(request)) {
    enqueue_or_reject(details.id, now);
  } else {
    reject(details.id, options_.wait_estimator.max_retry_after, false);
  }
  dispatch_waiting(now);
  schedule_wakeup(now);
}

void Dispatch::on_request_without_memory(const ForwardedRequest& details, double now) {
  add(details, now);
  reject(details.id, 0, false);
}

KeyHistory Dispatch::key_history(std::uint64_t key_hash, double arrived_at) const {
  return key_hash == 0 ? KeyHistory::kNeverRan : key_attempts_.history(key_hash, arrived_at);
}

KeyHistory Dispatch::key_history(const PendingRequest& request) const {
  return key_history(request.details.idempotency_key_hash, request.arrived_at);
}

bool Dispatch::may_be_rejected(std::uint64_t key_hash, double arrived_at) const {
  return key_history(key_hash, arrived_at) == KeyHistory::kNeverRan && !key_attempts_.is_pending(key_hash);
}

bool Dispatch::is_repeat(const PendingRequest& request) const {
  return key_history(request) == KeyHistory::kMayHaveRun;
}

double Dispatch::retry_after(std::size_t ahead, double now) {
  return wait_estimator_.retry_after_seconds(ahead, now, random_());
}

// Whether the request can still finish in time behind `ahead` waiting requests. A repeat is not estimated:
// its result may be at hand.
bool Dispatch::can_finish(const PendingRequest& request, std::size_t ahead, double now) {
  const double remaining = request.deadline - now;
  if (remaining < options_.min_remaining_time) return false;
  return is_repeat(request) || wait_estimator_.can_finish_in_time(request.route(), ahead, remaining, now);
}

// Whether a planner that may accept the request is up, with or without capacity.
bool Dispatch::has_destination(const PendingRequest& request) const {
  if (!request.details.is_keyed()) return is_starting_up() || picker_.any_accepts_requests();
  const int target = request.key_route.target();
  if (target < 0) return false;
  if (is_starting_up()) return true;
  return request.key_route.is_lookup() ? picker_.is_reachable(target) : picker_.accepts_requests(target);
}

// A key's results are remembered by one planner, so the key's requests go only to that planner, even while it
// is down: a retry could otherwise run again at a planner that has not seen the first request.
void Dispatch::route_by_key(PendingRequest& request) {
  request.key_route = KeyRouteCursor(
      key_ownership_.route(request.details.idempotency_key_hash, request.arrived_at), list_version_);
}

void Dispatch::enqueue_or_reject(RequestId id, double now) {
  const PendingRequest& request = requests_.at(id);
  const KeyRouteCursor& route = request.key_route;
  if (request.details.is_keyed() && !request.is_lookup_only() && !route.may_run()) {
    reject(id, retry_after(0, now), false);
    return;
  }
  WaitQueue& queue = queues_.of_target(route.target());
  const std::size_t ahead = queue.count_ahead(request.details.priority_weight);
  if (!has_destination(request) || !can_finish(request, ahead, now)) {
    reject(id, retry_after(ahead, now), false);
    return;
  }
  const std::optional<RequestId> evicted =
      queue.push(id, request.details.priority_weight, request.details.caller, request.details.bytes);
  if (!evicted) return;
  ++counters_.evicted;
  reject(*evicted, retry_after(queue.size(), now), false);
}

// ---- Sending.

std::optional<int> Dispatch::pick(const PendingRequest& request, double now, std::optional<int> exclude) {
  const std::uint64_t key = options_.route_by_subject ? request.details.subject : 0;
  return picker_.pick(key, now, random_, exclude);
}

void Dispatch::dispatch_waiting(double now) {
  for (int planner = 0; planner < queues_.planners(); ++planner)
    dispatch_queue(queues_.of_planner(planner), planner, now);
  dispatch_queue(queues_.shared(), std::nullopt, now);
}

// Sends waiting requests while there is capacity and rejects those that would finish too late.
void Dispatch::dispatch_queue(WaitQueue& queue, std::optional<int> only_planner, double now) {
  while (const std::optional<RequestId> id = queue.front()) {
    const PendingRequest& request = requests_.at(*id);
    std::optional<int> planner = only_planner;
    if (!only_planner) {
      planner = pick(request, now);
    } else if (keyed_capacity(*only_planner, now) <= 0) {
      planner = std::nullopt;
    }
    if (!planner) return;
    queue.remove(*id);
    if (can_finish(request, 0, now)) {
      send(*id, *planner, now);
    } else {
      reject(*id, retry_after(queue.size(), now), false);
    }
  }
}

// Rejects the requests that have waited for planners that did not connect.
void Dispatch::end_startup(double now) {
  if (startup_over_) return;
  startup_over_ = true;
  check_planner_availability(now);
  for (const RequestId id : queues_.take_keyed()) enqueue_or_reject(id, now);
}

std::uint64_t Dispatch::attempt_step() {
  if (options_.max_attempt_step <= 1) return 1;
  return static_cast<std::uint64_t>(random_() * static_cast<double>(options_.max_attempt_step)) + 1;
}

void Dispatch::send(RequestId id, int planner, double now) {
  PendingRequest& request = requests_.at(id);
  const double remaining = request.deadline - now;
  // A repeat must not run while an earlier attempt may have: its planner may have forgotten that one, or may
  // read the repeat after the window has ended.
  request.is_looked_up = request.is_lookup_only() || is_repeat(request);
  const std::uint64_t epoch = link(planner).epoch;
  const Attempt attempt = attempts_.begin(id, planner, epoch, attempt_step());
  picker_.on_attempt_sent(planner);
  if (request.attempts_begun == 0) {
    ++counters_.first_attempts;
    retry_budget_.on_first_attempt();
  } else {
    ++counters_.retries;
  }
  ++request.attempts_begun;
  request.sent_at = now;
  if (request.details.is_keyed() && !request.is_looked_up) {
    request.has_key_attempt = true;
    key_attempts_.on_attempt_sent(request.details.idempotency_key_hash, attempt, epoch);
  }
  requests_.schedule_fence(id, now + options_.fence_after_share * remaining);
  if (request.is_looked_up) ++counters_.key_lookups;
  sink_.send(planner, attempt, id, remaining - options_.hop_time, request.is_looked_up);
}

// The request's attempt is proven never to have run. Other attempts with its key may have.
void Dispatch::record_proven_not_run(RequestId id) {
  PendingRequest& request = requests_.at(id);
  if (!std::exchange(request.has_key_attempt, false)) return;
  key_attempts_.on_attempt_proven_not_run(request.details.idempotency_key_hash);
}

// The request's attempt is proven never to have run: it may go to another planner if one has capacity, the
// retry budget allows it and the request is not keyed.
void Dispatch::retry_or_reject(RequestId id, int exclude, double planner_retry_after, bool no_retry,
                               double now) {
  requests_.cancel_fence(id);
  record_proven_not_run(id);
  const PendingRequest& request = requests_.at(id);
  const bool may_retry = !request.details.is_keyed() && !no_retry && !is_draining() &&
                         request.deadline - now >= options_.min_remaining_time;
  if (may_retry) {
    const std::optional<int> planner = pick(request, now, exclude);
    if (planner && can_finish(request, 0, now) && retry_budget_.try_spend()) {
      send(id, *planner, now);
      return;
    }
  }
  reject(id, planner_retry_after > 0 ? planner_retry_after : retry_after(waiting_requests(), now), no_retry);
}

// ---- Answers.

std::optional<RequestId> Dispatch::on_answer(int planner, std::uint64_t epoch, Attempt attempt,
                                             AnswerKind kind, double retry_after, bool no_retry, double now) {
  const AttemptRecord* record = attempts_.find(attempt);
  const bool is_current = record != nullptr && record->planner == planner && record->epoch == epoch;
  if (is_current && kind == AnswerKind::kRunning) return std::nullopt;
  const std::optional<RequestId> id = attempts_.record_answer(planner, epoch, attempt);
  if (!id) {
    ++counters_.stale_answers;
    return std::nullopt;
  }
  wait_estimator_.on_capacity_freed(now);
  std::optional<RequestId> completed;
  switch (kind) {
    case AnswerKind::kSucceeded:
      on_success(*id, planner, now);
      completed = id;
      break;
    case AnswerKind::kFailed:
    case AnswerKind::kOutcomeEvicted:
      picker_.on_attempt_ended(planner, AttemptOutcome::kFailed, 0, now);
      complete(*id);
      completed = id;
      break;
    case AnswerKind::kRejected:
      picker_.on_attempt_ended(planner, AttemptOutcome::kRejected, 0, now);
      retry_or_reject(*id, planner, retry_after, no_retry, now);
      break;
    case AnswerKind::kNeverRan:
      ++counters_.proven_not_run;
      picker_.release(planner);
      retry_or_reject(*id, planner, 0, false, now);
      break;
    case AnswerKind::kKeyUnknown:
      picker_.release(planner);
      if (requests_.at(*id).is_looked_up) {
        on_key_unknown(*id, attempt, epoch, now);
      } else {  // violates the protocol, but nothing ran
        retry_or_reject(*id, planner, 0, false, now);
      }
      break;
    case AnswerKind::kRunning: break;
  }
  dispatch_waiting(now);
  schedule_wakeup(now);
  return completed;
}

void Dispatch::on_success(RequestId id, int planner, double now) {
  const PendingRequest& request = requests_.at(id);
  const double latency = now - request.sent_at;
  picker_.on_attempt_ended(planner, AttemptOutcome::kSucceeded, latency, now);
  wait_estimator_.on_success(request.route(), latency);
  if (request.is_looked_up) ++counters_.key_lookup_hits;
  complete(id, true);
}

// A former owner does not know the key: the next one is asked, and after the last the owner. If the owner
// does not know the key either, the request runs there only if that proves that no earlier attempt has. It is
// asked again if another request with the key was sent meanwhile.
void Dispatch::on_key_unknown(RequestId id, Attempt lookup, std::uint64_t epoch, double now) {
  requests_.cancel_fence(id);
  PendingRequest& request = requests_.at(id);
  // The planner knows the request's age as it was sent, and read it before it answered.
  const double latest_arrival = request.arrived_at + (now - request.sent_at);
  const std::uint64_t key_hash = request.details.idempotency_key_hash;
  key_attempts_.on_key_unknown(key_hash, lookup, epoch, latest_arrival);
  if (request.key_route.list_version() != list_version_) {
    route_by_key(request);
  } else if (request.key_route.is_lookup()) {
    request.key_route.advance();
  } else if ((!request.may_start || is_repeat(request)) && !key_attempts_.was_sent_since(key_hash, lookup)) {
    reject(id, retry_after(waiting_requests(), now), false);
    return;
  }
  enqueue_or_reject(id, now);
}

// ---- Completion.

void Dispatch::on_caller_disconnected(RequestId id, double now) {
  if (!requests_.contains(id)) return;
  if (const std::optional<Attempt> attempt = attempts_.current_attempt(id)) {
    const AttemptRecord record = *attempts_.find(*attempt);
    if (record.state != AttemptState::kDisconnected) sink_.cancel(record.planner, *attempt);
    picker_.release(record.planner);
  }
  complete(id);
  dispatch_waiting(now);
  schedule_wakeup(now);
}

// The request is not sent any more. Of several requests that are given up together, all are withdrawn first.
void Dispatch::withdraw(RequestId id) {
  PendingRequest& request = requests_.at(id);
  queues_.of_target(request.key_route.target()).remove(id);
  if (std::exchange(request.is_key_pending, false))
    key_attempts_.on_request_withdrawn(request.details.idempotency_key_hash);
}

void Dispatch::complete(RequestId id, bool has_run) {
  withdraw(id);
  const PendingRequest& request = requests_.at(id);
  attempts_.abandon(id);
  if (request.has_key_attempt)
    key_attempts_.on_attempt_ended(request.details.idempotency_key_hash, request.window_ends_at(), has_run);
  requests_.erase(id);
}

// The only place where a request is rejected. A rejection tells its caller that other servers may run it.
void Dispatch::reject(RequestId id, double retry_after, bool no_retry) {
  withdraw(id);
  const PendingRequest& request = requests_.at(id);
  if (!may_be_rejected(request.details.idempotency_key_hash, request.arrived_at)) {
    ++counters_.unproven_rejections;
    return fail(id);
  }
  ++counters_.rejected_locally;
  complete(id);
  sink_.reply(id, LocalReply::kRejected, retry_after, no_retry);
}

void Dispatch::fail(RequestId id) {
  complete(id);
  sink_.reply(id, LocalReply::kFailed, 0, false);
}

// ---- Time.

// Fences late attempts if another planner could take the request. This covers planners that accept requests
// and never answer, and planners that have become slow with many requests queued.
void Dispatch::fence_late_attempts(double now) {
  while (const std::optional<RequestId> id = requests_.take_late(now)) {
    const PendingRequest& request = requests_.at(*id);
    const std::optional<Attempt> attempt = attempts_.current_attempt(*id);
    if (!attempt) continue;
    const int planner = attempts_.find(*attempt)->planner;
    const bool has_alternative =
        !request.details.is_keyed() && picker_.pick(0, now, random_, planner).has_value();
    if (!has_alternative) {
      if (request.deadline - now > 2 * kFenceRecheckSeconds)
        requests_.schedule_fence(*id, now + kFenceRecheckSeconds);
      continue;
    }
    if (!attempts_.start_fencing(*attempt)) continue;
    ++counters_.fences;
    picker_.on_attempt_late(planner, now);
    sink_.fence(planner, *attempt);
  }
}

void Dispatch::expire_request(RequestId id, double now) {
  ++counters_.overdue;
  const std::optional<Attempt> attempt = attempts_.current_attempt(id);
  if (!attempt) {
    reject(id, retry_after(waiting_requests(), now), false);
    return;
  }
  const AttemptRecord record = *attempts_.find(*attempt);
  if (record.state != AttemptState::kDisconnected) sink_.cancel(record.planner, *attempt);
  picker_.on_attempt_ended(record.planner, AttemptOutcome::kFailed, 0, now);
  fail(id);
}

void Dispatch::on_timer(double now) {
  key_attempts_.expire(now);
  if (startup_ends_at_ >= 0 && now >= startup_ends_at_) end_startup(now);
  fail_disconnected(now);
  while (const std::optional<RequestId> id = requests_.first_overdue(now)) expire_request(*id, now);
  fence_late_attempts(now);
  dispatch_waiting(now);
  schedule_wakeup(now);
}

void Dispatch::on_drain(double time_left, double grace, double now) {
  drain_at_ = now;
  stop_at_ = now + time_left;
  drain_grace_ = grace;
  requests_.cap_deadlines(latest_reply_when_draining(now));
  schedule_wakeup(now);
}

void Dispatch::schedule_wakeup(double now) {
  wait_estimator_.set_busy(attempts_.open_attempts() > 0, now);
  std::optional<double> next = requests_.next_event();
  const auto add = [&](double time) { next = std::min(next.value_or(time), time); };
  for (const Link& link : links_) {
    if (link.disconnected_at >= 0) add(link.disconnected_at + options_.reconnect_timeout);
  }
  if (waiting_requests() > 0) add(now + kPollSeconds);
  if (next) sink_.schedule_wakeup(std::max(*next, now));
}

}  // namespace damsonspoke::tier
