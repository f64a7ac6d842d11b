// A rate limit for each client prefix, in memory of fixed size.
//
// Each entry is a leaky bucket, stored as the time at which the bucket will be empty: the theoretical arrival
// time of the generic cell rate algorithm (ITU-T I.371). All buckets drain at the same rate, so that the
// order of the entries does not change over time.
#pragma once

#include <cstddef>

#include "conns/prefix.h"
#include "conns/space_saving.h"

namespace damsonspoke::conns {

// Each key may have `rate` events per second on average, and `burst` at once. Times are in seconds of one
// clock.
class RateSketch {
 public:
  RateSketch(std::size_t entries, double rate, double burst)
      : entries_(entries), rate_(rate), burst_(burst) {}

  [[nodiscard]] bool has_capacity(const Prefix& key, double now) const { return wait_seconds(key, now) <= 0; }
  // Seconds until the key may have its next event; 0: now.
  [[nodiscard]] double wait_seconds(const Prefix& key, double now) const;
  void add(const Prefix& key, double now);
  // The maximum number of events of a key outside the table that its count may have missed.
  [[nodiscard]] double max_error(double now) const;
  // Applies another limit and keeps the number of events in each bucket, so that a raised limit takes effect
  // immediately.
  void reconfigure(double rate, double burst, double now);

 private:
  SpaceSaving entries_;
  double rate_;
  double burst_;
};

}  // namespace damsonspoke::conns
