// Whether a tenant is within its quota at this server: a token bucket each, and its share of what is read
// here.
#pragma once

#include <cstdint>
#include <vector>

#include "admission/route_directory.h"

namespace damsonspoke {

// Memory and work a request are bounded, however many tenants there are. Times are seconds.
class TenantQuotas {
 public:
  TenantQuotas(const RouteDirectory& directory, int servers);

  [[nodiscard]] bool enabled() const { return directory_.tenant_count() > 0; }
  // Counts a request of this tenant as read. Whether it is within the quota.
  bool observe(int tenant, double now);
  // A request was admitted within its tenant's quota.
  void spend(int tenant);

 private:
  // Of a tenant seen lately. One that has not been seen for long has a full bucket and no share of the recent
  // requests, so nothing is lost with its entry.
  struct Entry {
    std::int32_t tenant = -1;
    std::uint32_t generation = 0;
    double tokens = 0;
    double refilled_at = 0;
    double share = 0;         // of the requests read, as of
    std::uint64_t reads = 0;  // so many read
  };
  Entry& entry(int tenant, const Tenant& settings);
  [[nodiscard]] double quota_share(const Tenant& settings) const;
  [[nodiscard]] double refill_per_second(const Tenant& settings) const;

  const RouteDirectory& directory_;
  const double servers_;
  std::vector<Entry> entries_;  // a set-associative table: sets of kWays entries
  std::uint64_t reads_ = 0;     // requests read so far
};

}  // namespace damsonspoke
