#include "tier/concurrency_windows.h"

#include "tier/slot_value.h"

namespace damsonspoke::tier {

bool ConcurrencyWindows::is_warming_up(double now) const {
  return started_at_ < 0 || (cold_ && now - started_at_ < options_.slow_start_seconds);
}

// A planner warms up once. When it is warm the shares are dropped, so that forwarders that reconnect
// repeatedly do not accumulate entries.
void ConcurrencyWindows::rebalance(double now, const std::function<std::size_t(Forwarder)>& open) {
  if (!is_warming_up(now)) {
    shares_.clear();
    return;
  }
  const double age = started_at_ < 0 ? 0 : now - started_at_;
  const double budget =
      slow_start_budget(options_.cores, options_.slow_start_speed, options_.slow_start_seconds, age);
  shares_.rebalance(now, budget, open);
}

std::uint32_t ConcurrencyWindows::window(Forwarder forwarder, std::size_t linked_forwarders,
                                         double now) const {
  return is_warming_up(now) ? shares_.share(forwarder) : warm_window(options_.cores, linked_forwarders);
}

}  // namespace damsonspoke::tier
