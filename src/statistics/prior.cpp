#include "statistics/prior.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace damsonspoke::statistics {
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

double count_of(const LearnedDurations& times) {
  double count = 0;
  for (const double n : times.bins) count += n;
  return count;
}

// As many values as are believed, never more than there were.
LearnedDurations weakened(const LearnedDurations& times, double values) {
  const double count = count_of(times);
  const double scale = std::min(1.0, values / count);
  LearnedDurations out = times;
  for (double& n : out.bins) n *= scale;
  out.sum *= scale;
  return out;
}

}  // namespace

bool sensible(const LearnedDurations& times) {
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

Prior derive_prior(const StatisticsRecord& record, const StartSettings& site, double now_unix, int starts,
                   const PriorOptions& terms) {
  Prior out;
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
  if (record.cores != site.admission.cores)
    return none(fmt::format("it was learned on {} cores", record.cores));
  out.share = std::exp2(-std::max(0.0, age) / terms.half_life);
  if (out.share < kLeastShare) return none(fmt::format("it is {:.0f} s old", age));
  const double values = out.share * terms.weight;
  const AdmissionOptions& s = site.admission;
  const bool same_below = record.dependency == static_cast<int>(s.dependency);
  if (!same_below) out.reasons.push_back("calls: the layer below is another kind");

  out.prior.routes.resize(s.routes.size());
  for (std::size_t i = 0; i < s.routes.size(); ++i) {
    const std::string& name = site.route_names[i];
    const auto found = std::find_if(record.types.begin(), record.types.end(),
                                    [&](const RouteRecord& t) { return t.name == name; });
    const auto skip = [&](const char* why) { out.reasons.push_back(fmt::format("{}: {}", name, why)); };
    if (found == record.types.end()) {
      skip("is new");
      continue;
    }
    const Route& type = s.routes[i];
    // Other targets or calls: the type may well do something else now.
    if (!same(found->target, type.latency_objective) || !same(found->timeout, type.timeout) ||
        found->calls != type.calls_dependency) {
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
    if (type.calls_dependency && !same_below) continue;
    out.prior.routes[i].run = weakened(found->run, values);
    if (count_of(found->away) > 0) out.prior.routes[i].away = weakened(found->away, values);
    out.any = true;
  }
  if (same_below && s.dependency != DependencyKind::kOff) {
    if (!sensible(record.calls)) {
      out.reasons.push_back("calls: values make no sense");
    } else if (count_of(record.calls) >= kLeastValues) {
      out.prior.calls = weakened(record.calls, values);
    }
  }
  const bool sane_returns = std::isfinite(record.returns) && record.returns >= 0 && record.returns <= 1;
  // Callers' habits change within the hour: believed half-way between what was and what one begins with.
  if (sane_returns && same(record.caller_idle_timeout, s.caller_idle_timeout))
    out.prior.returning_share = 1 + (record.returns - 1) * out.share;
  return out;
}

}  // namespace damsonspoke::statistics
