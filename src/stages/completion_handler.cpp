#include "stages/completion_handler.h"

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
void CompletionHandler::on_runtime_ready(bool cold, double ago) {
  sender_.began(cold, ago);
  sender_.health(true, false);
  admission_.begin(cold, ago);
}

void CompletionHandler::on_run_ended(RequestId id, Outcome outcome, double spent, std::string_view result) {
  counters_.add(count_of(outcome));
  InFlightRequest* request = in_flight_.find(id);
  if (request == nullptr) return;
  if (request->run == Run::kAtCall) sender_.give_up_call(*request);
  // One that was stopped and is still owed an answer goes on later; what ran is kept where the site pauses.
  const bool goes_on = outcome == Outcome::kCancelled && !request->answered;
  request->run = goes_on && pauses_ ? Run::kPaused : Run::kNone;
  const bool answer_follows = replay_.on_run_ended(*request, outcome, result);
  if (outcome == Outcome::kOk && !answer_follows) in_flight_.ack(*request, result);
  // Nothing was started, as the request is over for the runtime: the module lets go of it, its caller is
  // told.
  if (outcome == Outcome::kError || outcome == Outcome::kObsolete) in_flight_.fail(*request);
  admission_.on_run_finished(id, outcome, spent);
  if ((request = in_flight_.find(id)) != nullptr) in_flight_.settle(*request);
}

void CompletionHandler::on_not_started(RequestId id) { on_run_ended(id, Outcome::kObsolete, 0, {}); }

// What ran may have had its effect: it is failed, never run again.
void CompletionHandler::on_runtime_anew(const std::unordered_set<RequestId>& unsent) {
  for (const RequestId id : in_flight_.at_runtime()) {
    if (!unsent.contains(id)) on_run_ended(id, Outcome::kError, 0, {});
  }
}

void CompletionHandler::on_call_wanted(RequestId id, std::uint64_t notice, std::string_view body) {
  InFlightRequest* request = in_flight_.find(id);
  if (request == nullptr) return;
  request->run = Run::kAtCall;
  request->call_notice = notice;
  request->call_body = body;
  admission_.on_call_needed(id);
}

void CompletionHandler::on_call_ended(RequestId id, Outcome outcome, double spent, std::string_view reply) {
  InFlightRequest* request = in_flight_.find(id);
  if (request == nullptr || request->run != Run::kAtCall) return;
  if (outcome == Outcome::kOk) sender_.give(*request, reply);
  admission_.on_call_finished(id, outcome, spent);
}

}  // namespace damsonspoke::stages
