// Helpers of the tests on simulated fleets: options, tracing and the time of the last detection.
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "members_sim.h"
#include "scenarios.h"

// With MEMBERS_TRACE set, prints state changes and notices of the views.
inline void trace(damsonspoke::standins::MembersSim& sim) {
  if (std::getenv("MEMBERS_TRACE") == nullptr) return;
  sim.on_change = [&sim](int node, const std::string& what) {
    std::fprintf(stderr, "%8.3f %s: %s\n", sim.now(), sim.name(node).c_str(), what.c_str());
  };
}

// Options of a fleet whose datagrams are not encoded. `loss`: share of the datagrams.
inline damsonspoke::standins::MembersSim::Options fleet_options(int count, std::uint64_t seed = 1,
                                                                double loss = 0) {
  damsonspoke::standins::MembersSim::Options options;
  options.count = count;
  options.seed = seed;
  options.loss = loss;
  options.encode_one_in = 0;
  return options;
}

// Seconds from a death until the last member has detected it.
inline double slowest_detection(const damsonspoke::standins::MembersSim& sim) {
  double slowest = 0;
  for (const auto& death : sim.deaths()) {
    for (const double found : death.found) slowest = std::max(slowest, found);
  }
  return slowest;
}

// Prints whether all views agree, preceded by a difference between them if they do not.
inline void say_same_views(damsonspoke::standins::MembersSim& sim, const std::string& what) {
  std::string difference;
  const bool is_same = sim.views_agree(&difference);
  if (!is_same) std::printf("%s\n", difference.c_str());
  say(what, is_same);
}
