// A minimum transfer rate for a peer that has started to send or read a message. An inactivity timeout alone
// does not detect a peer that transfers a byte now and then.
#pragma once

#include <cstdint>

namespace damsonspoke::conns {

struct MinimumByteRateOptions {
  double grace_seconds = 0.5;  // for which no bytes are required
  double bytes_per_second = 4096;
};

// Measures whether one transfer meets the minimum rate. Times are in seconds of one clock.
class MinimumByteRate {
 public:
  // `bytes_moved`: the total number of bytes transferred in this direction, here and in is_too_slow().
  void start(double now, std::uint64_t bytes_moved) {
    started_at_ = now;
    bytes_at_start_ = bytes_moved;
  }
  void stop() { started_at_ = -1; }
  [[nodiscard]] bool is_running() const { return started_at_ >= 0; }
  [[nodiscard]] bool is_too_slow(double now, std::uint64_t bytes_moved,
                                 const MinimumByteRateOptions& options) const {
    if (!is_running()) return false;
    const double required = (now - started_at_ - options.grace_seconds) * options.bytes_per_second;
    return static_cast<double>(bytes_moved - bytes_at_start_) < required;
  }

 private:
  double started_at_ = -1;  // < 0: no transfer is in progress
  std::uint64_t bytes_at_start_ = 0;
};

}  // namespace damsonspoke::conns
