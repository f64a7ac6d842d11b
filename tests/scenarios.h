// Shared by tests whose scenarios are run by name and whose output is compared with a trace.
#pragma once

#include <csignal>
#include <cstdio>
#include <cstring>
#include <initializer_list>
#include <string>
#include <utility>

// Prints whether a condition holds; the trace has "yes" for each.
inline void say(const std::string& what, bool holds) {
  std::printf("%s: %s\n", what.c_str(), holds ? "yes" : "NO");
}

// Runs the scenario that the second argument names; the first one is the path of the program under test.
// Returns the exit status: 2 for invalid arguments.
inline int run_scenario(int argc, char** argv, std::string& binary,
                        std::initializer_list<std::pair<const char*, void (*)()>> scenarios) {
  if (argc != 3) return 2;
  binary = argv[1];
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::signal(SIGPIPE, SIG_IGN);
  for (const auto& [name, run] : scenarios) {
    if (std::strcmp(argv[2], name) == 0) return run(), 0;
  }
  return 2;
}
