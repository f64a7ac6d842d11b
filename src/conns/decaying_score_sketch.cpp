#include "conns/decaying_score_sketch.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace damsonspoke::conns {

double DecayingScoreSketch::score(const Prefix& key, double now) const {
  const SpaceSaving::Entry* entry = entries_.find(key);
  return entry == nullptr ? 0 : std::exp2((entry->lower - now) / half_life_);
}

void DecayingScoreSketch::add(const Prefix& key, double points, double now) {
  const SpaceSaving::Entry entry = entries_.insert(key, -std::numeric_limits<double>::infinity());
  const auto increased = [&](double value) {
    return now + half_life_ * std::log2(std::exp2((value - now) / half_life_) + points);
  };
  entries_.update(key, increased(entry.upper), increased(entry.lower));
}

double DecayingScoreSketch::seconds_until(const Prefix& key, double score, double now) const {
  const SpaceSaving::Entry* entry = entries_.find(key);
  if (entry == nullptr) return 0;
  return std::max(0.0, entry->lower - half_life_ * std::log2(score) - now);
}

void DecayingScoreSketch::reconfigure(double half_life, double now) {
  entries_.transform([&](double value) { return now + (value - now) * half_life / half_life_; });
  half_life_ = half_life;
}

}  // namespace damsonspoke::conns
