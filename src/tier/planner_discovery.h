// Which planners a forwarder has, by what members of the fleet tell: those of its list, and those that serve
// as planners in the view. One that falls silent stays for a while, so that a short absence moves no keys;
// one that has left goes at once. Pure policy.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace damsonspoke::tier {

struct PlannerStatus {
  std::string address;  // address
  bool is_alive = false, has_left = false;
};

class PlannerDiscovery {
 public:
  struct Options {
    double settle_seconds = 1;      // s that a new one has to be there before it is given requests
    double retention_seconds = 60;  // s that a silent one is kept
    std::size_t max_planners = 64;
  };
  explicit PlannerDiscovery(Options options) : options_(options) {}
  // The planners from now on: `listed` first, in their order. Never none where there was one: a view that has
  // lost everybody says more of itself than of them.
  std::vector<std::string> planners(const std::vector<std::string>& listed,
                                    const std::vector<PlannerStatus>& seen, double now);

 private:
  struct Known {
    double first = 0, last = 0;
    bool left = false;
  };
  const Options options_;
  std::map<std::string, Known> known_;
  std::vector<std::string> last_;
};

}  // namespace damsonspoke::tier
