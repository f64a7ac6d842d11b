#include "tier/windows.h"

#include "tier/slot_worth.h"

namespace damsonspoke::tier {

bool Windows::cold(double now) const {
  return began_at_ < 0 || (cold_ && now - began_at_ < warming_.slow_start_seconds);
}

// A planner is cold once in its life: warm, nothing is kept of who came and went. Guards against forwarders
// that come back under new lives without end.
void Windows::look(double now, const std::function<std::size_t(Parts::Link)>& open) {
  if (!cold(now)) return parts_.clear();
  const double age = began_at_ < 0 ? 0 : now - began_at_;
  parts_.look(now, cold_budget(warming_.cores, warming_.slow_start_speed, warming_.slow_start_seconds, age), open);
}

std::uint32_t Windows::window(Parts::Link link, std::size_t links, double now) const {
  return cold(now) ? parts_.part(link) : window_of(warming_.cores, links);
}

}  // namespace damsonspoke::tier
