// The one pending timer of the admission controller.
#pragma once

#include <cstdint>

#include "admission/decision_sink.h"

namespace damsonspoke {

// Keeps the earliest of the requested times. A wakeup that was superseded by an earlier one is recognised by
// its token.
class WakeupTimer {
 public:
  explicit WakeupTimer(DecisionSink& sink) : sink_(sink) {}

  // Times are seconds on the controller's clock.
  void schedule(double time) {
    if (pending_at_ >= 0 && time >= pending_at_) return;
    pending_at_ = time;
    sink_.schedule_wakeup(time, ++token_);
  }
  // False where the token belongs to a superseded wakeup.
  [[nodiscard]] bool fired(std::uint64_t token) {
    if (token != token_) return false;
    pending_at_ = -1;
    return true;
  }

 private:
  DecisionSink& sink_;
  double pending_at_ = -1;  // negative: none
  std::uint64_t token_ = 0;
};

}  // namespace damsonspoke
