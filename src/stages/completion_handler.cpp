#include "stages/completion_handler.h"

namespace damsonspoke::stages {
namespace {

Count count_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk: return Count::kRunsSucceeded;
    case Outcome::kError: return Count::kRunsFailed;
    case Outcome::kCancelled: return Count::kRunsCancelled;
    default: return Count::kRunsNotStarted;
  }
}

}  // namespace

// A new process is reported as healthy until the controller reports otherwise. Without deep checks, the
// controller publishes no health at its start, and the server would never be listed in the registry.
void CompletionHandler::on_runtime_ready(bool is_cold, double seconds_ago) {
  sender_.start_warm_up(is_cold, seconds_ago);
  sender_.set_health(true, false);
  admission_.start(is_cold, seconds_ago);
  intake_.on_runtime_ready();
}

void CompletionHandler::on_run_ended(RequestId id, Outcome outcome, double run_seconds,
                                     std::string_view result) {
  counters_.add(count_of(outcome));
  InFlightRequest* request = in_flight_.find(id);
  if (request == nullptr) return replay_.on_late_run_end(id, outcome, result);
  // A run whose start was sent twice may end twice. The first end counts: its result may already be in the
  // process of being written to the store.
  if (!request->is_at_runtime()) return;
  if (request->run == RunStage::kInCall) sender_.cancel_call(*request);
  // A stopped run whose request has not been answered continues later.
  const bool continues = outcome == Outcome::kCancelled && !request->answered;
  request->run = continues && pauses_ ? RunStage::kPaused : RunStage::kNone;
  if (request->run == RunStage::kPaused) request->was_paused = true;
  // A run whose resumption was not carried out has already executed in part, so its request must not be
  // treated as one that never ran.
  if (outcome == Outcome::kObsolete && request->was_paused) outcome = Outcome::kError;
  const bool answer_follows = replay_.on_run_ended(*request, outcome, result);
  if (outcome == Outcome::kOk && !answer_follows) in_flight_.succeed(*request, result);
  // kObsolete: the runtime started nothing, because it considers the request over.
  if (outcome == Outcome::kError || outcome == Outcome::kObsolete) in_flight_.fail(*request);
  admission_.on_run_finished(id, outcome, run_seconds);
  request = in_flight_.find(id);
  if (request != nullptr) in_flight_.release_if_over(*request);
}

void CompletionHandler::on_not_started(RequestId id) { on_run_ended(id, Outcome::kObsolete, 0, {}); }

// The duplicates of the request fail with "outcome unknown"; none of them runs.
void CompletionHandler::on_run_given_up(RequestId id) {
  InFlightRequest* request = in_flight_.find(id);
  if (request == nullptr) return;
  counters_.add(Count::kRunsGivenUp);
  // The end of this run was not observed. If the request has been answered, admission must not learn from it.
  const Outcome outcome = request->answered ? Outcome::kCancelled : Outcome::kError;
  in_flight_.fail(*request);
  request->run = RunStage::kNone;
  replay_.on_run_given_up(*request);
  admission_.on_run_finished(id, outcome, 0);
  request = in_flight_.find(id);
  if (request != nullptr) in_flight_.release_if_over(*request);
}

// A run that was lost in the restart may have had its effect: its request fails and is not run again.
void CompletionHandler::on_runtime_restarted(const std::unordered_set<RequestId>& unsent) {
  for (const RequestId id : in_flight_.at_runtime()) {
    if (!unsent.contains(id)) on_run_ended(id, Outcome::kError, 0, {});
  }
}

void CompletionHandler::on_call_requested(RequestId id, std::uint64_t notice, std::string_view body) {
  InFlightRequest* request = in_flight_.find(id);
  if (request == nullptr || !request->is_at_runtime()) return;
  request->run = RunStage::kInCall;
  request->call_notice = notice;
  request->call_body = body;
  admission_.on_call_needed(id);
}

void CompletionHandler::on_call_ended(RequestId id, Outcome outcome, double call_seconds,
                                      std::string_view reply) {
  InFlightRequest* request = in_flight_.find(id);
  if (request == nullptr || request->run != RunStage::kInCall) return;
  if (outcome == Outcome::kOk) sender_.deliver_reply(*request, reply);
  admission_.on_call_finished(id, outcome, call_seconds);
}

}  // namespace damsonspoke::stages
