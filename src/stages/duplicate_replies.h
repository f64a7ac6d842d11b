// Answers duplicates as their original was answered, and rejects requests that never ran.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "net/reactor.h"
#include "settings/settings.h"
#include "stages/in_flight_requests.h"

namespace damsonspoke::stages {

class AdmissionDriver;

// What became of the original of a duplicate.
enum class OriginalOutcome : std::uint8_t { kSucceeded, kUnknown, kNeverRan };

class DuplicateReplies {
 public:
  DuplicateReplies(net::Reactor& reactor, InFlightRequests& in_flight, AdmissionDriver& admission,
                   const StartSettings& site)
      : reactor_(reactor), in_flight_(in_flight), admission_(admission), site_(site) {}

  // Rejects a request that never ran. `retry_after`: seconds; sent where the site's callers obey it, and no
  // longer than the site allows.
  void reject(InFlightRequest& request, double retry_after);

  // Answers a duplicate now and reports its end to admission on the reactor's next turn, because this may be
  // called from within a decision. Nothing where the duplicate has gone.
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
