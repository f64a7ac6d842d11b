// The scenarios of the decision traces, grouped by concern, with one source file for each group.
#pragma once

#include <span>

namespace damsonspoke::testing {

struct Scenario {
  const char* name;  // of its trace
  void (*run)();
};

std::span<const Scenario> intake_scenarios();
std::span<const Scenario> dependency_call_scenarios();
std::span<const Scenario> overload_scenarios();
std::span<const Scenario> priority_scenarios();

}  // namespace damsonspoke::testing
