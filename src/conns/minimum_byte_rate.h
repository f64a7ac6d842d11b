// Whether a peer moves bytes as fast as it owes: after a grace so many a second, counted from when it began.
// Silence alone tells nothing: a byte a second is never silent. Pure policy.
#pragma once

#include <cstdint>

namespace damsonspoke::conns {

struct MinimumByteRateOptions {
  double grace = 0.5;  // s in which nothing is owed
  double rate = 4096;  // bytes a second after that
};

class MinimumByteRate {
 public:
  // `moved`: bytes so far, of whatever count the caller keeps.
  void begin(double now, std::uint64_t moved) { since_ = now, from_ = moved; }
  void end() { since_ = -1; }
  bool running() const { return since_ >= 0; }
  bool too_slow(double now, std::uint64_t moved, const MinimumByteRateOptions& terms) const {
    if (!running()) return false;
    return static_cast<double>(moved - from_) < (now - since_ - terms.grace) * terms.rate;
  }

 private:
  double since_ = -1;
  std::uint64_t from_ = 0;
};

}  // namespace damsonspoke::conns
