// Derives the prior with which a server starts from the record of an earlier process, part by part. Pure
// policy: takes the record, the settings and the time, and returns the prior and the rejected parts.
//
// The weight of a prior halves with each half-life of the record's age, and never exceeds the number of
// values in the record.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "statistics/record.h"

namespace damsonspoke::statistics {

struct PriorOptions {
  double half_life_seconds = 0;
  double max_age_seconds = 0;  // older records are rejected
  double max_weight = 0;  // of a fresh record, in values per route; small, so that few new values outweigh it
};

enum class PriorProblem : std::uint8_t {
  kNoTime,             // the record has no write time
  kFromTheFuture,      // the write time is later than the allowed clock difference explains
  kTooOld,             // `value`: age of the record in seconds
  kUnderPressure,      // the statistics were learned under pressure
  kFailedStarts,       // `value`: failed starts with the record
  kOtherCores,         // `value`: cores of the server that wrote the record
  kOtherDependency,    // calls: the dependency is of another kind
  kNewRoute,           // the record does not contain the route
  kChangedSettings,    // the settings of the route have changed
  kImplausibleValues,  // see is_plausible()
  kTooFewValues,
};

// A record, or a part of one, that is not used, with the reason.
struct RejectedPart {
  PriorProblem problem = PriorProblem::kNoTime;
  std::string part;  // a route's name or "calls"; empty: the entire record
  double value = 0;
};
// The reason as one line for the log.
std::string text_of(const RejectedPart& rejected);

struct Prior {
  LearnedStatistics statistics;  // parts that are not used are empty
  bool is_usable = false;        // at least one route has a prior
  double weight_share = 0;       // relative to the weight of a fresh record, 0 to 1
  std::vector<RejectedPart> rejected;
};

// `failed_starts`: starts with this record after which the server ended within an interval. `now_unix`:
// seconds.
Prior derive_prior(const StatisticsRecord& record, const StartSettings& site, double now_unix,
                   int failed_starts, const PriorOptions& options);

// Whether the controller's histogram could contain these values: the number of bins matches, the counts are
// finite and within the limit, and the sum is consistent with the bins.
[[nodiscard]] bool is_plausible(const LearnedDurations& durations);

}  // namespace damsonspoke::statistics
