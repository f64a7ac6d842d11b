#include "stages/relay.h"

namespace damsonspoke::stages {
namespace {

Count count_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk: return Count::kRunsComplete;
    case Outcome::kError: return Count::kRunsError;
    case Outcome::kCancelled: return Count::kRunsCancelled;
    default: return Count::kRunsUnknown;
  }
}

}  // namespace

// A new process is good, and not from store, until the module says otherwise: one that has no deep checks to
// answer from store says nothing at its start, and would never come on the list.
void Relay::on_runtime_ready(bool cold, double ago) {
  send_.began(cold, ago);
  send_.health(true, false);
  admit_.begin(cold, ago);
}

void Relay::on_run_ended(OpId id, Outcome outcome, double spent, std::string_view result) {
  counters_.add(count_of(outcome));
  OpenOp* op = book_.find(id);
  if (op == nullptr) return;
  if (op->run == Run::kAtCall) send_.give_up_call(*op);
  // One that was stopped and is still owed an answer goes on later; what ran is kept where the site pauses.
  const bool goes_on = outcome == Outcome::kCancelled && !op->answered;
  op->run = goes_on && pauses_ ? Run::kPaused : Run::kNone;
  const bool answer_follows = recall_.on_run_ended(*op, outcome, result);
  if (outcome == Outcome::kOk && !answer_follows) book_.ack(*op, result);
  // Nothing was started, as the op is over for the runtime: the module lets go of it, its caller is told.
  if (outcome == Outcome::kError || outcome == Outcome::kMoot) book_.fail(*op);
  admit_.on_run_end(id, outcome, spent);
  if ((op = book_.find(id)) != nullptr) book_.settle(*op);
}

void Relay::on_not_started(OpId id) { on_run_ended(id, Outcome::kMoot, 0, {}); }

// What ran may have had its effect: it is failed, never run again.
void Relay::on_runtime_anew(const std::unordered_set<OpId>& unsent) {
  for (const OpId id : book_.at_runtime()) {
    if (!unsent.contains(id)) on_run_ended(id, Outcome::kError, 0, {});
  }
}

void Relay::on_call_wanted(OpId id, std::uint64_t notice, std::string_view body) {
  OpenOp* op = book_.find(id);
  if (op == nullptr) return;
  op->run = Run::kAtCall;
  op->wanted = notice;
  op->call_body = body;
  admit_.on_call_needed(id);
}

void Relay::on_call_ended(OpId id, Outcome outcome, double spent, std::string_view reply) {
  OpenOp* op = book_.find(id);
  if (op == nullptr || op->run != Run::kAtCall) return;
  if (outcome == Outcome::kOk) send_.give(*op, reply);
  admit_.on_call_end(id, outcome, spent);
}

}  // namespace damsonspoke::stages
