// The parts of the benchmark `scale`, in separate files, and the line that is fitted through their figures.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace damsonspoke::bench {

struct ScaleOptions {
  double seconds = 10;  // of load in each trial
  std::uint64_t seed = 1;
  int rounds = 3;  // trials of each figure, of which the median is reported
  std::vector<int> fleet_sizes = {100, 300, 1000, 2300};
  std::vector<int> simulated_sizes = {100, 300, 600, 1000, 2300};
  double starts_per_second = 200;    // of hollow members
  double convergence_timeout = 120;  // s until all members must see each other
  int max_members_in_loss = 300;     // size of the largest fleet on sockets that loses a sixth of its members
};

using Figures = std::map<std::string, double>;

double median(std::vector<double> values);
double quantile(std::vector<double> values, double share);

// A line fitted through all points but the last, and its prediction of the last.
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
