// The random number generator of one member. A given seed produces the same sequence, so that simulated
// fleets can be replayed.
#pragma once

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <pcg_random.hpp>

namespace damsonspoke::members {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}
  // A number in [0, 1).
  double unit() { return std::ldexp(static_cast<double>(engine_()), -32); }
  // An index below `size`, which must not be 0.
  std::size_t index(std::size_t size) { return static_cast<std::size_t>(unit() * static_cast<double>(size)); }
  // The given time plus or minus a quarter.
  double jittered(double seconds) { return seconds * (0.75 + unit() / 2); }

 private:
  pcg32 engine_;
};

}  // namespace damsonspoke::members
