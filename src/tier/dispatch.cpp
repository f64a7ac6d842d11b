#include "tier/dispatch.h"

#include <xxhash.h>

#include <algorithm>

namespace damsonspoke::tier {
namespace {

constexpr double kPollSeconds = 0.05;       // s; between looks while requests wait or planners are away
constexpr double kStopMarginSeconds = 0.2;  // s before the stop; what is owed leaves by then
constexpr double kFenceRecheckSeconds =
    0.05;  // s; until a late attempt is looked at again that has nowhere else to go

}  // namespace

Dispatch::Dispatch(DispatchOptions options, std::size_t routes, const std::vector<std::string>& planners,
                   DispatchSink& sink, std::function<double()> random, double now)
    : options_(options),
      sink_(sink),
      random_(std::move(random)),
      picker_(options.picker, {}),
      wait_estimator_(options.wait_estimator, routes, now),
      retry_budget_(options.retry_share, options.retry_burst),
      key_ownership_(options.key_ownership),
      queue_(options.max_waiting_requests, options.max_waiting_bytes) {
  set_planners(planners, now);
}

int Dispatch::position_of(const std::string& name, double now) {
  for (std::size_t i = 0; i < picker_.size(); ++i) {
    if (picker_.name(static_cast<int>(i)) == name) return static_cast<int>(i);
  }
  keyed_queues_.emplace_back(options_.max_waiting_requests, options_.max_waiting_bytes);
  links_.emplace_back();
  return picker_.add(name, now);
}

void Dispatch::set_planners(const std::vector<std::string>& names, double now) {
  std::vector<std::pair<int, std::string>> list;
  list.reserve(names.size());
  for (const std::string& name : names) list.emplace_back(position_of(name, now), name);
  for (std::size_t i = 0; i < picker_.size(); ++i) {
    const int planner = static_cast<int>(i);
    const bool wanted =
        std::any_of(list.begin(), list.end(), [&](const auto& one) { return one.first == planner; });
    wanted ? picker_.restore(planner) : picker_.remove(planner);
  }
  key_ownership_.set_planners(list, now);
  ++list_version_;
  check_planners(now);
  // Keyed requests that wait find their way anew: where they were to run they may run no longer.
  std::vector<RequestId> waiting;
  for (WaitQueue& line : keyed_queues_) {
    while (const std::optional<RequestId> id = line.front()) line.remove(*id), waiting.push_back(*id);
  }
  std::sort(waiting.begin(), waiting.end());
  for (const RequestId id : waiting) {
    route_by_key(requests_.at(id), now);
    enqueue_or_reject(id, now);
  }
  dispatch_waiting(now);
  schedule(now);
}

void Dispatch::add_former_planners(const std::vector<std::string>& names, double until, double now) {
  std::vector<std::pair<int, std::string>> list;
  for (const std::string& name : names) {
    const std::size_t known = picker_.size();
    const int planner = position_of(name, now);
    if (static_cast<std::size_t>(planner) >= known) picker_.remove(planner);
    list.emplace_back(planner, name);
  }
  key_ownership_.add_former_list(list, until);
}

bool Dispatch::can_disconnect(int planner, double now) const {
  return !picker_.is_listed(planner) && attempts_.open_attempts_at(planner) == 0 &&
         !key_ownership_.may_remember_keys(planner, now);
}

std::size_t Dispatch::waiting_requests() const {
  std::size_t count = queue_.size();
  for (const WaitQueue& line : keyed_queues_) count += line.size();
  return count;
}

// ---- Requests.
void Dispatch::on_request(const ForwardedRequest& details, double now) {
  Request request;
  request.details = details;
  if (details.idempotency_key_hash != 0) route_by_key(request, now);
  request.deadline = now + std::max(0.0, details.remaining_time - options_.reply_margin);
  if (is_draining())
    request.deadline = std::min(request.deadline, std::max(now, stop_at_ - kStopMarginSeconds));
  requests_[details.id] = request;
  deadlines_.insert({request.deadline, details.id});
  if (is_draining() && now > drain_at_ + drain_grace_) {
    reject(details.id, options_.wait_estimator.max_retry_after, false, now);
  } else {
    enqueue_or_reject(details.id, now);
  }
  dispatch_waiting(now);
  schedule(now);
}

// Refused at once where no planner is there, or where it could not be in time any more.
void Dispatch::enqueue_or_reject(RequestId id, double now) {
  Request& request = requests_.at(id);
  WaitQueue& line = queue_of(request);
  if (request.details.idempotency_key_hash != 0 && !request.is_lookup() && !request.route.may_run)
    return reject(id, wait_estimator_.retry_after_seconds(0, now, random_()), false, now);
  const std::size_t ahead = line.count_ahead(request.details.priority_weight);
  const bool alone = request.details.idempotency_key_hash != 0
                         ? request.target < 0 || !target_is_reachable(request)
                         : !picker_.any_accepts_requests();
  if (alone || request.deadline - now < options_.min_remaining_time ||
      !wait_estimator_.can_finish_in_time(static_cast<std::size_t>(request.details.route), ahead,
                                          request.deadline - now, now))
    return reject(id, wait_estimator_.retry_after_seconds(ahead, now, random_()), false, now);
  const std::optional<RequestId> goes =
      line.push(id, request.details.priority_weight, request.details.caller, request.details.bytes);
  if (!goes) return;
  ++counters_.evicted;
  reject(*goes, wait_estimator_.retry_after_seconds(line.size(), now, random_()), false, now);
}

// A keyed request's results are remembered by one planner: its key belongs there whether that is up or not.
// Guards against a repeat that runs a second time at a planner that has not heard of the first.
void Dispatch::route_by_key(Request& request, double now) {
  request.route = key_ownership_.route(request.details.idempotency_key_hash, now);
  request.lookups_done = 0;
  request.list_version = list_version_;
  advance_route(request);
}
// Where a planner has to be asked first that is on no list any more, and is not there, nothing is known of
// the key, and it runs nowhere.
void Dispatch::advance_route(Request& request) {
  request.target =
      request.is_lookup() ? request.route.former_owners[request.lookups_done] : request.route.owner;
}
bool Dispatch::target_is_reachable(const Request& request) const {
  return request.is_lookup() ? picker_.is_reachable(request.target)
                             : picker_.accepts_requests(request.target);
}
int Dispatch::capacity_for_keyed(int planner, double now) const {
  return picker_.is_listed(planner) ? picker_.free_capacity(planner, now)
                                    : picker_.lookup_capacity(planner, now);
}

// Its former home does not know it: on to the next, and then to where it runs, if it may by now.
void Dispatch::on_key_unknown(RequestId id, double now) {
  Request& request = requests_.at(id);
  fence_times_.erase({request.fence_at, id});
  request.fence_at = -1;
  if (request.list_version != list_version_) {  // asked by an old list: nothing may follow from it any more
    route_by_key(request, now);
    return enqueue_or_reject(id, now);
  }
  ++request.lookups_done;
  advance_route(request);
  enqueue_or_reject(id, now);
}

WaitQueue& Dispatch::queue_of(const Request& request) {
  return request.target >= 0 ? keyed_queues_[static_cast<std::size_t>(request.target)] : queue_;
}

bool Dispatch::send(RequestId id, int planner, double now) {
  Request& request = requests_.at(id);
  const Link& link = links_[static_cast<std::size_t>(planner)];
  const double left = request.deadline - now;
  const std::uint64_t step =
      options_.max_attempt_step <= 1
          ? 1
          : static_cast<std::uint64_t>(random_() * static_cast<double>(options_.max_attempt_step)) + 1;
  const Attempt attempt = attempts_.begin(id, planner, link.epoch, step);
  picker_.on_attempt_sent(planner);
  request.sent_at = now;
  ++(request.attempts_begun++ == 0 ? counters_.first_attempts : counters_.retries);
  if (request.attempts_begun == 1) retry_budget_.on_first_attempt();
  request.fence_at = now + options_.fence_after_share * left;
  fence_times_.insert({request.fence_at, id});
  if (request.is_lookup()) ++counters_.key_lookups;
  sink_.send(planner, attempt, id, left - options_.hop_time, request.is_lookup());
  return true;
}

// Waiting requests go out while there is room, the more important first; those that would come too late are
// told.
bool Dispatch::dispatch_queue(WaitQueue& line, std::optional<int> only, double now) {
  bool any = false;
  while (const std::optional<RequestId> id = line.front()) {
    const Request& request = requests_.at(*id);
    const std::optional<int> to =
        only ? (capacity_for_keyed(*only, now) > 0 ? only : std::nullopt)
             : picker_.pick(options_.route_by_subject ? request.details.subject : 0, now, random_);
    if (!to) break;
    line.remove(*id);
    any = true;
    const bool late = request.deadline - now < options_.min_remaining_time ||
                      !wait_estimator_.can_finish_in_time(static_cast<std::size_t>(request.details.route), 0,
                                                          request.deadline - now, now);
    if (late) {
      reject(*id, wait_estimator_.retry_after_seconds(line.size(), now, random_()), false, now);
    } else {
      send(*id, *to, now);
    }
  }
  return any;
}

void Dispatch::dispatch_waiting(double now) {
  for (std::size_t i = 0; i < keyed_queues_.size(); ++i)
    dispatch_queue(keyed_queues_[i], static_cast<int>(i), now);
  dispatch_queue(queue_, std::nullopt, now);
}

void Dispatch::on_caller_gone(RequestId id, double now) {
  if (!requests_.contains(id)) return;
  if (const std::optional<Attempt> attempt = attempts_.current_attempt(id)) {
    const AttemptRecord seen = *attempts_.find(*attempt);
    if (seen.state != AttemptState::kDisconnected) sink_.cancel(seen.planner, *attempt);
    picker_.release(seen.planner);
  }
  finish(id);
  dispatch_waiting(now);
  schedule(now);
}

// ---- The ways in which a request is over.
void Dispatch::finish(RequestId id) {
  const auto found = requests_.find(id);
  deadlines_.erase({found->second.deadline, id});
  fence_times_.erase({found->second.fence_at, id});
  queue_of(found->second).remove(id);
  attempts_.abandon(id);
  requests_.erase(found);
}
void Dispatch::reject(RequestId id, double retry_after, bool no_retry, double) {
  ++counters_.rejected_locally;
  finish(id);
  sink_.reply(id, LocalReply::kRejected, retry_after, no_retry);
}
void Dispatch::fail(RequestId id) {
  finish(id);
  sink_.reply(id, LocalReply::kFailed, 0, false);
}

// A request whose attempt is proven never to have run: another planner, where one has room, the budget allows
// it and the key does not forbid it; else it is told at once.
void Dispatch::retry_or_reject(RequestId id, int exclude, double retry_after, bool no_retry, double now) {
  Request& request = requests_.at(id);
  fence_times_.erase({request.fence_at, id});
  request.fence_at = -1;
  const bool may = request.details.idempotency_key_hash == 0 && !no_retry &&
                   request.deadline - now >= options_.min_remaining_time && !is_draining();
  if (may) {
    const std::optional<int> to =
        picker_.pick(options_.route_by_subject ? request.details.subject : 0, now, random_, exclude);
    if (to &&
        wait_estimator_.can_finish_in_time(static_cast<std::size_t>(request.details.route), 0,
                                           request.deadline - now, now) &&
        retry_budget_.try_spend()) {
      send(id, *to, now);
      return;
    }
  }
  reject(
      id,
      retry_after > 0 ? retry_after : wait_estimator_.retry_after_seconds(waiting_requests(), now, random_()),
      no_retry, now);
}

// ---- Planners.
std::optional<RequestId> Dispatch::on_answer(int planner, std::uint64_t epoch, Attempt attempt,
                                             AnswerKind how, double retry_after, bool no_retry, double now) {
  const AttemptRecord* seen = attempts_.find(attempt);
  const bool ours = seen != nullptr && seen->planner == planner && seen->epoch == epoch;
  if (ours && how == AnswerKind::kRunning) return std::nullopt;  // it goes on; its end will be told
  const std::optional<RequestId> id = attempts_.record_answer(planner, epoch, attempt);
  if (!id) {
    ++counters_.stale_answers;
    return std::nullopt;
  }
  const Request& request = requests_.at(*id);
  const double latency = now - request.sent_at;
  wait_estimator_.on_capacity_freed(now);
  std::optional<RequestId> passed_on;
  switch (how) {
    case AnswerKind::kSucceeded:
      picker_.on_attempt_ended(planner, AttemptOutcome::kSucceeded, latency, now);
      wait_estimator_.on_success(static_cast<std::size_t>(request.details.route), latency);
      counters_.key_lookup_hits += request.is_lookup();
      finish(*id);
      passed_on = id;
      break;
    case AnswerKind::kFailed:
    case AnswerKind::kOutcomeEvicted:
      picker_.on_attempt_ended(planner, AttemptOutcome::kFailed, latency, now);
      finish(*id);
      passed_on = id;
      break;
    case AnswerKind::kRejected:
      picker_.on_attempt_ended(planner, AttemptOutcome::kRejected, latency, now);
      retry_or_reject(*id, planner, retry_after, no_retry, now);
      break;
    case AnswerKind::kNeverRan:
      ++counters_.proven_not_run;
      picker_.release(planner);
      retry_or_reject(*id, planner, 0, false, now);
      break;
    case AnswerKind::kKeyUnknown:
      picker_.release(planner);
      // Said to one that was to run there, it is no answer of this protocol's: nothing ran, and nothing is
      // known.
      request.is_lookup() ? on_key_unknown(*id, now) : retry_or_reject(*id, planner, 0, false, now);
      break;
    case AnswerKind::kRunning: break;
  }
  dispatch_waiting(now);
  schedule(now);
  return passed_on;
}

void Dispatch::on_link_up(int planner, std::uint64_t epoch, std::uint32_t window, double now) {
  Link& link = links_[static_cast<std::size_t>(planner)];
  link = {true, epoch, -1};
  picker_.on_link_up(planner, window, now);
  AttemptLedger::Reconnection back = attempts_.on_link_up(planner, epoch);
  for (const Attempt attempt : back.to_fence) sink_.fence(planner, attempt);
  // What its former life held is over: nobody will ever prove anything of it.
  for (const RequestId id : back.lost) {
    ++counters_.lost_with_epoch;
    picker_.release(planner);
    fail(id);
  }
  counters_.fences += back.to_fence.size();
  check_planners(now);
  dispatch_waiting(now);
  schedule(now);
}

void Dispatch::on_link_lost(int planner, const std::vector<Attempt>& unwritten, double now) {
  Link& link = links_[static_cast<std::size_t>(planner)];
  link.up = false;
  picker_.on_link_down(planner);
  const std::vector<Attempt> disconnected = attempts_.on_link_lost(planner);
  std::vector<RequestId> free;
  for (const Attempt attempt : unwritten) {
    const AttemptRecord* seen = attempts_.find(attempt);
    if (seen == nullptr || seen->planner != planner) continue;
    if (const std::optional<RequestId> id = attempts_.record_unwritten(attempt)) {
      ++counters_.proven_not_run;
      picker_.release(planner);
      free.push_back(*id);
    }
  }
  counters_.disconnected += disconnected.size() - free.size();
  if (attempts_.open_attempts_at(planner) > 0) link.disconnected_at = now;
  check_planners(now);
  for (const RequestId id : free) retry_or_reject(id, planner, 0, false, now);
  // Keyed requests that wait for it, and all where nobody is left: told at once, not held.
  WaitQueue& mine = keyed_queues_[static_cast<std::size_t>(planner)];
  while (const std::optional<RequestId> id = mine.front())
    reject(*id, wait_estimator_.retry_after_seconds(0, now, random_()), false, now);
  dispatch_waiting(now);
  schedule(now);
}

void Dispatch::on_load_report(int planner, std::uint32_t window, double slot_value, bool healthy,
                              double now) {
  picker_.on_load_report(planner, window, slot_value, healthy);
  dispatch_waiting(now);
  schedule(now);
}

void Dispatch::on_planner_draining(int planner, double now) {
  picker_.on_draining(planner);
  WaitQueue& mine = keyed_queues_[static_cast<std::size_t>(planner)];
  while (const std::optional<RequestId> id = mine.front())
    reject(*id, wait_estimator_.retry_after_seconds(0, now, random_()), false, now);
  check_planners(now);
  dispatch_waiting(now);
  schedule(now);
}

void Dispatch::check_planners(double now) {
  if (picker_.any_accepts_requests()) return wait_estimator_.on_planner_available(now);
  wait_estimator_.on_no_planner(now);
  while (const std::optional<RequestId> id = queue_.front())
    reject(*id, wait_estimator_.retry_after_seconds(queue_.size(), now, random_()), false, now);
}

// ---- Time.
// A planner that has not answered in its share of the time is asked for proof, if another one could take the
// request. Guards against a planner that accepts and never answers, and one that has turned slow with a long
// line.
void Dispatch::fence_late_attempts(double now) {
  while (!fence_times_.empty() && fence_times_.begin()->first <= now) {
    const RequestId id = fence_times_.begin()->second;
    fence_times_.erase(fence_times_.begin());
    Request& request = requests_.at(id);
    request.fence_at = -1;
    const std::optional<Attempt> attempt = attempts_.current_attempt(id);
    if (!attempt) continue;
    const AttemptRecord* seen = attempts_.find(*attempt);
    const bool elsewhere =
        request.details.idempotency_key_hash == 0 && picker_.pick(0, now, random_, seen->planner).has_value();
    if (!elsewhere) {
      if (request.deadline - now > 2 * kFenceRecheckSeconds) {
        request.fence_at = now + kFenceRecheckSeconds;
        fence_times_.insert({request.fence_at, id});
      }
      continue;
    }
    const int planner = seen->planner;
    if (!attempts_.start_fencing(*attempt)) continue;
    ++counters_.fences;
    picker_.on_attempt_late(planner, now);
    sink_.fence(planner, *attempt);
  }
}

void Dispatch::on_timer(double now) {
  for (std::size_t i = 0; i < links_.size(); ++i) {
    Link& link = links_[i];
    if (link.disconnected_at < 0 || now < link.disconnected_at + options_.reconnect_timeout) continue;
    link.disconnected_at = -1;
    for (const RequestId id : attempts_.abandon_attempts_at(static_cast<int>(i))) {
      ++counters_.lost_with_epoch;
      picker_.release(static_cast<int>(i));
      fail(id);
    }
  }
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const RequestId id = deadlines_.begin()->second;
    ++counters_.overdue;
    const std::optional<Attempt> attempt = attempts_.current_attempt(id);
    if (!attempt) {
      reject(id, wait_estimator_.retry_after_seconds(waiting_requests(), now, random_()), false, now);
      continue;
    }
    const AttemptRecord seen = *attempts_.find(*attempt);
    if (seen.state != AttemptState::kDisconnected) sink_.cancel(seen.planner, *attempt);
    picker_.on_attempt_ended(seen.planner, AttemptOutcome::kFailed, now - requests_.at(id).sent_at, now);
    fail(id);
  }
  fence_late_attempts(now);
  dispatch_waiting(now);
  schedule(now);
}

void Dispatch::on_drain(double time_left, double grace, double now) {
  drain_at_ = now;
  stop_at_ = now + time_left;
  drain_grace_ = grace;
  deadlines_.clear();
  for (auto& [id, request] : requests_) {
    request.deadline = std::min(request.deadline, std::max(now, stop_at_ - kStopMarginSeconds));
    deadlines_.insert({request.deadline, id});
  }
  schedule(now);
}

void Dispatch::schedule(double now) {
  wait_estimator_.set_busy(attempts_.open_attempts() > 0, now);
  double next = -1;
  const auto sooner = [&](double at) { next = next < 0 ? at : std::min(next, at); };
  if (!deadlines_.empty()) sooner(deadlines_.begin()->first);
  if (!fence_times_.empty()) sooner(fence_times_.begin()->first);
  for (const Link& link : links_) {
    if (link.disconnected_at >= 0) sooner(link.disconnected_at + options_.reconnect_timeout);
  }
  if (waiting_requests() > 0) sooner(now + kPollSeconds);
  if (next >= 0) sink_.schedule_wakeup(std::max(next, now));
}

}  // namespace damsonspoke::tier
