#include "tier/wait_queues.h"

#include <algorithm>

namespace damsonspoke::tier {

std::size_t WaitQueues::size() const {
  std::size_t count = shared_.size();
  for (const WaitQueue& queue : of_planners_) count += queue.size();
  return count;
}

std::vector<RequestId> WaitQueues::take_keyed() {
  std::vector<RequestId> taken;
  for (WaitQueue& queue : of_planners_) {
    while (const std::optional<RequestId> id = queue.front()) {
      queue.remove(*id);
      taken.push_back(*id);
    }
  }
  std::sort(taken.begin(), taken.end());
  return taken;
}

}  // namespace damsonspoke::tier
