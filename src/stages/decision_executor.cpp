#include "stages/decision_executor.h"

#include "observability/invariants.h"

namespace damsonspoke::stages {

// The controller makes no decisions about requests that are over. Such a decision is counted as a broken
// invariant and ignored.
InFlightRequest* DecisionExecutor::find(RequestId id) {
  InFlightRequest* request = in_flight_.find(id);
  check_invariant(request != nullptr, counters_);
  return request;
}

void DecisionExecutor::start(RequestId id) {
  InFlightRequest* request = find(id);
  if (request == nullptr) return;
  if (request->run == RunStage::kPaused) return sender_.resume(*request);
  if (!replay_.defer_start(*request)) sender_.start(*request);
}

void DecisionExecutor::interrupt(RequestId id) {
  if (InFlightRequest* request = find(id)) sender_.stop(*request);
}

void DecisionExecutor::reject(RequestId id, double retry_after, bool no_retry) {
  InFlightRequest* request = find(id);
  if (request == nullptr) return;
  in_flight_.reject(*request, retry_after, no_retry);
  in_flight_.release_if_over(*request);
}

// A run that waits for a call ends by itself once its request is answered. If the request was answered before
// the runtime requested the call, the run is stopped.
void DecisionExecutor::fail(RequestId id) {
  InFlightRequest* request = find(id);
  if (request == nullptr) return;
  const bool was_answered = request->answered;
  if (request->run == RunStage::kInCall) sender_.cancel_call(*request);
  in_flight_.fail(*request);
  if (was_answered && request->run != RunStage::kNone) sender_.stop(*request);
  in_flight_.release_if_over(*request);
}

void DecisionExecutor::call(RequestId id, double timeout) {
  InFlightRequest* request = find(id);
  if (request != nullptr && check_invariant(request->run == RunStage::kInCall, counters_))
    sender_.call(*request, timeout);
}

void DecisionExecutor::skip_call(RequestId id) {
  InFlightRequest* request = find(id);
  if (request != nullptr && check_invariant(request->run == RunStage::kInCall, counters_))
    sender_.skip_call(*request);
}

// The controller makes these decisions only if results are enabled: at the start, enable_required_results()
// (settings/config_validation.h) enables them if the settings need them. Likewise, find_unsupported() rejects
// settings that would require publish_load_feedback().
void DecisionExecutor::remember(RequestId id, double ttl) {
  if (check_invariant(replay_.is_enabled(), counters_)) replay_.remember_key(id, ttl);
}

void DecisionExecutor::forget(RequestId id) {
  if (check_invariant(replay_.is_enabled(), counters_)) replay_.forget_key(id);
}

void DecisionExecutor::join(RequestId id) {
  if (check_invariant(replay_.is_enabled(), counters_)) replay_.join_original(id);
}

void DecisionExecutor::publish_load_feedback(double) { check_invariant(false, counters_); }

}  // namespace damsonspoke::stages
