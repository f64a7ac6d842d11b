#include "stages/request_forwarder.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace damsonspoke::stages {
namespace {

namespace wt = wire::tier;

// Limits the attempts sent to a planner that rejects them immediately to four windows per second.
constexpr double kRejectionCooldownSeconds = 0.25;
// From the first request; planners usually connect within milliseconds.
constexpr double kStartupWaitSeconds = 0.25;
constexpr double kCheckIntervalSeconds = 0.1;
constexpr double kSixteenthsPerKb = 16;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kSecondsPerMicrosecond = 1e-6;
constexpr double kMaxWireMicroseconds = 4e9;
constexpr double kMaxWireSize = 4e9;
constexpr double kMilliPerUnit = 1000;
// Attempt numbers increase by random steps up to this limit: a guess of the next number succeeds once in
// 8 million tries, and 64 bits suffice for 10^12 attempts.
constexpr std::uint64_t kMaxAttemptStep = 1 << 24;
constexpr double kHistoryReadTimeoutSeconds = 2;
constexpr std::size_t kRequestOverheadBytes = 512;  // of a request in flight, in addition to its body and key
constexpr std::uint64_t kCallerSeedFactor = 0x9e3779b97f4a7c15ULL;  // 2^64 / golden ratio

std::uint32_t microseconds(double seconds) {
  return static_cast<std::uint32_t>(std::clamp(seconds * kMicrosecondsPerSecond, 0.0, kMaxWireMicroseconds));
}

tier::AnswerKind kind_of(wt::Result result) {
  switch (result) {
    case wt::Result::kSucceeded: return tier::AnswerKind::kSucceeded;
    case wt::Result::kRejected: return tier::AnswerKind::kRejected;
    case wt::Result::kNeverRan: return tier::AnswerKind::kNeverRan;
    case wt::Result::kRunning: return tier::AnswerKind::kRunning;
    case wt::Result::kOutcomeEvicted: return tier::AnswerKind::kOutcomeEvicted;
    case wt::Result::kKeyUnknown: return tier::AnswerKind::kKeyUnknown;
    case wt::Result::kFailed:
    case wt::Result::kUnknown:
    case wt::Result::kConflict: break;
  }
  return tier::AnswerKind::kFailed;
}

peers::FailureReason failure_reason(wt::Result result) {
  switch (result) {
    case wt::Result::kUnknown: return peers::FailureReason::kOutcomeUnknown;
    case wt::Result::kConflict: return peers::FailureReason::kKeyConflict;
    default: return peers::FailureReason::kFailed;
  }
}

// A planner remembers a key for the idempotency window after it admits the request, which it does within the
// request's timeout. A request that a forwarder sent according to a superseded endpoint list may be admitted
// up to one timeout after the reload.
tier::KeyOwnershipOptions key_ownership_options(const ForwardOptions& options, const StartSettings& site) {
  double window = 0;
  double longest_timeout = 0;
  for (const Route& route : site.admission.routes) {
    if (route.idempotency != Idempotency::kWithKey) continue;
    window = std::max(window, route.idempotency_window);
    longest_timeout = std::max(longest_timeout, route.timeout);
  }
  return {options.reload_spread + longest_timeout, window > 0 ? window + 2 * longest_timeout : 0};
}

// A request that is read later than its caller waits for the answer is of no use to it.
tier::KeyAttemptsOptions key_attempts_options(const StartSettings& site, std::size_t memory_bytes) {
  tier::KeyAttemptsOptions out;
  out.max_keys = memory_bytes / tier::KeyAttempts::kKeyBytes;
  for (const Route& route : site.admission.routes)
    out.allowed_lateness = std::max(out.allowed_lateness, route.timeout);
  return out;
}

tier::DispatchOptions dispatch_options(const RequestForwarder::Options& memory, const StartSettings& site) {
  const ForwardOptions& options = memory.forward;
  tier::DispatchOptions out;
  out.key_attempts = key_attempts_options(site, memory.key_bytes);
  out.picker.rejection_cooldown_seconds = kRejectionCooldownSeconds;
  out.key_ownership = key_ownership_options(options, site);
  out.retry_share = options.retry_share;
  out.reconnect_timeout = options.link_timeout;
  out.startup_wait = kStartupWaitSeconds;
  out.max_waiting_requests = options.queue_length;
  out.max_waiting_bytes = options.queue_bytes;
  out.route_by_subject = options.by_subject;
  out.max_attempt_step = kMaxAttemptStep;
  if (site.admission.sends_retry_after && site.admission.max_retry_after > 0)
    out.wait_estimator.max_retry_after = site.admission.max_retry_after;
  return out;
}

std::size_t memory_of(const peers::IncomingRequest& request) {
  return kRequestOverheadBytes + request.body.size() + request.idempotency_key.size();
}

}  // namespace

