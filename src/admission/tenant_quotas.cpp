#include "admission/tenant_quotas.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace damsonspoke {
namespace {

constexpr double kUnevennessFactor = 1.1;  // x the even share of a quota: callers don't spread evenly
constexpr double kBurstSeconds = 1.5;      // of quota that a tenant may send at once
constexpr double kSmoothingRequests = 60;
constexpr double kShareFactor = 1.1;  // x its share of the quotas: small numbers are uneven by chance
constexpr double kExtraTokens = 6;    // requests: a small quota split over many servers comes in clumps
constexpr std::size_t kWays = 4;      // entries of a set; the longest unseen one is replaced
constexpr std::size_t kMaxSets = 1 << 14;
constexpr double kMinTotalQuotaPerSecond = 1e-9;  // requests a second; never a divisor of 0

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

// Successive positions are in successive sets: up to the size of the table nobody loses an entry.
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

// Traffic that is spread unevenly over the fleet brings more of every tenant to some servers. So only a
// tenant whose share of what is read here exceeds its share of all quotas can be over its quota.
bool TenantQuotas::observe(int tenant, double now) {
  const Tenant settings = directory_.tenant(tenant);
  Entry& entry = this->entry(tenant, settings);
  const double refill = refill_per_second(settings);
  entry.tokens =
      std::min(entry.tokens + (now - entry.refilled_at) * refill, kExtraTokens + refill * kBurstSeconds);
  entry.refilled_at = now;
  // The shares of all others fade with each request; that is made up for when they are seen again.
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
