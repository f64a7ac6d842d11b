// Answers duplicate requests with the outcome of their original request, and rejects requests that never ran.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "net/reactor.h"
#include "settings/settings.h"
#include "stages/in_flight_requests.h"

namespace damsonspoke::stages {

class AdmissionDriver;

// The outcome of the original request of a duplicate.
enum class OriginalOutcome : std::uint8_t { kSucceeded, kUnknown, kNeverRan };

class DuplicateReplies {
 public:
  DuplicateReplies(net::Reactor& reactor, InFlightRequests& in_flight, AdmissionDriver& admission,
                   const StartSettings& site)
      : reactor_(reactor), in_flight_(in_flight), admission_(admission), site_(site) {}

  // Rejects a request that never ran. `retry_after`: seconds; sent only if the settings enable retry advice,
  // and capped at the configured maximum.
  void reject(InFlightRequest& request, double retry_after);

  // Answers a duplicate now. Reports its end to admission on the next event-loop iteration, because this may
  // be called while admission makes a decision. Does nothing if the duplicate is no longer in flight.
  void answer(RequestId duplicate, OriginalOutcome outcome, std::string_view result = {});
  void answer_all(const std::vector<RequestId>& duplicates, OriginalOutcome outcome,
                  std::string_view result = {});

 private:
  net::Reactor& reactor_;
  InFlightRequests& in_flight_;
  AdmissionDriver& admission_;
  const StartSettings& site_;
};

}  // namespace damsonspoke::stages
