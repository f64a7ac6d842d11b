// The state of one request inside the admission controller.
#pragma once

#include <map>

#include "admission/options.h"
#include "admission/request.h"

namespace damsonspoke {

enum class RequestStage {
  kQueued,            // waits for a core; its run starts from the beginning
  kRunning,           // has a core
  kPaused,            // waits for a core; its run resumes where it was stopped
  kAwaitingCall,      // its run waits until a dependency call is made
  kInCall,            // its run waits for a dependency call to end
  kAwaitingOriginal,  // a duplicate that is answered when its original is
};

// Times are seconds on the controller's clock.
struct RequestState {
  Request request;
  Route route;  // copied when the request was read; later changes of the route don't affect it
  RequestStage stage = RequestStage::kQueued;
  bool answered = false;  // or its caller has disconnected
  bool has_run = false;
  double deadline = 0;      // latest time of its answer
  double useful_until = 0;  // after this time its answer has lost most of its value
  double charged_kb = 0;    // in the byte pool
  double stage_since = 0;
  double run_time = 0;            // on the cores, without the present period
  double call_time = 0;           // queued for and in dependency calls, without the present period
  int calls = 0;                  // calls that its run has requested
  int call_attempts = 0;          // attempts at the present call
  double next_call_at = 0;        // end of the backoff before the next attempt
  double reserved_call_time = 0;  // of the call budget, for the attempt in flight
  double key_expires_at = 0;
};

// Ordered by id, so that sums over it do not depend on the hash of the ids.
using RequestTable = std::map<RequestId, RequestState>;

}  // namespace damsonspoke
