// What a new life believes of what an earlier one has written. Pure policy.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "results/database.h"

namespace damsonspoke::results {

struct RecoveredEntry {
  bool is_live = false;          // its window is not over
  double remaining_seconds = 0;  // s until it is
};

class Recovery {
 public:
  // `windows`: s in which repeats may come, by route; of those that are not there, none.
  explicit Recovery(std::unordered_map<std::string, double> windows);

  // Windows are written by the Unix clock, which may have been set since. One that was set back must not make
  // a window longer than its route's; one that was set forward ends windows early, which can't be told from
  // time that has passed.
  RecoveredEntry assess(const Row& row, std::int64_t now_unix_ms) const;

 private:
  std::unordered_map<std::string, double> windows_;  // s, by route
  double longest_ = 0;
};

}  // namespace damsonspoke::results
