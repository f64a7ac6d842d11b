#include "stages/request_intake.h"

#include <algorithm>

namespace damsonspoke::stages {
namespace {

constexpr double kLateReadSeconds = 0.020;  // requests read after a longer delay are counted as late
// The remaining timeout of an overdue request: 0 would mean that the caller sent no timeout.
constexpr double kOverdueTimeoutSeconds = 1e-6;
// Sent with rejections before the runtime is ready.
constexpr double kNotReadyRetryAfterSeconds = 0.5;
constexpr double kSelfTestTimeoutSeconds = 2;
constexpr std::size_t kMaxPendingChecks = 64;  // beyond this, checks are answered without a self test
constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

RequestIntake::~RequestIntake() {
  reactor_.cancel(startup_timer_);
  for (auto& [tag, check] : pending_checks_) reactor_.cancel(check.timeout);
}

bool RequestIntake::may_have_run(RequestId id) const {
  const InFlightRequest* request = stages_.in_flight.find(id);
  return request != nullptr && (request->started || request->awaits_keyed_original);
}

bool RequestIntake::may_be_rejected(const peers::IncomingRequest& incoming) const {
  InFlightRequest entry;
  entry.route_name = catalog_.route_name(incoming.route);
  entry.route_settings = catalog_.route(incoming.route);
  const bool is_keyed = entry.route_settings.idempotency == Idempotency::kWithKey;
  if (is_keyed && startup_queue_.holds_duplicate_of(incoming)) return false;
  return !stages_.replay.may_have_run(to_admission_request(incoming, net::unix_now()), incoming, entry);
}

void RequestIntake::on_request_read(peers::IncomingRequest incoming) {
  const double now = net::unix_now();
  const Request request = to_admission_request(incoming, now);
  count_read_delay(request.age);
  InFlightRequest& in_flight_request = add_in_flight(incoming, request.age, now);
  if (stages_.admission.is_started()) return decide(request, incoming, in_flight_request);
  if (incoming.received_at <= 0) incoming.received_at = now;
  wait_or_reject(std::move(incoming), in_flight_request, now);
}

void RequestIntake::decide(Request request, peers::IncomingRequest& incoming,
                           InFlightRequest& in_flight_request) {
  if (stages_.replay.answer_if_known(request, incoming, in_flight_request))
    return stages_.in_flight.release_if_over(in_flight_request);
  if (incoming.is_lookup_only && request.duplicate_of == 0) {
    // This server remembers no keys, so it cannot tell whether the key is known. The lookup is rejected.
    stages_.in_flight.reject(in_flight_request, 0, true);
    return stages_.in_flight.release_if_over(in_flight_request);
  }
  stages_.admission.on_request(request);
}

// ---- Before the runtime is ready.

void RequestIntake::wait_or_reject(peers::IncomingRequest incoming, InFlightRequest& in_flight_request,
                                   double unix_now) {
  const double now = net::monotonic_now();
  if (!startup_queue_.accepts(in_flight_request.body.size(), in_flight_request.deadline - unix_now, now))
    return reject_not_ready(incoming, in_flight_request);
  startup_queue_.add(std::move(incoming), in_flight_request.body.size(), now);
  if (startup_timer_.number != 0) return;
  startup_timer_ = reactor_.at(*startup_queue_.wait_end(), [this] { reject_waiting(); });
}

// Rejects a request because the runtime is not ready. Retries are allowed: other servers may have capacity.
// A keyed request fails instead if another one with its key waits, or if an earlier process may have run it.
void RequestIntake::reject_not_ready(const peers::IncomingRequest& incoming,
                                     InFlightRequest& in_flight_request) {
  const double retry_after = site_.admission.sends_retry_after
                                 ? std::min(kNotReadyRetryAfterSeconds, site_.admission.max_retry_after)
                                 : 0;
  if (may_be_rejected(incoming)) {
    stages_.in_flight.reject(in_flight_request, retry_after, false);
  } else {
    stages_.in_flight.fail(in_flight_request);
  }
  stages_.in_flight.release_if_over(in_flight_request);
}

void RequestIntake::reject_waiting() {
  for (const peers::IncomingRequest& incoming : startup_queue_.close())
    reject_not_ready(incoming, *stages_.in_flight.find(incoming.id));
}

void RequestIntake::on_runtime_ready() {
  for (peers::IncomingRequest& incoming : startup_queue_.close())
    decide(to_admission_request(incoming, net::unix_now()), incoming, *stages_.in_flight.find(incoming.id));
}

void RequestIntake::on_drain() { reject_waiting(); }

// ---- Incoming requests.

Request RequestIntake::to_admission_request(const peers::IncomingRequest& incoming, double now) const {
  Request request;
  request.id = incoming.id;
  request.route = incoming.route;
  request.subject = incoming.subject;
  request.size_kb = incoming.size_kb;
  request.caller = incoming.caller;
  request.tenant = incoming.tenant;
  request.is_retry = incoming.is_retry;
  request.is_write = incoming.subject == 0;
  // Work hints of callers are used only if the settings announce them.
  if (site_.has_work_hints) request.work_hint = incoming.work_hint;
  request.age = incoming.received_at > 0 ? std::max(0.0, now - incoming.received_at) : 0;
  if (incoming.client_timeout > 0)
    request.remaining_timeout = std::max(kOverdueTimeoutSeconds, incoming.client_timeout - request.age);
  return request;
}

void RequestIntake::count_read_delay(double seconds) {
  const auto microseconds = static_cast<std::uint64_t>(seconds * kMicrosecondsPerSecond);
  counters_.add(Count::kReadsSumDelayUs, microseconds);
  counters_.update_max(Count::kReadsMaxDelayUs, microseconds);
  if (seconds > kLateReadSeconds) counters_.add(Count::kReadsLate);
}

InFlightRequest& RequestIntake::add_in_flight(peers::IncomingRequest& incoming, double age, double now) {
  const Route& route = catalog_.route(incoming.route);
  InFlightRequest entry;
  entry.id = incoming.id;
  entry.route = incoming.route;
  entry.route_name = catalog_.route_name(incoming.route);
  entry.route_settings = route;
  entry.version = catalog_.version();
  entry.reply_to = incoming.reply_to;
  // Result replay still needs the body, because duplicates may be recognised by its digest.
  entry.body = stages_.replay.is_enabled() ? incoming.body : std::move(incoming.body);
  entry.deadline = now - age + (incoming.client_timeout > 0 ? incoming.client_timeout : route.timeout);
  return stages_.in_flight.add(std::move(entry));
}

void RequestIntake::on_caller_disconnected(RequestId id) {
  InFlightRequest* request = stages_.in_flight.find(id);
  if (request == nullptr || request->answered) return;
  stages_.in_flight.on_caller_disconnected(*request);
  if (startup_queue_.remove(id)) return stages_.in_flight.release_if_over(*request);
  if (request->run == RunStage::kInCall) stages_.sender.cancel_call(*request);
  stages_.admission.on_caller_disconnected(id);
  request = stages_.in_flight.find(id);
  if (request != nullptr) stages_.in_flight.release_if_over(*request);
}

void RequestIntake::on_health_check(peers::ReplyAddress reply_to, bool requires_self_test) {
  const bool healthy = stages_.admission.is_started() && stages_.sender.healthy();
  const bool needs_self_test = healthy && requires_self_test && site_.admission.deep_health_checks &&
                               !stages_.sender.answers_from_store();
  if (!needs_self_test || pending_checks_.size() >= kMaxPendingChecks)
    return peers_.callers->answer_health_check(reply_to, healthy);
  const std::uint64_t tag = next_tag_++;
  const auto timeout =
      reactor_.after(kSelfTestTimeoutSeconds, [this, tag] { on_self_test_result(tag, false); });
  pending_checks_[tag] = {reply_to, timeout};
  peers_.runtime->self_test(tag);
}

void RequestIntake::on_self_test_result(std::uint64_t tag, bool has_passed) {
  const auto found = pending_checks_.find(tag);
  if (found == pending_checks_.end()) return;
  reactor_.cancel(found->second.timeout);
  peers_.callers->answer_health_check(found->second.reply_to, has_passed && stages_.sender.healthy());
  pending_checks_.erase(found);
}

}  // namespace damsonspoke::stages
