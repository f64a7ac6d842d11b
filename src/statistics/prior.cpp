#include "statistics/prior.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace damsonspoke::statistics {
namespace {

// Parameters of the controller's histogram.
constexpr std::size_t kBins = 13;
constexpr double kFirstBinEndSeconds = 0.005;  // the end doubles with each further bin
constexpr double kLastBinEndSeconds = 3600;    // the last bin is unbounded; no run takes longer than this
constexpr double kMaxCount = 64;

constexpr double kSumSlackSeconds = 1e-6;  // allows for rounding of sums that were halved many times
constexpr double kSumSlackShare = 1e-6;
constexpr double kMaxClockDifferenceSeconds = 5;
constexpr double kMinWeightShare = 0.05;
constexpr int kMaxFailedStarts = 2;
constexpr double kEqualSettingsShare = 0.01;  // two settings that differ by less are equal
constexpr double kMinValues = 3;

bool are_equal(double a, double b) {
  return std::abs(a - b) <= kEqualSettingsShare * std::max(std::abs(a), std::abs(b));
}

double count_of(const LearnedDurations& durations) {
  return std::accumulate(durations.bins.begin(), durations.bins.end(), 0.0);
}

// Scales the values down to the weight. Never scales them up.
LearnedDurations scaled_to(const LearnedDurations& durations, double weight) {
  const double scale = std::min(1.0, weight / count_of(durations));
  LearnedDurations out = durations;
  for (double& count : out.bins) count *= scale;
  out.sum *= scale;
  return out;
}

// Returns the reason why no part of the record is used; nullopt if the parts are to be checked.
std::optional<RejectedPart> reject_record(const StatisticsRecord& record, const StartSettings& site,
                                          double age_seconds, int failed_starts,
                                          const PriorOptions& options) {
  if (!std::isfinite(record.written_at) || record.written_at <= 0)
    return RejectedPart{PriorProblem::kNoTime, {}, 0};
  if (age_seconds < -kMaxClockDifferenceSeconds) return RejectedPart{PriorProblem::kFromTheFuture, {}, 0};
  if (age_seconds > options.max_age_seconds) return RejectedPart{PriorProblem::kTooOld, {}, age_seconds};
  if (record.under_pressure) return RejectedPart{PriorProblem::kUnderPressure, {}, 0};
  if (failed_starts >= kMaxFailedStarts)
    return RejectedPart{PriorProblem::kFailedStarts, {}, static_cast<double>(failed_starts)};
  if (record.cores != site.admission.cores)
    return RejectedPart{PriorProblem::kOtherCores, {}, static_cast<double>(record.cores)};
  return std::nullopt;
}

// Returns the reason why a route's values are not used; nullopt if they are. After a change of its settings,
// a route may do different work.
std::optional<PriorProblem> reject_route(const RouteRecord& record, const Route& route) {
  const bool has_same_settings = are_equal(record.latency_objective, route.latency_objective) &&
                                 are_equal(record.timeout, route.timeout) &&
                                 record.calls_dependency == route.calls_dependency;
  if (!has_same_settings) return PriorProblem::kChangedSettings;
  if (!is_plausible(record.run) || !is_plausible(record.call)) return PriorProblem::kImplausibleValues;
  if (count_of(record.run) < kMinValues) return PriorProblem::kTooFewValues;
  return std::nullopt;
}

void derive_routes(const StatisticsRecord& record, const StartSettings& site, double weight,
                   bool has_same_dependency, Prior& prior) {
  const std::vector<Route>& routes = site.admission.routes;
  prior.statistics.routes.resize(routes.size());
  for (std::size_t i = 0; i < routes.size(); ++i) {
    const std::string& name = site.route_names[i];
    const auto found = std::find_if(record.routes.begin(), record.routes.end(),
                                    [&](const RouteRecord& route) { return route.name == name; });
    if (found == record.routes.end()) {
      prior.rejected.push_back({PriorProblem::kNewRoute, name, 0});
      continue;
    }
    if (const std::optional<PriorProblem> problem = reject_route(*found, routes[i])) {
      prior.rejected.push_back({*problem, name, 0});
      continue;
    }
    if (routes[i].calls_dependency && !has_same_dependency) continue;
    prior.statistics.routes[i].run = scaled_to(found->run, weight);
    if (count_of(found->call) > 0) prior.statistics.routes[i].call = scaled_to(found->call, weight);
    prior.is_usable = true;
  }
}

void derive_calls(const StatisticsRecord& record, double weight, Prior& prior) {
  if (!is_plausible(record.calls)) {
    prior.rejected.push_back({PriorProblem::kImplausibleValues, "calls", 0});
  } else if (count_of(record.calls) >= kMinValues) {
    prior.statistics.calls = scaled_to(record.calls, weight);
  }
}

}  // namespace

