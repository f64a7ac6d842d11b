// How long callers' connections may stay idle.
#pragma once

#include <cstdint>
#include <vector>

#include "admission/decision_sink.h"
#include "admission/options.h"

namespace damsonspoke {

// Open connections take a part of the cores, and a full table denies the next caller, while a new connection
// costs work. So connections are kept for the longest time where callers come back soon, and otherwise as
// briefly as reading keeps up. Times are seconds.
class IdleConnections {
 public:
  IdleConnections(const AdmissionOptions& options, DecisionSink& sink);

  // A caller's request was read.
  void observe_caller(std::uint32_t caller, double now);
  // Once a tick. `waiting_threads`: threads that want a core beside the runs; `has_capacity`: there is
  // capacity for more callers.
  void tick(double waiting_threads, bool has_capacity);

  // Share of the requests from callers that came back soon.
  [[nodiscard]] double returning_share() const { return returning_share_; }
  void restore(double returning_share) { returning_share_ = returning_share; }

 private:
  struct LastRequest {
    std::uint32_t caller = 0;
    double at = 0;
  };

  const AdmissionOptions& options_;
  DecisionSink& sink_;
  double timeout_ = 0;
  double published_;
  double returning_share_ = 1;
  std::vector<LastRequest> last_requests_;  // by a part of the caller's number
};

}  // namespace damsonspoke
