#include "stages/duplicate_replies.h"

#include <algorithm>

#include "stages/admission_driver.h"

namespace damsonspoke::stages {

void DuplicateReplies::reject(InFlightRequest& request, double retry_after) {
  const AdmissionOptions& options = site_.admission;
  const double advice = options.sends_retry_after ? std::min(retry_after, options.max_retry_after) : 0;
  in_flight_.reject(request, advice, false);
}

void DuplicateReplies::answer(RequestId duplicate, OriginalOutcome outcome, std::string_view result) {
  InFlightRequest* request = in_flight_.find(duplicate);
  if (request == nullptr) return;
  switch (outcome) {
    case OriginalOutcome::kSucceeded: in_flight_.succeed(*request, result); break;
    case OriginalOutcome::kUnknown: in_flight_.fail(*request, peers::FailureReason::kOutcomeUnknown); break;
    case OriginalOutcome::kNeverRan: reject(*request, 0); break;
  }
  reactor_.post([this, duplicate, outcome] {
    if (!in_flight_.contains(duplicate)) return;
    const bool succeeded = outcome == OriginalOutcome::kSucceeded;
    admission_.on_run_finished(duplicate, succeeded ? Outcome::kOk : Outcome::kObsolete, 0);
    InFlightRequest* finished = in_flight_.find(duplicate);
    if (finished != nullptr) in_flight_.release_if_over(*finished);
  });
}

void DuplicateReplies::answer_all(const std::vector<RequestId>& duplicates, OriginalOutcome outcome,
                                  std::string_view result) {
  for (const RequestId duplicate : duplicates) answer(duplicate, outcome, result);
}

}  // namespace damsonspoke::stages
