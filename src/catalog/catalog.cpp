#include "catalog/catalog.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace damsonspoke::catalog {
namespace {

constexpr double kMaxTimeoutSeconds = 3600;  // s
constexpr std::size_t kPagesPerStep = 8;     // given back; some microseconds
constexpr double kMaxQuotaPerSecond = 1e9;   // requests a second

std::string unusable_name(const std::string& name) {
  if (name.empty()) return "its name is empty";
  if (name.size() > NameArena::kMaxNameBytes)
    return fmt::format("its name has {} bytes, {} at most", name.size(), NameArena::kMaxNameBytes);
  const auto unfit = [](char c) { return static_cast<unsigned char>(c) <= ' ' || c == '\x7f'; };
  if (std::any_of(name.begin(), name.end(), unfit)) return "its name is not one word";
  return {};
}

std::string unusable(const Route& type, const CatalogLimits& limits) {
  if (!(type.timeout > 0 && type.timeout <= kMaxTimeoutSeconds)) return "its timeout is out of range";
  if (!(type.latency_objective >= 0 && type.latency_objective <= kMaxTimeoutSeconds))
    return "its target is out of range";
  if (!(type.priority_weight >= 0) || !std::isfinite(type.priority_weight))
    return "its importance is out of range";
  if (type.idempotency == Idempotency::kWithKey && !limits.allows_keyed_routes)
    return "it is keyed, and keys are not remembered here";
  return {};
}

template <class... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

}  // namespace

Catalog::Catalog(const CatalogLimits& limits, std::uint64_t key, HashFunction hash)
    : limits_(limits),
      key_(key),
      hash_(hash),
      routes_(limits.routes, key, hash),
      tenants_(limits.tenants, key, hash) {}

std::unique_ptr<Catalog> Catalog::from_settings(const StartSettings& site, CatalogLimits limits,
                                                std::uint64_t key) {
  limits.routes = std::max(limits.routes, site.route_names.size());
  limits.tenants = std::max(limits.tenants, site.tenant_names.size());
  auto catalog = std::make_unique<Catalog>(limits, key);
  for (std::size_t i = 0; i < site.route_names.size(); ++i)
    catalog->put(PutRoute{site.route_names[i], site.admission.routes[i]}, nullptr);
  for (std::size_t i = 0; i < site.tenant_names.size(); ++i)
    catalog->put(PutTenant{site.tenant_names[i], site.admission.tenants[i]}, nullptr);
  return catalog;
}

std::string Catalog::refusal(const Change& change) const {
  return std::visit(
      Overloaded{[&](const PutRoute& route) {
                   std::string why = unusable_name(route.name);
                   if (why.empty()) why = unusable(route.settings, limits_);
                   if (why.empty() && routes_.full() && routes_.find(route.name) < 0)
                     why = fmt::format("there are {} routes already", routes_.size());
                   return why;
                 },
                 [&](const PutTenant& tenant) {
                   std::string why = unusable_name(tenant.name);
                   const double quota = tenant.settings.quota_per_second;
                   if (why.empty() && !(quota >= 0 && quota <= kMaxQuotaPerSecond))
                     why = "its quota is out of range";
                   if (why.empty() && tenants_.full() && tenants_.find(tenant.name) < 0)
                     why = fmt::format("there are {} tenants already", tenants_.size());
                   return why;
                 },
                 [&](const RemoveRoute& route) {
                   if (routes_.find(route.name) < 0) return std::string("there is no such route");
                   return routes_.size() > 1 ? std::string() : std::string("it is the last route");
                 },
                 [&](const RemoveTenant& tenant) {
                   return tenants_.find(tenant.name) >= 0 ? std::string()
                                                          : std::string("there is no such tenant");
                 }},
      change);
}

std::string Catalog::apply(const Change& change) {
  std::string why = refusal(change);
  if (!why.empty()) return why;
  std::visit(Overloaded{[&](const PutRoute& route) { put(route, nullptr); },
                        [&](const PutTenant& tenant) { put(tenant, nullptr); },
                        [&](const RemoveRoute& route) { remove(route); },
                        [&](const RemoveTenant& tenant) { remove(tenant); }},
             change);
  return {};
}

void Catalog::count(double priority_weight, int by) {
  std::size_t& routes = routes_by_weight_[priority_weight];
  routes += static_cast<std::size_t>(by);
  if (routes == 0) routes_by_weight_.erase(priority_weight);
}

void Catalog::put(const PutRoute& route, const Catalog* predecessor) {
  const int before = routes_.find(route.name);
  if (before >= 0) count(routes_.at(before).priority_weight, -1);
  routes_.put(route.name, route.settings, predecessor != nullptr ? &predecessor->routes_ : nullptr);
  count(route.settings.priority_weight, 1);
}

void Catalog::put(const PutTenant& tenant, const Catalog* predecessor) {
  const int before = tenants_.find(tenant.name);
  if (before >= 0) total_quota_per_second_ -= tenants_.at(before).quota_per_second;
  tenants_.put(tenant.name, tenant.settings, predecessor != nullptr ? &predecessor->tenants_ : nullptr);
  total_quota_per_second_ += tenant.settings.quota_per_second;
}

void Catalog::remove(const RemoveRoute& route) {
  count(routes_.at(routes_.find(route.name)).priority_weight, -1);
  routes_.remove(route.name);
}

void Catalog::remove(const RemoveTenant& tenant) {
  total_quota_per_second_ -= tenants_.at(tenants_.find(tenant.name)).quota_per_second;
  tenants_.remove(tenant.name);
  if (tenants_.size() == 0) total_quota_per_second_ = 0;  // no drift of sums
}

std::unique_ptr<Catalog> Catalog::successor() const {
  auto next = std::make_unique<Catalog>(limits_, key_, hash_);
  next->routes_.continue_generations_of(routes_);
  next->tenants_.continue_generations_of(tenants_);
  return next;
}

std::string Catalog::add(const Change& entry, const Catalog& predecessor) {
  std::string why = refusal(entry);
  if (!why.empty()) return why;
  if (const auto* route = std::get_if<PutRoute>(&entry)) {
    if (routes_.find(route->name) >= 0) return "this route stands twice";
    put(*route, &predecessor);
  } else if (const auto* tenant = std::get_if<PutTenant>(&entry)) {
    if (tenants_.find(tenant->name) >= 0) return "this tenant stands twice";
    put(*tenant, &predecessor);
  } else {
    return "a snapshot removes nothing";
  }
  return {};
}

bool Catalog::prepare(std::size_t positions) {
  return routes_.collect_free_positions(positions) || tenants_.collect_free_positions(positions);
}

void Catalog::take_over(Catalog& successor) {
  std::swap(routes_, successor.routes_);
  std::swap(tenants_, successor.tenants_);
  std::swap(total_quota_per_second_, successor.total_quota_per_second_);
  std::swap(routes_by_weight_, successor.routes_by_weight_);
  version_ = successor.version_;
  history_ = successor.history_;
}

bool Catalog::release() { return routes_.release(kPagesPerStep) || tenants_.release(kPagesPerStep); }

}  // namespace damsonspoke::catalog
