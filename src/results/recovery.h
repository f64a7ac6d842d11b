// What remains of an entry's idempotency window when a new process reads it from the store. Pure policy: the
// time is passed in.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "results/database.h"

namespace damsonspoke::results {

class Recovery {
 public:
  // `windows`: seconds in which duplicates may arrive, by route; a route that is missing has none.
  explicit Recovery(std::unordered_map<std::string, double> windows);

  // Seconds until the row expires; nothing where it has expired.
  //
  // Expiry times are stored by the Unix clock, which may have been set since. After it was set back, no
  // window becomes longer than its route's. After it was set forward, windows end early: that can't be told
  // from time that has passed.
  std::optional<double> remaining_seconds(const Row& row, std::int64_t now_unix_ms) const;

 private:
  std::unordered_map<std::string, double> windows_;
  double longest_window_ = 0;
};

}  // namespace damsonspoke::results
