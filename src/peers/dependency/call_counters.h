// The counter of each way in which a call to the dependency ends.
#pragma once

#include "admission/request.h"
#include "observability/counters.h"

namespace damsonspoke::peers {

[[nodiscard]] inline Count counter_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk: return Count::kCallsOk;
    case Outcome::kRejected: return Count::kCallsRejected;
    case Outcome::kTimeout: return Count::kCallsTimedOut;
    case Outcome::kObsolete: return Count::kCallsObsolete;
    case Outcome::kUnreachable: return Count::kCallsUnreachable;
    case Outcome::kReset: return Count::kCallsBroken;
    default: return Count::kCallsFailed;
  }
}

}  // namespace damsonspoke::peers
