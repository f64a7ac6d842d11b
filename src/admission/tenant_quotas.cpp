#include "admission/tenant_quotas.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace damsonspoke {
namespace {

// Allowed multiple of the even share of a quota, because callers don't spread requests evenly.
constexpr double kUnevennessFactor = 1.1;
constexpr double kBurstSeconds = 1.5;  // of quota that a tenant may send at once
constexpr double kSmoothingRequests = 60;
constexpr double kShareFactor = 1.1;  // x its share of the quotas, because small numbers vary by chance
constexpr double kExtraTokens = 6;    // requests, because a small quota over many servers arrives in bursts
constexpr std::size_t kWays = 4;      // entries per set; the least recently seen one is replaced
constexpr std::size_t kMaxSets = 1 << 14;
constexpr double kMinTotalQuotaPerSecond = 1e-9;  // avoids a division by 0

}  // namespace

TenantQuotas::TenantQuotas(const RouteDirectory& directory, int servers)
    : directory_(directory),
      servers_(std::max(1, servers)),
      entries_(kWays * std::min(kMaxSets, (directory.max_tenant_positions() + kWays - 1) / kWays)) {}

double TenantQuotas::quota_share(const Tenant& settings) const {
  return settings.quota_per_second / std::max(kMinTotalQuotaPerSecond, directory_.total_quota_per_second());
}

double TenantQuotas::refill_per_second(const Tenant& settings) const {
  return kUnevennessFactor * settings.quota_per_second / servers_;
}

// Successive positions map to successive sets, so no tenant loses its entry while there are no more
// positions than entries.
TenantQuotas::Entry& TenantQuotas::entry(int tenant, const Tenant& settings) {
  const std::size_t set = static_cast<std::size_t>(tenant) % (entries_.size() / kWays);
  const auto begin = entries_.begin() + static_cast<std::ptrdiff_t>(set * kWays);
  const auto end = begin + kWays;
  auto found = std::find_if(begin, end, [&](const Entry& e) { return e.tenant == tenant; });
  if (found == end)
    found = std::min_element(begin, end, [](const Entry& a, const Entry& b) { return a.reads < b.reads; });
  if (found->tenant == tenant && found->generation == settings.generation) return *found;
  const double full = kExtraTokens + refill_per_second(settings) * kBurstSeconds;
  *found = {tenant, settings.generation, full, 0, quota_share(settings), 0};
  return *found;
}

// Traffic that is spread unevenly over the fleet brings more requests of every tenant to some servers. So a
// tenant can only be over its quota if its share of the requests read here also exceeds its share of all
// quotas.
bool TenantQuotas::observe(int tenant, double now) {
  const Tenant settings = directory_.tenant(tenant);
  Entry& entry = this->entry(tenant, settings);
  const double refill = refill_per_second(settings);
  entry.tokens =
      std::min(entry.tokens + (now - entry.refilled_at) * refill, kExtraTokens + refill * kBurstSeconds);
  entry.refilled_at = now;
  // Each request decays the shares of all other tenants; a tenant's decay is applied when it is seen again.
  entry.share *= std::pow(1 - 1 / kSmoothingRequests, static_cast<double>(reads_ - entry.reads));
  entry.share += (1 - entry.share) / kSmoothingRequests;
  entry.reads = ++reads_;
  return entry.tokens >= 1 || entry.share <= kShareFactor * quota_share(settings);
}

void TenantQuotas::spend(int tenant) {
  Entry& entry = this->entry(tenant, directory_.tenant(tenant));
  entry.tokens = std::max(0.0, entry.tokens - 1);
}

}  // namespace damsonspoke
