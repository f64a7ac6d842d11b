// The gossip queue and its rate limit. CTest compares with tests/traces/members_CASE.txt.
// usage: gossip - CASE
#include <string>
#include <vector>

#include "members/gossip_queue.h"
#include "members/gossip_rate_limiter.h"
#include "scenarios.h"

using namespace damsonspoke::members;

namespace {

// Which update is sent next.
void gossip_queue() {
  GossipQueue gossip;
  for (int member = 1; member <= 4; ++member) gossip.add(member, 2);
  say("of equals the newest go first", gossip.take(2) == std::vector<int>({4, 3}));
  say("then what was passed on least", gossip.take(3) == std::vector<int>({2, 1, 4}));
  gossip.add(2, 2);
  say("news anew of one takes the place of the old",
      gossip.take(1) == std::vector<int>({2}) && gossip.size() == 3);
  gossip.add(5, 1, true);
  say("urgent news goes first, and alone where only that may go",
      gossip.has_urgent() && gossip.take(9, GossipQueue::Filter::kUrgentOnly) == std::vector<int>({5}) &&
          !gossip.has_urgent() && gossip.size() == 3);
  gossip.forget(2);
  gossip.forget(9);
  say("what is forgotten goes no more, the others as often as wanted",
      gossip.take(9) == std::vector<int>({3, 1}) && gossip.empty() && gossip.take(1).empty());
}

// The debt of what exceeded the rate is bounded.
void gossip_rate_limit() {
  GossipRateLimiter limiter(1000, 500);
  limiter.charge(500);
  say("what is spent is not there, and comes with time", !limiter.has_budget(0) && limiter.has_budget(0.1));
  for (int i = 0; i < 1000; ++i) limiter.charge(1000);
  say("much that went without asking holds the rest back for a burst's time",
      !limiter.has_budget(0.4) && limiter.has_budget(0.7));
}

}  // namespace

int main(int argc, char** argv) {
  std::string unused;
  return run_scenario(argc, argv, unused,
                      {{"gossip_queue", gossip_queue}, {"gossip_rate_limit", gossip_rate_limit}});
}
