// Decides whether a tenant is within its quota at this server, from a token bucket per tenant and the
// tenant's share of the requests that are read here.
#pragma once

#include <cstdint>
#include <vector>

#include "admission/route_directory.h"

namespace damsonspoke {

// Memory and the work per request are bounded, however many tenants there are. Times are seconds.
class TenantQuotas {
 public:
  TenantQuotas(const RouteDirectory& directory, int servers);

  [[nodiscard]] bool enabled() const { return directory_.tenant_count() > 0; }
  // Counts a request of this tenant. Returns whether the tenant is within its quota.
  bool observe(int tenant, double now);
  // Takes a token for a request that was admitted within its tenant's quota.
  void spend(int tenant);

 private:
  // State of a recently seen tenant. A tenant that has not been seen for long has a full bucket and no share
  // of the recent requests, so nothing is lost when its entry is replaced.
  struct Entry {
    std::int32_t tenant = -1;
    std::uint32_t generation = 0;
    double tokens = 0;
    double refilled_at = 0;
    double share = 0;         // of the requests read, as of the tenant's latest one
    std::uint64_t reads = 0;  // requests read up to the tenant's latest one
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
