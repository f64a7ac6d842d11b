// Computes the remaining idempotency window of an entry that a new process reads from the store. Pure policy:
// the time is passed in.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "results/database.h"

namespace damsonspoke::results {

class Recovery {
 public:
  // `windows`: idempotency windows in seconds, by route name. `allowed_lateness`: seconds for which a row is
  // retained after its window.
  Recovery(std::unordered_map<std::string, double> windows, double allowed_lateness);

  // Returns the seconds until the window of the row ends, negative if it has ended; nullopt if it ended
  // longer ago than the allowed lateness.
  //
  // Expiry times are stored as Unix time, and the clock may have been set since. If it was set back, the
  // remaining time is limited to the window of the route. If it was set forward, windows end early, because
  // that cannot be distinguished from time that has passed.
  std::optional<double> remaining_seconds(const Row& row, std::int64_t now_unix_ms) const;

  // The longest configured window, in seconds: by then, all windows of an earlier process have ended.
  [[nodiscard]] double longest_window() const { return longest_window_; }

 private:
  std::unordered_map<std::string, double> windows_;
  double longest_window_ = 0;
  double allowed_lateness_ = 0;
};

}  // namespace damsonspoke::results
