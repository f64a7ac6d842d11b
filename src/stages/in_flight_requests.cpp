#include "stages/in_flight_requests.h"

#include <algorithm>

#include "net/reactor.h"
#include "observability/invariants.h"

namespace damsonspoke::stages {
namespace {

const char* text_of(Count answer) {
  switch (answer) {
    case Count::kRequestsSucceeded: return "succeeded";
    case Count::kRequestsRejected: return "rejected";
    case Count::kRequestsFailed: return "failed";
    default: return "abandoned by its caller";
  }
}

}  // namespace

InFlightRequest& InFlightRequests::add(InFlightRequest request) {
  const RequestId id = request.id;
  counters_.add(Count::kRequestsRead);
  check_invariant(!requests_.contains(id), counters_);
  ++unanswered_;
  return requests_[id] = std::move(request);
}

InFlightRequest* InFlightRequests::find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

// Returns false if the request has been answered before.
bool InFlightRequests::mark_answered(InFlightRequest& request, Count counter) {
  if (request.answered) return false;
  request.answered = true;
  check_invariant(unanswered_ > 0, counters_);
  --unanswered_;
  counters_.add(counter);
  if (log_ != nullptr) {
    log_->debug("request", "{:016x} {}, catalog version {}.{}, route {}", request.id, text_of(counter),
                request.version.epoch, request.version.sequence, request.route_name);
  }
  if (counter != Count::kRequestsCallerGone && net::unix_now() > request.deadline)
    counters_.add(Count::kRequestsOverdue);
  return true;
}

void InFlightRequests::succeed(InFlightRequest& request, std::string_view result) {
  if (mark_answered(request, Count::kRequestsSucceeded))
    peers_.callers->answer_succeeded(request.reply_to, result);
}

void InFlightRequests::reject(InFlightRequest& request, double retry_after, bool no_retry) {
  // A rejection promises that the request never ran. A request that may have run must fail instead.
  if (!check_invariant(request.run == RunStage::kNone, counters_)) return fail(request);
  if (mark_answered(request, Count::kRequestsRejected))
    peers_.callers->answer_rejected(request.reply_to, retry_after, no_retry);
}

void InFlightRequests::fail(InFlightRequest& request, peers::FailureReason reason) {
  if (mark_answered(request, Count::kRequestsFailed)) peers_.callers->answer_failed(request.reply_to, reason);
}

void InFlightRequests::on_caller_disconnected(InFlightRequest& request) {
  mark_answered(request, Count::kRequestsCallerGone);
}

std::vector<RequestId> InFlightRequests::at_runtime() const {
  std::vector<RequestId> ids;
  for (const auto& [id, request] : requests_) {
    if (request.is_at_runtime()) ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

std::vector<RequestId> InFlightRequests::unanswered_ids() const {
  std::vector<RequestId> ids;
  for (const auto& [id, request] : requests_) {
    if (!request.answered) ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

void InFlightRequests::release_if_over(InFlightRequest& request) {
  // The runtime discards a paused run whose request is over and sends no more notices about it.
  const bool run_is_over = request.run == RunStage::kNone || request.run == RunStage::kPaused;
  if (!request.answered || !run_is_over) return;
  const RequestId id = request.id;
  if (release_listener_) release_listener_(request);
  peers_.runtime->forget_run(id);
  requests_.erase(id);
}

}  // namespace damsonspoke::stages
