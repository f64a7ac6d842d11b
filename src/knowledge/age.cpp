#include "knowledge/age.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace damsonspoke::knowledge {
namespace {

constexpr std::size_t kBins = 13;     // of the module's histogram
constexpr double kFirstBin = 0.005;   // s; its upper end, each next twice as wide
constexpr double kMostCount = 64;     // values; the module halves its histogram there
constexpr double kClockSlack = 5;     // s that clocks of two lives on one machine may differ by
constexpr double kLeastShare = 0.05;  // of the weight; less would be forgotten with the first value
constexpr int kMostStarts = 2;        // lives that a record may be the death of
constexpr double kSameTime = 0.01;    // share by which two settings may differ and be the same
constexpr double kLeastValues = 3;    // that a histogram must have seen to say anything

bool same(double a, double b) { return std::abs(a - b) <= kSameTime * std::max(std::abs(a), std::abs(b)); }

double count_of(const LearnedTimes& times) {
  double count = 0;
  for (const double n : times.bins) count += n;
  return count;
}

// As many values as are believed, never more than there were.
LearnedTimes weakened(const LearnedTimes& times, double values) {
  const double count = count_of(times);
  const double scale = std::min(1.0, values / count);
  LearnedTimes out = times;
  for (double& n : out.bins) n *= scale;
  out.sum *= scale;
  return out;
}

}  // namespace

bool sensible(const LearnedTimes& times) {
  if (times.bins.size() != kBins || !std::isfinite(times.sum) || times.sum < 0) return false;
  double count = 0, least = 0, most = 0;
  for (std::size_t i = 0; i < kBins; ++i) {
    const double n = times.bins[i];
    if (!std::isfinite(n) || n < 0 || n > kMostCount) return false;
    count += n;
    const double end = kFirstBin * std::exp2(static_cast<double>(i));
    if (i > 0) least += n * end / 2;
    most += n * (i + 1 == kBins ? 3600 : end);  // the last bin has no end; nobody runs for an hour
  }
  constexpr double kDrift = 1e-6;  // s; of sums that were halved many times
  return count <= kMostCount && times.sum >= least * (1 - 1e-6) - kDrift &&
         times.sum <= most * (1 + 1e-6) + kDrift;
}

Belief believe(const Record& record, const StartSettings& site, double now_unix, int starts,
               const Terms& terms) {
  Belief out;
  const auto none = [&](std::string why) {
    out.reasons.push_back(std::move(why));
    return out;
  };
  const double age = now_unix - record.written;
  if (!std::isfinite(record.written) || record.written <= 0)
    return none("it does not say when it was written");
  if (age < -kClockSlack) return none("it was written in the future: a clock was set back");
  if (age > terms.most_age) return none(fmt::format("it is {:.0f} s old", age));
  if (record.troubled) return none("it was learned in a bad spell");
  if (starts >= kMostStarts) return none(fmt::format("{} lives began with it and did not last", starts));
  if (record.cores != site.settings.cores)
    return none(fmt::format("it was learned on {} cores", record.cores));
  out.share = std::exp2(-std::max(0.0, age) / terms.half_life);
  if (out.share < kLeastShare) return none(fmt::format("it is {:.0f} s old", age));
  const double values = out.share * terms.weight;
  const Settings& s = site.settings;
  const bool same_below = record.below == static_cast<int>(s.below);
  if (!same_below) out.reasons.push_back("calls: the layer below is another kind");

  out.prior.types.resize(s.op_types.size());
  for (std::size_t i = 0; i < s.op_types.size(); ++i) {
    const std::string& name = site.type_names[i];
    const auto found = std::find_if(record.types.begin(), record.types.end(),
                                    [&](const TypeRecord& t) { return t.name == name; });
    const auto skip = [&](const char* why) { out.reasons.push_back(fmt::format("{}: {}", name, why)); };
    if (found == record.types.end()) {
      skip("is new");
      continue;
    }
    const OpType& type = s.op_types[i];
    // Other targets or calls: the type may well do something else now.
    if (!same(found->target, type.target_latency) || !same(found->timeout, type.op_timeout) ||
        found->calls != type.calls) {
      skip("its settings have changed");
      continue;
    }
    if (!sensible(found->run) || !sensible(found->away)) {
      skip("its values make no sense");
      continue;
    }
    if (count_of(found->run) < kLeastValues) {
      skip("too little was learned");
      continue;
    }
    if (type.calls && !same_below) continue;
    out.prior.types[i].run = weakened(found->run, values);
    if (count_of(found->away) > 0) out.prior.types[i].away = weakened(found->away, values);
    out.any = true;
  }
  if (same_below && s.below != Below::kOff) {
    if (!sensible(record.calls)) {
      out.reasons.push_back("calls: values make no sense");
    } else if (count_of(record.calls) >= kLeastValues) {
      out.prior.calls = weakened(record.calls, values);
    }
  }
  const bool sane_returns = std::isfinite(record.returns) && record.returns >= 0 && record.returns <= 1;
  // Callers' habits change within the hour: believed half-way between what was and what one begins with.
  if (sane_returns && same(record.caller_idle, s.caller_idle))
    out.prior.returns = 1 + (record.returns - 1) * out.share;
  return out;
}

}  // namespace damsonspoke::knowledge
