#include "tier/concurrency_windows.h"

#include "tier/slot_value.h"

namespace damsonspoke::tier {

bool ConcurrencyWindows::cold(double now) const {
  return began_at_ < 0 || (cold_ && now - began_at_ < warming_.slow_start_seconds);
}

// A planner is cold once in its life: warm, nothing is kept of who came and went. Guards against forwarders
// that come back under new lives without end.
void ConcurrencyWindows::look(double now, const std::function<std::size_t(SlowStartShares::Link)>& open) {
  if (!cold(now)) return parts_.clear();
  const double age = began_at_ < 0 ? 0 : now - began_at_;
  parts_.look(now,
              slow_start_budget(warming_.cores, warming_.slow_start_speed, warming_.slow_start_seconds, age),
              open);
}

std::uint32_t ConcurrencyWindows::window(SlowStartShares::Link link, std::size_t links, double now) const {
  return cold(now) ? parts_.part(link) : window_of(warming_.cores, links);
}

}  // namespace damsonspoke::tier
