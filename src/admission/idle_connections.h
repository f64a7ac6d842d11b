// Decides how long callers' connections may stay idle.
#pragma once

#include <cstdint>
#include <vector>

#include "admission/decision_sink.h"
#include "admission/options.h"

namespace damsonspoke {

// Open connections cost CPU time, and a full connection table shuts out the next caller; on the other hand,
// each new connection costs work. So the idle timeout is the configured maximum while callers return soon,
// and otherwise as short as it can be without reading falling behind. Times are seconds.
class IdleConnections {
 public:
  IdleConnections(const AdmissionOptions& options, DecisionSink& sink);

  // Records that a request of this caller was read.
  void observe_caller(std::uint32_t caller, double now);
  // Called once a tick. `waiting_threads`: threads that run or wait for a core, without the runs.
  // `has_capacity`: the server can serve more callers.
  void tick(double waiting_threads, bool has_capacity);

  // Share of the requests whose caller returned soon.
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
  std::vector<LastRequest> last_requests_;  // indexed by the caller's number modulo the size
};

}  // namespace damsonspoke
