#include "conns/rate_sketch.h"

#include <algorithm>

namespace damsonspoke::conns {

double RateSketch::wait_seconds(const Prefix& key, double now) const {
  const SpaceSaving::Entry* entry = entries_.find(key);
  const double empty_at = entry == nullptr ? now : std::max(now, entry->lower);
  return std::max(0.0, empty_at + (1 - burst_) / rate_ - now);
}

void RateSketch::add(const Prefix& key, double now) {
  const SpaceSaving::Entry entry = entries_.insert(key, now);
  entries_.update(key, std::max(now, entry.upper) + 1 / rate_, std::max(now, entry.lower) + 1 / rate_);
}

double RateSketch::max_error(double now) const {
  return std::max(0.0, (entries_.max_absent() - now) * rate_);
}

void RateSketch::reconfigure(double rate, double burst, double now) {
  entries_.transform([&](double empty_at) { return now + (empty_at - now) * rate_ / rate; });
  rate_ = rate;
  burst_ = burst;
}

}  // namespace damsonspoke::conns