RequestForwarder::RequestForwarder(net::Reactor& reactor, const Ports& ports, const StartSettings& site,
                                   const Options& options, std::uint64_t seed, Counters& counters,
                                   Logger& log)
    : reactor_(reactor),
      ports_(ports),
      site_(site),
      digest_by_caller_(options.results.digest_by_caller),
      counters_(counters),
      log_(log),
      random_(seed),
      max_body_bytes_(options.body_bytes),
      dispatch_(std::make_unique<tier::Dispatch>(
          dispatch_options(options, site), site.admission.routes.size(), options.forward.planners,
          static_cast<tier::DispatchSink&>(*this),
          [this] { return std::ldexp(static_cast<double>(random_() >> 11), -53); }, net::monotonic_now())),
      key_ownership_(key_ownership_options(options.forward, site)),
      endpoint_lists_{options.forward.planners, {}} {
  if (options.forward.folder.empty()) return;
  history_file_ = std::make_unique<store::PersistedFile>(
      [folder = options.forward.folder] { return store::open_folder(folder); }, "planners",
      tier::kEndpointListHistoryVersion, tier::kMaxEndpointListHistoryBytes);
}

RequestForwarder::~RequestForwarder() {
  reactor_.cancel(wakeup_timer_);
  reactor_.cancel(check_timer_);
}

void RequestForwarder::start() {
  restore_history();
  connect_planners();
  check();
}

// ---- Callers.

bool RequestForwarder::may_be_rejected(const peers::IncomingRequest& request) const {
  const double age = request.received_at > 0 ? std::max(0.0, net::unix_now() - request.received_at) : 0;
  return dispatch_->may_be_rejected(key_hash(request), net::monotonic_now() - age);
}

void RequestForwarder::on_request_read(peers::IncomingRequest in) {
  counters_.add(Count::kRequestsRead);
  const double now = net::unix_now();
  const Route& route = site_.admission.routes[static_cast<std::size_t>(in.route)];
  const double age = in.received_at > 0 ? std::max(0.0, now - in.received_at) : 0;
  tier::ForwardedRequest request;
  request.id = in.id;
  request.route = in.route;
  request.caller = in.caller;
  request.subject = in.subject;
  request.idempotency_key_hash = key_hash(in);
  request.idempotency_window = route.idempotency_window;
  request.priority_weight = route.priority_weight;
  request.age = age;
  request.remaining_time = (in.client_timeout > 0 ? in.client_timeout : route.timeout) - age;
  request.bytes = memory_of(in);
  if (in.received_at <= 0) in.received_at = now;
  body_bytes_ += request.bytes;
  const bool fits = body_bytes_ <= max_body_bytes_;
  in_flight_[request.id] = {std::move(in), now + request.remaining_time};
  // If the memory for bodies is exhausted, the new request is given up whatever its priority. The limit of
  // the wait queues is lower and evicts requests by priority.
  if (fits) {
    dispatch_->on_request(request, net::monotonic_now());
  } else {
    dispatch_->on_request_without_memory(request, net::monotonic_now());
  }
}

