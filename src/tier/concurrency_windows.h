// How many attempts each forwarder may have open at this planner: warm, twice its even part, as what comes
// too much is rejected; cold, a part of what it takes then (tier/parts), since the sum of what many send is
// what a cold planner falls under. Pure policy. Seconds on one clock that never steps back.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

#include "tier/slow_start_shares.h"

namespace damsonspoke::tier {

// As the settings tell of a planner.
struct SlowStartOptions {
  int cores = 1;
  double slow_start_speed = 1;    // share of its speed with which a cold life begins
  double slow_start_seconds = 0;  // s until it is warm
};

class ConcurrencyWindows {
 public:
  explicit ConcurrencyWindows(SlowStartOptions options) : options_(options) {}

  // The work behind the planner came up at this time. Until it is told so nothing can run there: what may be
  // sent is as little as at the beginning of a cold life.
  void on_runtime_started(bool cold, double at) {
    cold_ = cold;
    started_at_ = at;
  }
  void add_forwarder(SlowStartShares::Link link) { shares_.add(link); }
  void remove_forwarder(SlowStartShares::Link link, double now) { shares_.remove(link, now); }
  void rebalance(double now, const std::function<std::size_t(SlowStartShares::Link)>& open);
  std::uint32_t window(SlowStartShares::Link link, std::size_t links, double now) const;
  std::size_t tracked_forwarders() const { return shares_.size(); }

 private:
  bool is_warming_up(double now) const;

  const SlowStartOptions options_;
  SlowStartShares shares_;
  bool cold_ = true;
  double started_at_ = -1;  // < 0: it has not come up yet
};

}  // namespace damsonspoke::tier
