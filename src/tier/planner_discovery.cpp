#include "tier/planner_discovery.h"

#include <algorithm>

namespace damsonspoke::tier {

// `alive_elsewhere`: another member is alive at the same address, as after a restart. Then the planner at
// this address has not left.
void PlannerDiscovery::observe(const PlannerStatus& status, bool alive_elsewhere, double now) {
  const auto found = known_.find(status.address);
  if (status.has_left) {
    if (!alive_elsewhere && found != known_.end()) found->second.has_left = true;
    return;
  }
  if (!status.is_alive) return;
  if (found == known_.end()) {
    known_[status.address] = {now, now, false};
    return;
  }
  Known& known = found->second;
  if (known.has_left) known.alive_since = now;
  known.has_left = false;
  known.last_alive_at = now;
}

std::vector<std::string> PlannerDiscovery::update(const std::vector<std::string>& listed,
                                                  const std::vector<PlannerStatus>& statuses, double now) {
  for (const PlannerStatus& status : statuses) {
    if (status.address.empty()) continue;
    const bool alive_elsewhere =
        status.has_left && std::any_of(statuses.begin(), statuses.end(), [&](const PlannerStatus& other) {
          return other.address == status.address && other.is_alive;
        });
    observe(status, alive_elsewhere, now);
  }
  std::erase_if(known_, [&](const auto& entry) {
    return now - entry.second.last_alive_at > options_.retention_seconds;
  });
  std::vector<std::string> planners = listed;
  for (const auto& [address, known] : known_) {
    // While there are no planners, a new one is used without settling.
    const bool has_settled = current_.empty() || now - known.alive_since >= options_.settle_seconds;
    if (known.has_left || !has_settled || planners.size() >= options_.max_planners) continue;
    if (std::find(planners.begin(), planners.end(), address) != planners.end()) continue;
    planners.push_back(address);
  }
  if (!planners.empty()) current_ = planners;
  return current_;
}

}  // namespace damsonspoke::tier
