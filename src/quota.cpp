#include "quota.h"

#include <algorithm>
#include <cmath>

namespace damsonspoke {
namespace {

constexpr double kRoom = 1.1;      // x the even part of a quota: callers do not spread evenly
constexpr double kBurst = 1.5;     // s of quota that a tenant may send at once
constexpr double kMixMemory = 60;  // requests read; a tenant's burst shows within seconds
constexpr double kMixRoom = 1.1;   // x its part of the quotas: small numbers are uneven by chance
constexpr double kSpread = 6;      // requests on top: a small quota split over many backends comes in clumps
constexpr std::size_t kWays = 4;   // entries of a set; of four active ones in it the longest unseen goes
constexpr std::size_t kSets = 1 << 14;  // 65,536 tenants seen lately: a full bucket is back within seconds
constexpr double kLeastQuotas = 1e-9;   // requests a second; never a divisor of 0

}  // namespace

Quotas::Quotas(const RouteDirectory& directory, int servers)
    : directory_(directory),
      servers_(std::max(1, servers)),
      entries_(kWays * std::min(kSets, (directory.tenant_positions() + kWays - 1) / kWays)) {}

// Positions that follow each other are in sets that do: up to 65,536 tenants nobody loses an entry.
Quotas::Entry& Quotas::entry(int tenant, std::uint32_t generation) {
  const std::size_t set = static_cast<std::size_t>(tenant) % (entries_.size() / kWays);
  const auto begin = entries_.begin() + static_cast<std::ptrdiff_t>(set * kWays), end = begin + kWays;
  auto found = std::find_if(begin, end, [&](const Entry& e) { return e.tenant == tenant; });
  if (found == end)
    found = std::min_element(begin, end, [](const Entry& a, const Entry& b) { return a.reads < b.reads; });
  if (found->tenant == tenant && found->generation == generation) return *found;
  const Tenant settings = directory_.tenant(tenant);
  const double part = settings.quota_per_second / std::max(kLeastQuotas, directory_.total_quota_per_second());
  *found = {tenant, generation, kSpread + kRoom * settings.quota_per_second / servers_ * kBurst, 0, part, 0};
  return *found;
}

// Traffic that is spread unevenly over the fleet brings more of every tenant to some backends: only one
// whose part of what is read here is over its part of all quotas can be over its share. Guards against a zone
// that carries most of the load and refused half of it as beyond the shares.
bool Quotas::within(int tenant, double now) {
  const Tenant settings = directory_.tenant(tenant);
  Entry& e = entry(tenant, settings.generation);
  const double here = kRoom * settings.quota_per_second / servers_;
  e.tokens = std::min(e.tokens + (now - e.filled) * here, kSpread + here * kBurst);
  e.filled = now;
  // The others' parts fade with each request; that is reckoned when they are seen again.
  e.mix *= std::pow(1 - 1 / kMixMemory, static_cast<double>(reads_ - e.reads));
  e.mix += (1 - e.mix) / kMixMemory;
  e.reads = ++reads_;
  const double part = settings.quota_per_second / std::max(kLeastQuotas, directory_.total_quota_per_second());
  return e.tokens >= 1 || e.mix <= kMixRoom * part;
}

void Quotas::spend(int tenant) {
  Entry& e = entry(tenant, directory_.tenant(tenant).generation);
  e.tokens = std::max(0.0, e.tokens - 1);
}

}  // namespace damsonspoke
