// Whether a tenant is within its quota at this backend: a token bucket each, and its part of what is read
// here. Pure policy. Memory and work a request are bounded, however many tenants there are.
#pragma once

#include <cstdint>
#include <vector>

#include "decide.h"

namespace damsonspoke {

class Quotas {
 public:
  Quotas(const RouteDirectory& directory, int servers);

  bool on() const { return directory_.tenant_count() > 0; }
  // Counts a request of this tenant as read, at `now` (s).
  bool within(int tenant, double now);
  // One that was admitted within its quota.
  void spend(int tenant);

 private:
  // What is kept of a tenant seen lately. One that has not been seen for long has a full bucket and no part
  // of the recent requests, so nothing is lost with its entry.
  struct Entry {
    std::int32_t tenant = -1;
    std::uint32_t generation = 0;
    double tokens = 0;
    double filled = 0;        // s
    double mix = 0;           // its part of the requests read, as of
    std::uint64_t reads = 0;  // so many read
  };
  Entry& entry(int tenant, std::uint32_t generation);

  const RouteDirectory& directory_;
  const double servers_;
  std::vector<Entry> entries_;  // sets of kWays entries
  std::uint64_t reads_ = 0;     // requests read so far
};

}  // namespace damsonspoke
