#include "tier/concurrency_windows.h"

#include "tier/slot_value.h"

namespace damsonspoke::tier {

bool ConcurrencyWindows::is_warming_up(double now) const {
  return started_at_ < 0 || (cold_ && now - started_at_ < options_.slow_start_seconds);
}

// A planner is cold once in its life: warm, nothing is kept of who came and went. Guards against forwarders
// that come back under new lives without end.
void ConcurrencyWindows::rebalance(double now,
                                   const std::function<std::size_t(SlowStartShares::Link)>& open) {
  if (!is_warming_up(now)) return shares_.clear();
  const double age = started_at_ < 0 ? 0 : now - started_at_;
  shares_.rebalance(
      now, slow_start_budget(options_.cores, options_.slow_start_speed, options_.slow_start_seconds, age),
      open);
}

std::uint32_t ConcurrencyWindows::window(SlowStartShares::Link link, std::size_t links, double now) const {
  return is_warming_up(now) ? shares_.share(link) : warm_window(options_.cores, links);
}

}  // namespace damsonspoke::tier