// Returns 0 if the request is not keyed, otherwise a value that is not 0.
std::uint64_t RequestForwarder::key_hash(const peers::IncomingRequest& request) const {
  const Route& route = site_.admission.routes[static_cast<std::size_t>(request.route)];
  if (route.idempotency != Idempotency::kWithKey) return 0;
  const auto seed = static_cast<std::uint64_t>(request.route) + 1;
  const std::string& key = request.idempotency_key;
  if (!key.empty()) return XXH3_64bits_withSeed(key.data(), key.size(), seed) | 1;
  const std::uint64_t caller = digest_by_caller_ ? request.caller : 0;
  return XXH3_64bits_withSeed(request.body.data(), request.body.size(), seed + caller * kCallerSeedFactor) |
         1;
}

RequestForwarder::InFlightEntry RequestForwarder::remove_completed(RequestId id, Count result_counter) {
  const auto found = in_flight_.find(id);
  InFlightEntry out = std::move(found->second);
  in_flight_.erase(found);
  body_bytes_ -= memory_of(out.request);
  counters_.add(result_counter);
  if (result_counter != Count::kRequestsCallerGone && net::unix_now() > out.deadline)
    counters_.add(Count::kRequestsOverdue);
  return out;
}

void RequestForwarder::on_caller_disconnected(RequestId id) {
  if (!in_flight_.contains(id)) return;
  dispatch_->on_caller_disconnected(id, net::monotonic_now());
  remove_completed(id, Count::kRequestsCallerGone);
}

void RequestForwarder::on_health_check(peers::ReplyAddress reply_to, bool /*requires_self_test*/) {
  ports_.callers->answer_health_check(reply_to, dispatch_->is_healthy(net::monotonic_now()));
}

// ---- Planners.

void RequestForwarder::on_link_up(int planner, std::uint64_t epoch, std::uint32_t window) {
  dispatch_->on_link_up(planner, epoch, window, net::monotonic_now());
  check();
}

void RequestForwarder::on_link_lost(int planner, const std::vector<std::uint64_t>& unwritten) {
  for (const std::uint64_t attempt : unwritten)
    log_.debug("forward",
               "attempt {} was not written to planner number {} before the link to the planner was lost",
               attempt, planner);
  dispatch_->on_link_lost(planner, unwritten, net::monotonic_now());
}

void RequestForwarder::on_load_report(int planner, const wt::LoadReport& report) {
  dispatch_->on_load_report(planner, report.window, report.slot_value_milli / kMilliPerUnit,
                            report.is_healthy, net::monotonic_now());
}

void RequestForwarder::on_planner_draining(int planner) {
  dispatch_->on_planner_draining(planner, net::monotonic_now());
  close_if_idle(planner);
}

void RequestForwarder::on_answer(int planner, std::uint64_t epoch, const wt::Answer& answer) {
  if (answer.result == wt::Result::kNeverRan)
    log_.debug("forward", "attempt {} is fenced at planner number {}, epoch {:x}: it never ran",
               answer.attempt, planner, epoch);
  if (answer.result == wt::Result::kRejected)
    log_.debug("forward", "attempt {} is rejected by planner number {}", answer.attempt, planner);
  const std::optional<RequestId> completed = dispatch_->on_answer(
      planner, epoch, answer.attempt, kind_of(answer.result), answer.retry_after_us * kSecondsPerMicrosecond,
      answer.no_retry, net::monotonic_now());
  if (completed) {
    const bool succeeded = answer.result == wt::Result::kSucceeded;
    forward_answer(
        remove_completed(*completed, succeeded ? Count::kRequestsSucceeded : Count::kRequestsFailed), answer);
  }
  close_if_idle(planner);
}

void RequestForwarder::forward_answer(const InFlightEntry& entry, const wt::Answer& answer) {
  if (answer.result == wt::Result::kSucceeded) {
    ports_.callers->answer_succeeded(entry.request.reply_to, answer.body);
  } else {
    ports_.callers->answer_failed(entry.request.reply_to, failure_reason(answer.result));
  }
}

void RequestForwarder::close_if_idle(int planner) {
  if (dispatch_->attempts().open_attempts_at(planner) == 0) ports_.planners->close_if_draining(planner);
}

// ---- tier::DispatchSink.

