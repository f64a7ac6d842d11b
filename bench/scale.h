// The parts of bench/scale, each in a file of its own, and the line that is fitted through their figures.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace damsonspoke::bench {

struct ScaleOptions {
  double seconds = 10;  // of load in each play
  std::uint64_t seed = 1;
  int rounds = 3;  // plays of each figure; the median is told
  std::vector<int> fleet_sizes = {100, 300, 1000, 2300};
  std::vector<int> simulated_sizes = {100, 300, 600, 1000, 2300};
  double starts_per_second = 200;    // how fast hollow members come up
  double convergence_timeout = 120;  // s until all of them should see each other
  int max_members_in_loss = 300;     // members of the largest fleet on sockets that loses a sixth
};

using Figures = std::map<std::string, double>;

double median(std::vector<double> values);
double quantile(std::vector<double> values, double share);

// A straight line through all points but the last, and what it foretells of the last.
struct Forecast {
  double base = 0, slope = 0;
  double predicted = 0, measured = 0;
  double error() const { return measured != 0 ? predicted / measured - 1 : 0; }
};
Forecast forecast(const std::vector<std::pair<double, double>>& points);
void print_forecast(const char* quantity, const char* unit,
                    const std::vector<std::pair<double, double>>& points);

void measure_decisions(const ScaleOptions& options, Figures& figures);
void measure_catalog(const ScaleOptions& options, Figures& figures);
void measure_backend(const ScaleOptions& options, Figures& figures);
void measure_connections(const ScaleOptions& options, Figures& figures);
void measure_members(const ScaleOptions& options, Figures& figures);
void measure_simulated_members(const ScaleOptions& options, Figures& figures);
void measure_simulated_pauses(const ScaleOptions& options, Figures& figures);
void measure_simulated_faults(const ScaleOptions& options, Figures& figures);
void measure_push_pull(const ScaleOptions& options, Figures& figures);

}  // namespace damsonspoke::bench
