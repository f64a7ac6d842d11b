// How far what an earlier life learned is believed, part by part. Pure policy: the record, the settings and
// the time come in, a prior for the module and the reasons come out. Never stronger than the evidence; never
// stronger for being older.
#pragma once

#include <string>
#include <vector>

#include "statistics/record.h"

namespace damsonspoke::statistics {

struct PriorOptions {
  double half_life = 0;  // s in which belief halves
  double most_age = 0;   // s; older says nothing
  double weight = 0;     // values that a fresh record weighs as, a type: a few new ones outweigh it
};

struct Prior {
  LearnedStatistics prior;  // empty parts where nothing is believed
  bool any = false;
  double share = 0;                  // of a fresh record's weight, 0 to 1
  std::vector<std::string> reasons;  // why the whole, or a part, is not believed; plain words
};

// `starts`: lives that began with this record and did not come through their first time.
Prior derive_prior(const StatisticsRecord& record, const StartSettings& site, double now_unix, int starts,
                   const PriorOptions& terms);

// Whether values could come out of the module's histogram: right bins, finite, none negative, and a sum that
// its counts allow.
bool sensible(const LearnedDurations& times);

}  // namespace damsonspoke::statistics