void RequestForwarder::send(int planner, tier::Attempt attempt, RequestId id, double remaining_time,
                            bool is_lookup_only) {
  const peers::IncomingRequest& request = in_flight_.at(id).request;
  wt::Submit submit;
  submit.attempt = attempt;
  submit.request = request.id;
  submit.route = static_cast<std::uint16_t>(request.route);
  submit.caller = request.caller;
  submit.subject = request.subject;
  submit.size_sixteenth_kb =
      static_cast<std::uint32_t>(std::clamp(request.size_kb * kSixteenthsPerKb, 1.0, kMaxWireSize));
  submit.age_us = microseconds(net::unix_now() - request.received_at);
  submit.remaining_us = microseconds(remaining_time);
  submit.is_lookup_only = is_lookup_only;
  submit.idempotency_key = request.idempotency_key;
  submit.body = request.body;
  log_.debug("forward", "request {:016x} submitted as attempt {} to planner number {}", id, attempt, planner);
  ports_.planners->submit(planner, submit);
}

void RequestForwarder::cancel(int planner, tier::Attempt attempt) {
  ports_.planners->cancel(planner, attempt);
}

void RequestForwarder::fence(int planner, tier::Attempt attempt) { ports_.planners->fence(planner, attempt); }

void RequestForwarder::reply(RequestId id, tier::LocalReply kind, double retry_after, bool no_retry) {
  if (kind == tier::LocalReply::kRejected) {
    const InFlightEntry entry = remove_completed(id, Count::kRequestsRejected);
    const double retry_after_to_send = site_.admission.sends_retry_after ? retry_after : 0;
    ports_.callers->answer_rejected(entry.request.reply_to, retry_after_to_send, no_retry);
  } else {
    const InFlightEntry entry = remove_completed(id, Count::kRequestsFailed);
    ports_.callers->answer_failed(entry.request.reply_to, peers::FailureReason::kFailed);
  }
}

// Does nothing if an earlier wakeup is scheduled: the dispatch schedules the next one when that timer fires.
void RequestForwarder::schedule_wakeup(double time) {
  if (wakeup_time_ >= 0 && wakeup_time_ <= time) return;
  reactor_.cancel(wakeup_timer_);
  wakeup_time_ = time;
  wakeup_timer_ = reactor_.at(time, [this] {
    wakeup_time_ = -1;
    dispatch_->on_timer(net::monotonic_now());
  });
}

// ---- Lifecycle.

void RequestForwarder::check() {
  report_health();
  connect_planners();
  if (history_file_) {
    const std::optional<std::string> error = history_file_->take_write_error();
    if (error && !error->empty())
      log_.warn("forward", "history of endpoint lists (planners) could not be stored: {}", *error);
  }
  for (std::size_t i = 0; i < connects_to_.size(); ++i) close_if_idle(static_cast<int>(i));
  reactor_.cancel(check_timer_);
  check_timer_ = reactor_.after(kCheckIntervalSeconds, [this] { check(); });
}

void RequestForwarder::report_health() {
  const bool healthy = dispatch_->is_healthy(net::monotonic_now());
  if (healthy == reported_healthy_) return;
  reported_healthy_ = healthy;
  log_.info("forward", "forwarder became {}", healthy ? "healthy" : "unhealthy");
  ports_.registry->report(healthy || !site_.registry_follows_health);
}

void RequestForwarder::drain(double time_left) {
  dispatch_->on_drain(time_left, site_.admission.drain_grace, net::monotonic_now());
  ports_.registry->report(false);
  reported_healthy_ = false;
  ports_.callers->announce_drain();
}

// ---- The endpoint list.

void RequestForwarder::set_planners(const std::vector<std::string>& addresses) {
  if (addresses != endpoint_lists_.current) {
    const double now = net::unix_now();
    std::erase_if(endpoint_lists_.former, [&](const tier::FormerEndpointList& list) {
      return now > list.until + key_ownership_.reload_spread + key_ownership_.retention;
    });
    endpoint_lists_.former.push_back({now, std::exchange(endpoint_lists_.current, addresses)});
    store_history();
    dispatch_->set_planners(addresses, net::monotonic_now());
  }
  connect_planners();
}

