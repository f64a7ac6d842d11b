// The gossip queue and its rate limit. CTest compares with tests/traces/members_CASE.txt.
// usage: gossip - CASE
#include <string>
#include <vector>

#include "members/gossip_queue.h"
#include "members/gossip_rate_limiter.h"
#include "scenarios.h"

using namespace damsonspoke::members;

namespace {

// The order in which updates are sent.
void gossip_queue() {
  GossipQueue gossip;
  for (int member = 1; member <= 4; ++member) gossip.add(member, 2);
  say("of equal updates the newest go first", gossip.take(2) == std::vector<int>({4, 3}));
  say("then the updates sent least often", gossip.take(3) == std::vector<int>({2, 1, 4}));
  gossip.add(2, 2);
  say("a new update of a member replaces the old one",
      gossip.take(1) == std::vector<int>({2}) && gossip.size() == 3);
  gossip.add(5, 1, true);
  say("an urgent update goes first, and alone if only urgent ones may be sent",
      gossip.has_urgent() && gossip.take(9, GossipQueue::Filter::kUrgentOnly) == std::vector<int>({5}) &&
          !gossip.has_urgent() && gossip.size() == 3);
  gossip.forget(2);
  gossip.forget(9);
  say("a forgotten update is not sent again, the others as often as requested",
      gossip.take(9) == std::vector<int>({3, 1}) && gossip.empty() && gossip.take(1).empty());
}

// The debt after exceeding the rate is bounded.
void gossip_rate_limit() {
  GossipRateLimiter limiter(1000, 500);
  limiter.charge(500);
  say("the budget is spent and is refilled with time", !limiter.has_budget(0) && limiter.has_budget(0.1));
  for (int i = 0; i < 1000; ++i) limiter.charge(1000);
  say("exceeding the rate by far blocks other gossip for the time of one burst only",
      !limiter.has_budget(0.4) && limiter.has_budget(0.7));
}

}  // namespace

int main(int argc, char** argv) {
  std::string unused;
  return run_scenario(argc, argv, unused,
                      {{"gossip_queue", gossip_queue}, {"gossip_rate_limit", gossip_rate_limit}});
}
