// Whether a peer moves bytes as fast as it owes: after a grace so many a second, counted from when it began.
// Silence alone tells nothing: a byte a second is never silent. Pure policy.
#pragma once

#include <cstdint>

namespace damsonspoke::conns {

struct MinimumByteRateOptions {
  double grace_seconds = 0.5;      // s in which nothing is owed
  double bytes_per_second = 4096;  // bytes a second after that
};

class MinimumByteRate {
 public:
  // `moved`: bytes so far, of whatever count the caller keeps.
  void start(double now, std::uint64_t moved) { started_at_ = now, moved_at_start_ = moved; }
  void stop() { started_at_ = -1; }
  bool is_running() const { return started_at_ >= 0; }
  bool is_too_slow(double now, std::uint64_t moved, const MinimumByteRateOptions& options) const {
    if (!is_running()) return false;
    return static_cast<double>(moved - moved_at_start_) <
           (now - started_at_ - options.grace_seconds) * options.bytes_per_second;
  }

 private:
  double started_at_ = -1;
  std::uint64_t moved_at_start_ = 0;
};

}  // namespace damsonspoke::conns
