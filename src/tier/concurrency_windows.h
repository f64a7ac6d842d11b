// How many attempts each forwarder may have open at this planner. A warm planner gives each forwarder twice
// its even share and rejects attempts beyond its capacity. During its slow start a planner divides a budget
// among the forwarders (slow_start_shares.h), because the sum of their attempts must not overload it. Policy
// without I/O; times are seconds on one monotonic clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

#include "tier/slow_start_shares.h"

namespace damsonspoke::tier {

// A planner's slow start, as configured.
struct SlowStartOptions {
  int cores = 1;
  double slow_start_speed = 1;    // share of the full speed at the start, above 0 to 1
  double slow_start_seconds = 0;  // s until the planner is warm; 0: no slow start
};

class ConcurrencyWindows {
 public:
  using Forwarder = SlowStartShares::Member;

  explicit ConcurrencyWindows(SlowStartOptions options) : options_(options) {}

  // The planner's runtime started at `at`. Until then nothing can run, and forwarders get the windows of the
  // beginning of a slow start.
  void on_runtime_started(bool cold, double at) {
    cold_ = cold;
    started_at_ = at;
  }
  void add_forwarder(Forwarder forwarder) { shares_.add(forwarder); }
  void remove_forwarder(Forwarder forwarder, double now) { shares_.remove(forwarder, now); }
  // Recomputes the shares. `open` returns the number of attempts that a forwarder has open here.
  void rebalance(double now, const std::function<std::size_t(Forwarder)>& open);
  // Attempts that this forwarder may have open while `linked_forwarders` are connected.
  [[nodiscard]] std::uint32_t window(Forwarder forwarder, std::size_t linked_forwarders, double now) const;
  // Forwarders with a stored share; 0 while the planner is warm.
  [[nodiscard]] std::size_t tracked_forwarders() const { return shares_.size(); }

 private:
  [[nodiscard]] bool is_warming_up(double now) const;

  const SlowStartOptions options_;
  SlowStartShares shares_;
  bool cold_ = true;
  double started_at_ = -1;  // < 0: the runtime has not started yet
};

}  // namespace damsonspoke::tier
