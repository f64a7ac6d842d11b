// What is learned of each route from the runs of its requests.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "admission/histogram.h"
#include "admission/learned_statistics.h"
#include "admission/request_state.h"
#include "admission/route_directory.h"
#include "admission/unusual_timeout_detector.h"

namespace damsonspoke {

struct RouteStatistics {
  Route route;  // as it was when a request of it was read last
  double learned_at = 0;
  DurationHistogram run_times;   // on the cores
  DurationHistogram call_times;  // waiting for and in dependency calls
  double calls_per_run = 1;      // a fading mean
  UnusualTimeoutDetector timeout_detector;
  // Of runs whose request told its work: time on the cores, and the work that was told.
  DurationHistogram hinted_run_times, work_hints;
  // While a prior is compared with the first runs: the mean run time that it promises, and what they take.
  double prior_run_time = 0;
  int compared_runs = 0;
  DurationHistogram compared_run_times, compared_call_times;
};

// A prior that the first runs have contradicted; times are means in seconds.
struct ContradictedPrior {
  int route = 0;
  double run_time = 0;
  double prior_run_time = 0;
};

// The statistics of all routes by position. Times are seconds.
class RouteStatisticsTable {
 public:
  explicit RouteStatisticsTable(const RouteDirectory& directory) : directory_(directory) {}

  // Begins with what an earlier life has learned.
  void restore(const LearnedStatistics& prior, double now);
  [[nodiscard]] bool has_prior() const { return has_prior_; }
  [[nodiscard]] std::vector<LearnedStatistics::Times> snapshot() const;

  // A request of the route at this position was read: the entry for it, begun anew for a new route.
  RouteStatistics& entry(int position);
  // The entry that a request counts for. Where another route has taken its position meanwhile, one that
  // nothing else goes by.
  [[nodiscard]] const RouteStatistics& for_request(const RequestState& state) const;

  // Of a route with no runs yet, the mean over the routes that learned lately; 0: nothing is known.
  [[nodiscard]] double mean_run_time(const RouteStatistics& entry) const;
  // A request that tells its work takes the learned time of its route in proportion.
  [[nodiscard]] double expected_run_time(const RequestState& state) const;

  // Mean over the routes that learned lately of run time, at this service rate, as a share of the latency
  // objective. None where no such route has an objective.
  [[nodiscard]] std::optional<double> mean_objective_use(double service_rate) const;
  // The time for queueing that the route with the least of it has; negative: nothing is learned.
  [[nodiscard]] double shortest_queue_time(double service_rate) const;

  // A run has succeeded. `check_prior`: it counts for the comparison with the prior, which is given up and
  // returned where it is contradicted.
  std::optional<ContradictedPrior> record_run(const RequestState& state, bool check_prior, double now);
  // To be called after record_run, once the run's expected time was taken.
  void record_work_hint(const RequestState& state);

 private:
  RouteStatistics& entry_for(const RequestState& state);
  RouteStatistics& at(int position) { return *entries_[static_cast<std::size_t>(position)]; }
  [[nodiscard]] const RouteStatistics& at(int position) const {
    return *entries_[static_cast<std::size_t>(position)];
  }
  void mark_recent(int position, double now);
  static std::optional<ContradictedPrior> compare_with_prior(RouteStatistics& entry,
                                                             const RequestState& state);

  const RouteDirectory& directory_;
  std::vector<std::unique_ptr<RouteStatistics>> entries_;  // by position; null: no request of it was read
  std::vector<int> recent_;         // positions of those that learned lately, ascending
  RouteStatistics replaced_route_;  // of requests whose route has lost its position
  bool has_prior_ = false;
};

}  // namespace damsonspoke
