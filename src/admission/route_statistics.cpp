#include "admission/route_statistics.h"

#include <algorithm>
#include <utility>

namespace damsonspoke {
namespace {

constexpr std::size_t kMaxRecentRoutes = 64;      // bounds the cost of averaging over routes
constexpr double kMaxHintFactor = 8;              // x the mean run time; limits the effect of a wrong hint
constexpr double kCallsPerRunSmoothingRuns = 12;  // runs
constexpr int kComparedRuns = 4;            // compared with a prior, since a single unusual run may be chance
constexpr double kContradictingFactor = 2;  // either way, between mean run time and prior

}  // namespace

void RouteStatisticsTable::restore(const LearnedStatistics& prior, double now) {
  for (std::size_t i = 0; i < directory_.route_count() && i < prior.routes.size(); ++i) {
    const int position = static_cast<int>(i);
    RouteStatistics& restored = entry(position);
    restored.run_times.restore(prior.routes[i].run);
    restored.call_times.restore(prior.routes[i].call);
    restored.prior_run_time = restored.run_times.mean();
    has_prior_ = has_prior_ || restored.prior_run_time > 0;
    if (!restored.run_times.empty()) mark_recent(position, now);
  }
}

std::vector<LearnedStatistics::Times> RouteStatisticsTable::snapshot() const {
  std::vector<LearnedStatistics::Times> routes(directory_.route_count());
  for (std::size_t i = 0; i < entries_.size() && i < routes.size(); ++i) {
    if (entries_[i] == nullptr) continue;
    routes[i] = {entries_[i]->run_times.snapshot(), entries_[i]->call_times.snapshot()};
  }
  return routes;
}

RouteStatistics& RouteStatisticsTable::entry(int position) {
  const Route& route = directory_.route(position);
  const auto i = static_cast<std::size_t>(position);
  if (entries_.size() <= i) entries_.resize(i + 1);
  if (entries_[i] == nullptr || entries_[i]->route.generation != route.generation)
    entries_[i] = std::make_unique<RouteStatistics>();
  entries_[i]->route = route;
  return *entries_[i];
}

RouteStatistics& RouteStatisticsTable::entry_for(const RequestState& state) {
  RouteStatistics& present = at(state.request.route);
  return present.route.generation == state.route.generation ? present : replaced_route_;
}

const RouteStatistics& RouteStatisticsTable::for_request(const RequestState& state) const {
  const RouteStatistics& present = at(state.request.route);
  return present.route.generation == state.route.generation ? present : replaced_route_;
}

double RouteStatisticsTable::mean_run_time(const RouteStatistics& entry) const {
  if (!entry.run_times.empty()) return entry.run_times.mean();
  double sum = 0;
  double count = 0;
  for (const int position : recent_) {
    const RouteStatistics& other = at(position);
    if (other.run_times.empty()) continue;
    sum += other.run_times.mean();
    count += 1;
  }
  return count > 0 ? sum / count : 0;
}

double RouteStatisticsTable::expected_run_time(const RequestState& state) const {
  const RouteStatistics& entry = for_request(state);
  const double mean = mean_run_time(entry);
  if (state.request.work_hint <= 0 || entry.work_hints.empty() || entry.work_hints.mean() <= 0) return mean;
  // The caller's estimate is for another machine, so the hint counts only relative to the mean of all hints.
  return std::clamp(state.request.work_hint * entry.hinted_run_times.mean() / entry.work_hints.mean(),
                    mean / kMaxHintFactor, mean * kMaxHintFactor);
}

std::optional<double> RouteStatisticsTable::mean_objective_use(double service_rate) const {
  double sum = 0;
  double count = 0;
  for (const int position : recent_) {
    const RouteStatistics& entry = at(position);
    if (entry.run_times.empty() || entry.route.latency_objective <= 0) continue;
    sum += entry.run_times.mean() / service_rate / entry.route.latency_objective;
    count += 1;
  }
  if (count <= 0) return std::nullopt;
  return sum / count;
}

double RouteStatisticsTable::shortest_queue_time(double service_rate) const {
  double shortest = -1;
  for (const int position : recent_) {
    const RouteStatistics& entry = at(position);
    if (entry.run_times.empty()) continue;
    const Route& route = entry.route;
    const double end = route.has_value_when_late() ? route.timeout : route.latency_objective;
    const double left = std::max(end - entry.run_times.mean() / service_rate - entry.call_times.mean(), 0.0);
    shortest = shortest < 0 ? left : std::min(shortest, left);
  }
  return shortest;
}

std::optional<ContradictedPrior> RouteStatisticsTable::record_run(const RequestState& state, bool check_prior,
                                                                  double now) {
  RouteStatistics& entry = entry_for(state);
  entry.run_times.add(state.run_time);
  entry.call_times.add(state.call_time);
  if (&entry != &replaced_route_) mark_recent(state.request.route, now);
  if (state.route.calls_dependency)
    entry.calls_per_run += (state.calls - entry.calls_per_run) / kCallsPerRunSmoothingRuns;
  if (!check_prior || entry.prior_run_time <= 0) return std::nullopt;
  return compare_with_prior(entry, state);
}

std::optional<ContradictedPrior> RouteStatisticsTable::compare_with_prior(RouteStatistics& entry,
                                                                          const RequestState& state) {
  entry.compared_run_times.add(state.run_time);
  entry.compared_call_times.add(state.call_time);
  if (++entry.compared_runs < kComparedRuns) return std::nullopt;
  const double mean = entry.compared_run_times.mean();
  const double prior = std::exchange(entry.prior_run_time, 0);
  if (mean <= prior * kContradictingFactor && mean >= prior / kContradictingFactor) return std::nullopt;
  entry.run_times = entry.compared_run_times;
  entry.call_times = entry.compared_call_times;
  return ContradictedPrior{state.request.route, mean, prior};
}

void RouteStatisticsTable::record_work_hint(const RequestState& state) {
  if (state.request.work_hint <= 0) return;
  RouteStatistics& entry = entry_for(state);
  entry.hinted_run_times.add(state.run_time);
  entry.work_hints.add(state.request.work_hint);
}

// Adds a route to the recently updated ones. If they become too many, the least recently updated one is
// removed.
void RouteStatisticsTable::mark_recent(int position, double now) {
  at(position).learned_at = now;
  const auto place = std::lower_bound(recent_.begin(), recent_.end(), position);
  if (place != recent_.end() && *place == position) return;
  recent_.insert(place, position);
  if (recent_.size() <= kMaxRecentRoutes) return;
  recent_.erase(std::min_element(recent_.begin(), recent_.end(),
                                 [&](int a, int b) { return at(a).learned_at < at(b).learned_at; }));
}

}  // namespace damsonspoke
