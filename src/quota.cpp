#include "quota.h"

#include <algorithm>
#include <cmath>

namespace damsonspoke {
namespace {

constexpr double kRoom = 1.1;      // x the even part of a quota: callers do not spread evenly
constexpr double kBurst = 1.5;     // s of quota that a customer may send at once
constexpr double kMixMemory = 60;  // requests read; a customer's burst shows within seconds
constexpr double kMixRoom = 1.1;   // x its part of the quotas: small numbers are uneven by chance
constexpr double kSpread = 6;      // requests on top: a small quota split over many backends comes in clumps
constexpr std::size_t kWays = 4;   // entries of a set; of four active ones in it the longest unseen goes
constexpr std::size_t kSets = 1 << 14;  // 65,536 customers seen lately: a full bucket is back within seconds
constexpr double kLeastQuotas = 1e-9;   // requests a second; never a divisor of 0

}  // namespace

Quotas::Quotas(const Directory& directory, int servers)
    : directory_(directory),
      servers_(std::max(1, servers)),
      entries_(kWays * std::min(kSets, (directory.customer_positions() + kWays - 1) / kWays)) {}

// Positions that follow each other are in sets that do: up to 65,536 customers nobody loses an entry.
Quotas::Entry& Quotas::entry(int customer, std::uint32_t life) {
  const std::size_t set = static_cast<std::size_t>(customer) % (entries_.size() / kWays);
  const auto begin = entries_.begin() + static_cast<std::ptrdiff_t>(set * kWays), end = begin + kWays;
  auto found = std::find_if(begin, end, [&](const Entry& e) { return e.customer == customer; });
  if (found == end)
    found = std::min_element(begin, end, [](const Entry& a, const Entry& b) { return a.reads < b.reads; });
  if (found->customer == customer && found->life == life) return *found;
  const Customer settings = directory_.customer(customer);
  const double part = settings.quota_per_s / std::max(kLeastQuotas, directory_.quotas_per_s());
  *found = {customer, life, kSpread + kRoom * settings.quota_per_s / servers_ * kBurst, 0, part, 0};
  return *found;
}

// Traffic that is spread unevenly over the fleet brings more of every customer to some backends: only one
// whose part of what is read here is over its part of all quotas can be over its share. Guards against a zone
// that carries most of the load and refused half of it as beyond the shares.
bool Quotas::within(int customer, double now) {
  const Customer settings = directory_.customer(customer);
  Entry& e = entry(customer, settings.life);
  const double here = kRoom * settings.quota_per_s / servers_;
  e.tokens = std::min(e.tokens + (now - e.filled) * here, kSpread + here * kBurst);
  e.filled = now;
  // The others' parts fade with each request; that is reckoned when they are seen again.
  e.mix *= std::pow(1 - 1 / kMixMemory, static_cast<double>(reads_ - e.reads));
  e.mix += (1 - e.mix) / kMixMemory;
  e.reads = ++reads_;
  const double part = settings.quota_per_s / std::max(kLeastQuotas, directory_.quotas_per_s());
  return e.tokens >= 1 || e.mix <= kMixRoom * part;
}

void Quotas::spend(int customer) {
  Entry& e = entry(customer, directory_.customer(customer).life);
  e.tokens = std::max(0.0, e.tokens - 1);
}

}  // namespace damsonspoke
