#include "tier/planner_discovery.h"

#include <algorithm>

namespace damsonspoke::tier {

std::vector<std::string> PlannerDiscovery::planners(const std::vector<std::string>& listed,
                                                    const std::vector<PlannerStatus>& seen, double now) {
  for (const PlannerStatus& one : seen) {
    if (one.address.empty()) continue;
    const auto found = known_.find(one.address);
    if (one.has_left) {
      // Two lives may have served at one address: it has left when none that is there serves there.
      const bool other = std::any_of(seen.begin(), seen.end(), [&](const PlannerStatus& o) {
        return o.address == one.address && o.is_alive;
      });
      if (!other && found != known_.end()) found->second.left = true;
    } else if (one.is_alive) {
      if (found == known_.end()) {
        known_[one.address] = {now, now, false};
      } else {
        if (found->second.left) found->second.first = now;
        found->second.left = false;
        found->second.last = now;
      }
    }
  }
  std::erase_if(known_, [&](const auto& one) { return now - one.second.last > options_.retention_seconds; });
  std::vector<std::string> out = listed;
  for (const auto& [address, known] : known_) {
    // Where there is none yet, any is better than none.
    const bool wanted = !known.left && (last_.empty() || now - known.first >= options_.settle_seconds);
    if (!wanted || out.size() >= options_.max_planners ||
        std::find(out.begin(), out.end(), address) != out.end())
      continue;
    out.push_back(address);
  }
  if (out.empty()) return last_;
  last_ = out;
  return out;
}

}  // namespace damsonspoke::tier
