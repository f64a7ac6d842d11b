// Random numbers for the admission decisions.
#pragma once

#include <cstdint>

namespace damsonspoke {

// Permuted congruential generator (PCG XSH-RR 64/32, O'Neill 2014), so that a seed gives the same decisions
// on every platform.
class RandomGenerator {
 public:
  explicit RandomGenerator(std::uint64_t seed) : state_(seed * 2 + 1) { next(); }
  // Uniform from 0 to under 1.
  double uniform() { return next() / kRange; }

 private:
  static constexpr double kRange = 4294967296.0;  // 2^32

  std::uint32_t next() {
    const std::uint64_t old = state_;
    state_ = old * 6364136223846793005ULL + 1442695040888963407ULL;
    const auto mixed = static_cast<std::uint32_t>(((old >> 18) ^ old) >> 27);
    const auto rotation = static_cast<std::uint32_t>(old >> 59);
    return (mixed >> rotation) | (mixed << ((32 - rotation) & 31));
  }

  std::uint64_t state_;
};

}  // namespace damsonspoke
