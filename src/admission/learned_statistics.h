// What one life of the server has learned that its successor may begin with.
#pragma once

#include <vector>

namespace damsonspoke {

// The content of a DurationHistogram.
struct LearnedDurations {
  std::vector<double> bins;  // number of values by bin
  double sum = 0;            // s, of all values
};

// The counts in the histograms say how much each part weighs.
struct LearnedStatistics {
  struct Times {
    LearnedDurations run, call;  // on the cores; waiting for and in dependency calls
  };
  std::vector<Times> routes;  // by position, as the routes
  LearnedDurations calls;
  double returning_share = -1;  // of requests from callers that came back soon; negative: not known
  // Learned while the server was unhealthy or warming up, or the dependency under pressure.
  bool under_pressure = false;
};

}  // namespace damsonspoke