void RequestForwarder::connect_planners() {
  const tier::Picker& picker = dispatch_->picker();
  const double now = net::monotonic_now();
  for (std::size_t i = 0; i < picker.size(); ++i) {
    const int planner = static_cast<int>(i);
    if (i == connects_to_.size()) {
      ports_.planners->add(picker.name(planner));
      connects_to_.push_back(true);
    }
    const bool needed = !dispatch_->can_disconnect(planner, now);
    if (connects_to_[i] == needed) continue;
    connects_to_[i] = needed;
    if (needed) {
      ports_.planners->restore(planner);
    } else {
      ports_.planners->remove(planner);
    }
  }
}

// Returns the stored history, if there is one. If it cannot be read, it is unknown which keys have changed
// their owner.
std::optional<tier::EndpointListHistory> RequestForwarder::read_history() {
  const double now = net::monotonic_now();
  const std::optional<store::ChecksummedContent> file = history_file_->read(kHistoryReadTimeoutSeconds);
  if (file && file->problem == store::ChecksumProblem::kMissing) return std::nullopt;
  std::string error = "read timed out";
  if (file && file->problem != store::ChecksumProblem::kNone) error = text_of(file->problem);
  if (file && file->problem == store::ChecksumProblem::kNone) {
    if (auto history = tier::decode_endpoint_list_history(file->content)) return history;
    error = "checksum valid, but the content is not a history of endpoint lists";
  }
  log_.error("forward",
             "history of endpoint lists (planners) unreadable ({}): keyed requests are rejected for {:.0f} s",
             error, key_ownership_.reload_spread + key_ownership_.retention);
  dispatch_->assume_unknown_history(now);
  return std::nullopt;
}

void RequestForwarder::restore_history() {
  if (!history_file_) return;
  const double now = net::monotonic_now();
  const double unix_now = net::unix_now();
  if (const std::optional<tier::EndpointListHistory> before = read_history()) {
    for (const tier::FormerEndpointList& list : before->former) {
      if (unix_now <= list.until + key_ownership_.reload_spread + key_ownership_.retention)
        endpoint_lists_.former.push_back(list);
    }
    if (before->current != endpoint_lists_.current)
      endpoint_lists_.former.push_back({unix_now, before->current});
    // A time in the future was written with a wrong clock and is treated as the current time.
    for (const tier::FormerEndpointList& list : endpoint_lists_.former)
      dispatch_->add_former_planners(list.planners, now - std::max(0.0, unix_now - list.until));
    if (!endpoint_lists_.former.empty())
      log_.info("forward", "keyed requests are looked up at the planners of {} former endpoint lists",
                endpoint_lists_.former.size());
  }
  store_history();
}

void RequestForwarder::store_history() {
  if (history_file_) history_file_->write(tier::encode(endpoint_lists_));
}

void RequestForwarder::update_counters() {
  const tier::DispatchCounters& c = dispatch_->counters();
  counters_.set(Count::kTierFirstAttempts, c.first_attempts);
  counters_.set(Count::kTierRetries, c.retries);
  counters_.set(Count::kTierProofsRequested, c.fences);
  counters_.set(Count::kTierProvenNotRun, c.proven_not_run);
  counters_.set(Count::kTierAnswersDropped, c.stale_answers);
  counters_.set(Count::kTierDisconnected, c.disconnected);
  counters_.set(Count::kTierLost, c.unprovable_attempts);
  counters_.set(Count::kTierRejectedLocally, c.rejected_locally);
  counters_.set(Count::kTierUnprovenRejections, c.unproven_rejections);
  counters_.set(Count::kTierRetainedKeys, dispatch_->retained_keys());
  counters_.set(Count::kTierEvicted, c.evicted);
  counters_.set(Count::kTierOverdue, c.overdue);
  counters_.set(Count::kTierKeyQueries, c.key_lookups);
  counters_.set(Count::kTierKeyQueriesKnown, c.key_lookup_hits);
  counters_.set(Count::kTierEjections, dispatch_->picker().ejections());
  counters_.set(Count::kTierWaiting, dispatch_->waiting_requests());
  counters_.set(Count::kTierPlanners, ports_.planners->linked_planners());
}

}  // namespace damsonspoke::stages
