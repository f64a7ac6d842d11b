// Prints the trace of one scenario; CTest compares it with tests/traces/NAME.txt.
#include <cstdio>
#include <cstring>

#include "decision_scenarios.h"

using namespace damsonspoke::testing;

int main(int argc, char** argv) {
  for (const auto& scenarios :
       {intake_scenarios(), dependency_call_scenarios(), overload_scenarios(), priority_scenarios()}) {
    for (const Scenario& scenario : scenarios) {
      if (argc == 2 && std::strcmp(argv[1], scenario.name) == 0) {
        scenario.run();
        return 0;
      }
    }
  }
  std::fprintf(stderr, "usage: decision_traces SCENARIO\n");
  return 2;
}
