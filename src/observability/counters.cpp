#include "observability/counters.h"

#include <fmt/format.h>

namespace damsonspoke {

std::string Counters::report() const {
  static constexpr const char* kNames[] = {
#define DAMSONSPOKE_COUNTER(name, text, meaning) text,
#include "observability/counters.def"
#undef DAMSONSPOKE_COUNTER
  };
  std::string out = "counters:\n";
  for (std::size_t i = 0; i < values_.size(); ++i) out += fmt::format("  {:<26} {}\n", kNames[i], values_[i]);
  return out;
}

}  // namespace damsonspoke
