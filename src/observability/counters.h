// The counters of the program, defined in counters.def. Every layer may increment them. They are printed as
// one block on SIGUSR1 and at exit.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>

namespace damsonspoke {

// Identifies a counter.
enum class Count {
#define DAMSONSPOKE_COUNTER(name, text, meaning) name,
#include "observability/counters.def"
#undef DAMSONSPOKE_COUNTER
  kEnd
};

class Counters {
 public:
  void add(Count counter, std::uint64_t by = 1) { value(counter) += by; }
  // Sets the current value of a gauge.
  void set(Count counter, std::uint64_t value_now) { value(counter) = value_now; }
  // Raises the counter to `candidate` if that is higher.
  void update_max(Count counter, std::uint64_t candidate) {
    value(counter) = std::max(value(counter), candidate);
  }
  std::uint64_t operator[](Count counter) const { return values_[static_cast<std::size_t>(counter)]; }
  // All counters, one per line, after the line "counters:".
  [[nodiscard]] std::string report() const;

 private:
  std::uint64_t& value(Count counter) { return values_[static_cast<std::size_t>(counter)]; }

  std::array<std::uint64_t, static_cast<std::size_t>(Count::kEnd)> values_{};
};

}  // namespace damsonspoke
