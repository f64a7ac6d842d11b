#include "stages/in_flight_requests.h"

#include <algorithm>

#include "net/reactor.h"
#include "observability/invariants.h"

namespace damsonspoke::stages {
namespace {

const char* text_of(Count answer) {
  switch (answer) {
    case Count::kRequestsSucceeded: return "acked";
    case Count::kRequestsRejected: return "rejected";
    case Count::kRequestsFailed: return "failed";
    default: return "gone";
  }
}

}  // namespace

InFlightRequest& InFlightRequests::enter(InFlightRequest request) {
  const RequestId id = request.id;
  counters_.add(Count::kRequestsRead);
  must_hold(!open_.contains(id), counters_);
  ++unanswered_;
  return open_[id] = std::move(request);
}

InFlightRequest* InFlightRequests::find(RequestId id) {
  const auto found = open_.find(id);
  return found == open_.end() ? nullptr : &found->second;
}

bool InFlightRequests::answer(InFlightRequest& request, Count as) {
  if (request.answered) return false;
  request.answered = true;
  must_hold(unanswered_ > 0, counters_);
  --unanswered_;
  counters_.add(as);
  if (log_ != nullptr) {
    log_->debug("op", "{:016x} {} by version {}.{}, route {}", request.id, text_of(as), request.version.epoch,
                request.version.sequence, request.route_name);
  }
  if (as != Count::kRequestsGone && net::unix_now() > request.due) counters_.add(Count::kRequestsOverdue);
  return true;
}

void InFlightRequests::ack(InFlightRequest& request, std::string_view result) {
  if (answer(request, Count::kRequestsSucceeded)) peers_.callers->answer_succeeded(request.reply_to, result);
}
void InFlightRequests::reject(InFlightRequest& request, double retry_after, bool no_retry) {
  // A rejection says that it never ran: one that has may only fail.
  if (!must_hold(request.run == Run::kNone, counters_)) return fail(request);
  if (answer(request, Count::kRequestsRejected))
    peers_.callers->answer_rejected(request.reply_to, retry_after, no_retry);
}
void InFlightRequests::fail(InFlightRequest& request, peers::FailureReason why) {
  if (answer(request, Count::kRequestsFailed)) peers_.callers->answer_failed(request.reply_to, why);
}
std::vector<RequestId> InFlightRequests::at_runtime() const {
  std::vector<RequestId> ids;
  for (const auto& [id, request] : open_) {
    if (request.run == Run::kOnCores || request.run == Run::kPaused || request.run == Run::kAtCall)
      ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}
void InFlightRequests::caller_gone(InFlightRequest& request) { answer(request, Count::kRequestsGone); }

void InFlightRequests::settle(InFlightRequest& request) {
  // A paused run of a request that is over is dropped by the runtime, which tells nothing more of it.
  if (!request.answered || (request.run != Run::kNone && request.run != Run::kPaused)) return;
  const RequestId id = request.id;
  if (on_closed_) on_closed_(request);
  peers_.runtime->forget(id);
  open_.erase(id);
}

}  // namespace damsonspoke::stages
