// Statistics that one incarnation of the server has learned, as a prior for the next one.
#pragma once

#include <vector>

namespace damsonspoke {

// The content of a DurationHistogram.
struct LearnedDurations {
  std::vector<double> bins;  // number of values by bin
  double sum = 0;            // s, of all values
};

// The counts in a histogram are its weight as a prior.
struct LearnedStatistics {
  struct Times {
    LearnedDurations run, call;  // on the cores; queued for and in dependency calls
  };
  std::vector<Times> routes;  // by position in the route directory
  LearnedDurations calls;
  double returning_share = -1;  // of the requests whose caller returned soon; negative: unknown
  // Learned while the server was unhealthy or warming up, or while calls to the dependency were limited.
  bool under_pressure = false;
};

}  // namespace damsonspoke
