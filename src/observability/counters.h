// What the program counts, one row a counter: its name in the report and what it says. Plain numbers that
// every layer may raise; printed as one block on request and at exit.
#pragma once

#include <array>
#include <cstdint>
#include <string>

namespace damsonspoke {

enum class Count {
#define DAMSONSPOKE_COUNTER(name, text, meaning) name,
#include "observability/counters.def"
#undef DAMSONSPOKE_COUNTER
  kEnd
};

class Counters {
 public:
  void add(Count what, std::uint64_t by = 1) { values_[static_cast<std::size_t>(what)] += by; }
  void set(Count what, std::uint64_t value) { values_[static_cast<std::size_t>(what)] = value; }
  void most(Count what, std::uint64_t value) {
    auto& kept = values_[static_cast<std::size_t>(what)];
    if (value > kept) kept = value;
  }
  std::uint64_t operator[](Count what) const { return values_[static_cast<std::size_t>(what)]; }
  std::string report() const;

 private:
  std::array<std::uint64_t, static_cast<std::size_t>(Count::kEnd)> values_{};
};

}  // namespace damsonspoke
