// A rate limit for each client prefix in memory of fixed size.
//
// Each entry is a leaky bucket, stored as the time at which the bucket will be empty: the theoretical arrival
// time of the generic cell rate algorithm (ITU-T I.371). All buckets drain equally fast, so that the order of
// the entries does not change as time passes.
#pragma once

#include <cstddef>

#include "conns/prefix.h"
#include "conns/space_saving.h"

namespace damsonspoke::conns {

// At most `rate` events a second of a key in the long run, and `burst` at once. Times are seconds of one
// clock.
class RateSketch {
 public:
  RateSketch(std::size_t entries, double rate, double burst)
      : entries_(entries), rate_(rate), burst_(burst) {}

  [[nodiscard]] bool has_capacity(const Prefix& key, double now) const { return wait_seconds(key, now) <= 0; }
  // Time until the key may have its next event; 0: now.
  [[nodiscard]] double wait_seconds(const Prefix& key, double now) const;
  void add(const Prefix& key, double now);
  // Events of a key outside the table that may be missing from its count.
  [[nodiscard]] double max_error(double now) const;
  // Applies another limit and keeps the events that are in the buckets, so that a raised limit takes effect
  // at once.
  void reconfigure(double rate, double burst, double now);

 private:
  SpaceSaving entries_;
  double rate_;
  double burst_;
};

}  // namespace damsonspoke::conns