std::string text_of(const RejectedPart& rejected) {
  const auto describe = [&]() -> std::string {
    switch (rejected.problem) {
      case PriorProblem::kNoTime: return "the record has no write time";
      case PriorProblem::kFromTheFuture: return "the record was written in the future: a clock was set back";
      case PriorProblem::kTooOld: return fmt::format("the record is {:.0f} s old", rejected.value);
      case PriorProblem::kUnderPressure: return "the record was learned under pressure";
      case PriorProblem::kFailedStarts:
        return fmt::format("{:.0f} starts with the record failed", rejected.value);
      case PriorProblem::kOtherCores:
        return fmt::format("the record was learned on {:.0f} cores", rejected.value);
      case PriorProblem::kOtherDependency: return "the dependency is of another kind";
      case PriorProblem::kNewRoute: return "the record does not contain this route";
      case PriorProblem::kChangedSettings: return "the route's settings have changed";
      case PriorProblem::kImplausibleValues: return "the values are implausible";
      case PriorProblem::kTooFewValues: return "there are too few values";
    }
    return {};
  };
  return rejected.part.empty() ? describe() : fmt::format("{}: {}", rejected.part, describe());
}

bool is_plausible(const LearnedDurations& durations) {
  if (durations.bins.size() != kBins || !std::isfinite(durations.sum) || durations.sum < 0) return false;
  double count = 0;
  double min_sum = 0;
  double max_sum = 0;
  for (std::size_t i = 0; i < kBins; ++i) {
    const double bin = durations.bins[i];
    if (!std::isfinite(bin) || bin < 0 || bin > kMaxCount) return false;
    count += bin;
    const double bin_end = kFirstBinEndSeconds * std::exp2(static_cast<double>(i));
    const bool is_last = i + 1 == kBins;
    if (i > 0) min_sum += bin * bin_end / 2;
    max_sum += bin * (is_last ? kLastBinEndSeconds : bin_end);
  }
  return count <= kMaxCount && durations.sum >= min_sum * (1 - kSumSlackShare) - kSumSlackSeconds &&
         durations.sum <= max_sum * (1 + kSumSlackShare) + kSumSlackSeconds;
}

Prior derive_prior(const StatisticsRecord& record, const StartSettings& site, double now_unix,
                   int failed_starts, const PriorOptions& options) {
  Prior prior;
  const double age_seconds = now_unix - record.written_at;
  if (std::optional<RejectedPart> rejected =
          reject_record(record, site, age_seconds, failed_starts, options)) {
    prior.rejected.push_back(std::move(*rejected));
    return prior;
  }
  prior.weight_share = std::exp2(-std::max(0.0, age_seconds) / options.half_life_seconds);
  if (prior.weight_share < kMinWeightShare) {
    prior.rejected.push_back({PriorProblem::kTooOld, {}, age_seconds});
    return prior;
  }
  const double weight = prior.weight_share * options.max_weight;
  const AdmissionOptions& admission = site.admission;
  const bool has_same_dependency = record.dependency == static_cast<int>(admission.dependency);
  if (!has_same_dependency) prior.rejected.push_back({PriorProblem::kOtherDependency, "calls", 0});

  derive_routes(record, site, weight, has_same_dependency, prior);
  if (has_same_dependency && admission.dependency != DependencyKind::kOff)
    derive_calls(record, weight, prior);

  // The behaviour of callers changes within an hour. With the age of the record, the prior moves from the
  // recorded share towards 1, the value with which a server starts without a prior.
  const bool is_share =
      std::isfinite(record.returning_share) && record.returning_share >= 0 && record.returning_share <= 1;
  if (is_share && are_equal(record.caller_idle_timeout, admission.caller_idle_timeout))
    prior.statistics.returning_share = 1 + (record.returning_share - 1) * prior.weight_share;
  return prior;
}

}  // namespace damsonspoke::statistics
