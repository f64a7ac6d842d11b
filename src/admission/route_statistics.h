// Statistics of each route, learned from the runs of its requests.
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
  Route route;  // as of its latest request
  double learned_at = 0;
  DurationHistogram run_times;   // on the cores
  DurationHistogram call_times;  // queued for and in dependency calls
  double calls_per_run = 1;      // a smoothed mean
  UnusualTimeoutDetector timeout_detector;
  // Of runs whose request had a work hint: the time on the cores, and the hint.
  DurationHistogram hinted_run_times, work_hints;
  // While a prior is compared with the first runs: the mean run time of the prior (0: no comparison), and
  // the times of these runs.
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

  // Starts with the statistics of an earlier incarnation.
  void restore(const LearnedStatistics& prior, double now);
  [[nodiscard]] bool has_prior() const { return has_prior_; }
  [[nodiscard]] std::vector<LearnedStatistics::Times> snapshot() const;

  // The entry for a new request of the route at this position. It is reset if another route has taken the
  // position.
  RouteStatistics& entry(int position);
  // The entry that a request counts for. If another route has taken its position since, this is an entry
  // that only such requests use.
  [[nodiscard]] const RouteStatistics& for_request(const RequestState& state) const;

  // For a route without runs, the mean over the recently updated routes; 0 if nothing is known.
  [[nodiscard]] double mean_run_time(const RouteStatistics& entry) const;
  // Scales the learned run time of the route by the request's work hint, if it has one.
  [[nodiscard]] double expected_run_time(const RequestState& state) const;

  // Run time at this service rate as a share of the latency objective, averaged over the recently updated
  // routes. nullopt if none of them has an objective.
  [[nodiscard]] std::optional<double> mean_objective_use(double service_rate) const;
  // The time that a request may spend in the queue, for the route where it is shortest; negative if nothing
  // is learned.
  [[nodiscard]] double shortest_queue_time(double service_rate) const;

  // Records a successful run. `check_prior`: the run is also compared with the prior. A contradicted prior
  // is dropped and returned.
  std::optional<ContradictedPrior> record_run(const RequestState& state, bool check_prior, double now);
  // Call after record_run(), and after expected_run_time() was read for this run.
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
  std::vector<int> recent_;         // positions of the recently updated routes, ascending
  RouteStatistics replaced_route_;  // for requests whose route has lost its position
  bool has_prior_ = false;
};

}  // namespace damsonspoke
