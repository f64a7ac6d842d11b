#include "stages/route.h"

#include "watch/invariants.h"

namespace damsonspoke::stages {

// Acts on what is over are harmless, but the module does not take any: one here is counted.
OpenOp* Route::known(OpId id) {
  OpenOp* op = book_.find(id);
  must_hold(op != nullptr, counters_);
  return op;
}

void Route::start(OpId id) {
  OpenOp* op = known(id);
  if (op == nullptr) return;
  if (op->run == Run::kPaused) return send_.resume(*op);
  if (!recall_.hold_start(*op)) send_.start(*op);
}

void Route::interrupt(OpId id) {
  if (OpenOp* op = known(id)) send_.stop(*op);
}

void Route::reject(OpId id, double come_back_in, bool no_retry) {
  OpenOp* op = known(id);
  if (op == nullptr) return;
  book_.nack(*op, come_back_in, no_retry);
  book_.settle(*op);
}

// A run that stands at a call ends by itself once its op is answered. Where the answer had been given before
// the runtime told of the call, it is stopped.
void Route::fail(OpId id) {
  OpenOp* op = known(id);
  if (op == nullptr) return;
  const bool before = op->answered;
  if (op->run == Run::kAtCall) send_.give_up_call(*op);
  book_.fail(*op);
  if (before && op->run != Run::kNone) send_.stop(*op);
  book_.settle(*op);
}

void Route::call(OpId id, double patience) {
  OpenOp* op = known(id);
  if (op != nullptr && must_hold(op->run == Run::kAtCall, counters_)) send_.call(*op, patience);
}

void Route::skip_call(OpId id) {
  OpenOp* op = known(id);
  if (op != nullptr && must_hold(op->run == Run::kAtCall, counters_)) send_.omit(*op);
}

// Settings under which the module would take acts that nobody serves are refused at the start (see unserved()
// of the configuration), so none of them comes.
void Route::remember(OpId id, double ttl) {
  if (must_hold(recall_.on(), counters_)) recall_.remember(id, ttl);
}
void Route::forget(OpId id) {
  if (must_hold(recall_.on(), counters_)) recall_.forget(id);
}
void Route::join(OpId id) {
  if (must_hold(recall_.on(), counters_)) recall_.join(id);
}
void Route::announce(double) { must_hold(false, counters_); }

}  // namespace damsonspoke::stages
