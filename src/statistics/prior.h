// Derives the prior with which a server starts from the record of an earlier one, part by part. Pure policy:
// the record, the settings and the time come in; the prior and the rejected parts come out.
//
// The weight of a prior halves with each half-life of the record's age, and never exceeds the evidence.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "statistics/record.h"

namespace damsonspoke::statistics {

struct PriorOptions {
  double half_life_seconds = 0;
  double max_age_seconds = 0;  // older records are rejected
  double max_weight = 0;       // of a fresh record, in values a route: a few new values outweigh it
};

enum class PriorProblem : std::uint8_t {
  kNoTime,             // it has no time of writing
  kFromTheFuture,      // beyond what clocks may differ by
  kTooOld,             // `value`: its age in seconds
  kUnderPressure,      // it was learned under pressure
  kFailedStarts,       // `value`: starts with it that did not last
  kOtherCores,         // `value`: cores of the server that wrote it
  kOtherDependency,    // calls: the dependency is of another kind
  kNewRoute,           // it has no such route
  kChangedSettings,    // of the route
  kImplausibleValues,  // see is_plausible()
  kTooFewValues,
};

// Why the record, or one part of it, is not used.
struct RejectedPart {
  PriorProblem problem = PriorProblem::kNoTime;
  std::string part;  // a route's name or "calls"; empty: the whole record
  double value = 0;
};
// One line for the log.
std::string text_of(const RejectedPart& rejected);

struct Prior {
  LearnedStatistics statistics;  // parts that are not used are empty
  bool is_usable = false;        // at least one route has a prior
  double weight_share = 0;       // of a fresh record's weight, 0 to 1
  std::vector<RejectedPart> rejected;
};

// `failed_starts`: starts with this record that did not last. `now_unix`: seconds.
Prior derive_prior(const StatisticsRecord& record, const StartSettings& site, double now_unix,
                   int failed_starts, const PriorOptions& options);

// Whether the controller's histogram could hold these values: as many bins, finite counts within its limit,
// and a sum that the bins allow.
[[nodiscard]] bool is_plausible(const LearnedDurations& durations);

}  // namespace damsonspoke::statistics
