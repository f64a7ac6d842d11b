// The state of one request inside the admission controller.
#pragma once

#include <map>

#include "admission/options.h"
#include "admission/request.h"

namespace damsonspoke {

enum class RequestStage {
  kQueued,            // waits for a core; its run starts from the beginning
  kRunning,           // has a core
  kPaused,            // waits for a core; its run goes on where it was stopped
  kAwaitingCall,      // its run waits until a dependency call is made
  kInCall,            // its run waits for the end of a dependency call
  kAwaitingOriginal,  // a duplicate that is answered when its original is
};

// Times are seconds on the controller's clock.
struct RequestState {
  Request request;
  Route route;  // as it was when the request was read: later changes don't touch it
  RequestStage stage = RequestStage::kQueued;
  bool answered = false;  // or its caller has gone
  bool has_run = false;
  double deadline = 0;      // when it is answered at the latest
  double useful_until = 0;  // after that its answer has lost most of its value
  double charged_kb = 0;    // in the byte pool
  double stage_since = 0;
  double run_time = 0;            // of finished spells on the cores
  double call_time = 0;           // of finished spells waiting for and in dependency calls
  int calls = 0;                  // that its run has asked for
  int call_attempts = 0;          // at the present one
  double next_call_at = 0;        // backoff: no attempt before
  double reserved_call_time = 0;  // of the call budget, for the attempt in flight
  double key_expires_at = 0;
};

// Ordered by id, so that sums over it do not depend on the hash of the ids.
using RequestTable = std::map<RequestId, RequestState>;

}  // namespace damsonspoke
