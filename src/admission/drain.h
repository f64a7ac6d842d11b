// State of the graceful shutdown.
#pragma once

namespace damsonspoke {

// Times are seconds on the controller's clock.
struct DrainState {
  double notified_at = -1;  // negative: the server is not draining
  double stop_at = 0;

  [[nodiscard]] bool draining() const { return notified_at >= 0; }
};

}  // namespace damsonspoke
