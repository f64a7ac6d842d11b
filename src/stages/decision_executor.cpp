#include "stages/decision_executor.h"

#include "observability/invariants.h"

namespace damsonspoke::stages {

// Acts on what is over are harmless, but the module does not take any: one here is counted.
InFlightRequest* DecisionExecutor::known(RequestId id) {
  InFlightRequest* request = in_flight_.find(id);
  must_hold(request != nullptr, counters_);
  return request;
}

void DecisionExecutor::start(RequestId id) {
  InFlightRequest* request = known(id);
  if (request == nullptr) return;
  if (request->run == Run::kPaused) return sender_.resume(*request);
  if (!replay_.hold_start(*request)) sender_.start(*request);
}

void DecisionExecutor::interrupt(RequestId id) {
  if (InFlightRequest* request = known(id)) sender_.stop(*request);
}

void DecisionExecutor::reject(RequestId id, double retry_after, bool no_retry) {
  InFlightRequest* request = known(id);
  if (request == nullptr) return;
  in_flight_.reject(*request, retry_after, no_retry);
  in_flight_.settle(*request);
}

// A run that stands at a call ends by itself once its request is answered. Where the answer had been given
// before the runtime told of the call, it is stopped.
void DecisionExecutor::fail(RequestId id) {
  InFlightRequest* request = known(id);
  if (request == nullptr) return;
  const bool before = request->answered;
  if (request->run == Run::kAtCall) sender_.give_up_call(*request);
  in_flight_.fail(*request);
  if (before && request->run != Run::kNone) sender_.stop(*request);
  in_flight_.settle(*request);
}

void DecisionExecutor::call(RequestId id, double patience) {
  InFlightRequest* request = known(id);
  if (request != nullptr && must_hold(request->run == Run::kAtCall, counters_))
    sender_.call(*request, patience);
}

void DecisionExecutor::skip_call(RequestId id) {
  InFlightRequest* request = known(id);
  if (request != nullptr && must_hold(request->run == Run::kAtCall, counters_)) sender_.omit(*request);
}

// Settings under which the module would take acts that nobody serves are refused at the start (see unserved()
// of the configuration), so none of them comes.
void DecisionExecutor::remember(RequestId id, double ttl) {
  if (must_hold(replay_.on(), counters_)) replay_.remember(id, ttl);
}
void DecisionExecutor::forget(RequestId id) {
  if (must_hold(replay_.on(), counters_)) replay_.forget(id);
}
void DecisionExecutor::join(RequestId id) {
  if (must_hold(replay_.on(), counters_)) replay_.join(id);
}
void DecisionExecutor::publish_load_feedback(double) { must_hold(false, counters_); }

}  // namespace damsonspoke::stages
