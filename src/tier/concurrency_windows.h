// How many attempts each forwarder may have open at this planner. A warm planner gives each forwarder twice
// its even share and rejects what is too much. A planner that warms up hands out shares of its slow-start
// budget (slow_start_shares.h), because the sum of what all forwarders send is what overloads it. Policy
// without I/O; times are seconds on one clock that never steps back.
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
  double slow_start_seconds = 0;  // s until it is warm; 0: no slow start
};

class ConcurrencyWindows {
 public:
  using Forwarder = SlowStartShares::Member;

  explicit ConcurrencyWindows(SlowStartOptions options) : options_(options) {}

  // The runtime behind the planner started at `at`. Before that nothing can run, and forwarders get no more
  // than at the beginning of a slow start.
  void on_runtime_started(bool cold, double at) {
    cold_ = cold;
    started_at_ = at;
  }
  void add_forwarder(Forwarder forwarder) { shares_.add(forwarder); }
  void remove_forwarder(Forwarder forwarder, double now) { shares_.remove(forwarder, now); }
  // Brings the shares up to date. `open` gives the attempts that a forwarder has open here.
  void rebalance(double now, const std::function<std::size_t(Forwarder)>& open);
  // Attempts that this forwarder may have open, with so many forwarders linked.
  [[nodiscard]] std::uint32_t window(Forwarder forwarder, std::size_t linked_forwarders, double now) const;
  // Forwarders of which something is stored; none while the planner is warm.
  [[nodiscard]] std::size_t tracked_forwarders() const { return shares_.size(); }

 private:
  [[nodiscard]] bool is_warming_up(double now) const;

  const SlowStartOptions options_;
  SlowStartShares shares_;
  bool cold_ = true;
  double started_at_ = -1;  // < 0: the runtime has not started yet
};

}  // namespace damsonspoke::tier
