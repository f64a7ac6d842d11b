// Exponentially decaying scores of client prefixes, in memory of fixed size.
//
// A score is stored as now + half_life * log2(score), the time at which it will have decayed to one. This
// value, and thus the order of the entries, does not change while the score decays.
#pragma once

#include <cstddef>

#include "conns/prefix.h"
#include "conns/space_saving.h"

namespace damsonspoke::conns {

// Times are seconds of one clock.
class DecayingScoreSketch {
 public:
  DecayingScoreSketch(std::size_t entries, double half_life) : entries_(entries), half_life_(half_life) {}

  [[nodiscard]] double score(const Prefix& key, double now) const;
  void add(const Prefix& key, double points, double now);
  // Time until the key's score will have decayed to `score`; 0 if it is not above that.
  [[nodiscard]] double seconds_until(const Prefix& key, double score, double now) const;
  // Applies another half-life; the current scores stay the same.
  void reconfigure(double half_life, double now);

 private:
  SpaceSaving entries_;
  double half_life_;
};

}  // namespace damsonspoke::conns
