// A lower limit for the speed of a peer that has begun to send or to take a message. A timeout of silence
// alone does not find a peer that moves a byte now and then.
#pragma once

#include <cstdint>

namespace damsonspoke::conns {

struct MinimumByteRateOptions {
  double grace_seconds = 0.5;  // without any bytes
  double bytes_per_second = 4096;
};

// Whether one transfer is as fast as the options demand. Times are seconds of one clock.
class MinimumByteRate {
 public:
  // `bytes_moved`: the caller's count of bytes in this direction, here and in is_too_slow().
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
  double started_at_ = -1;  // < 0: no transfer is running
  std::uint64_t bytes_at_start_ = 0;
};

}  // namespace damsonspoke::conns
