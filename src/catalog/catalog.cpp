#include "catalog/catalog.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "catalog/overloaded.h"

namespace damsonspoke::catalog {
namespace {

using Code = ChangeErrorCode;

constexpr double kMaxTimeoutSeconds = 3600;
constexpr double kMaxQuotaPerSecond = 1e9;
constexpr std::size_t kPagesPerRelease = 8;  // takes a few microseconds

std::optional<ChangeError> validate_name(const std::string& name) {
  if (name.empty()) return ChangeError{Code::kEmptyName};
  if (name.size() > NameArena::kMaxNameBytes)
    return ChangeError{Code::kNameTooLong, name.size(), NameArena::kMaxNameBytes};
  const auto is_blank = [](char c) { return static_cast<unsigned char>(c) <= ' ' || c == '\x7f'; };
  if (std::any_of(name.begin(), name.end(), is_blank)) return ChangeError{Code::kNameNotOneWord};
  return std::nullopt;
}

// The comparisons are written so that NaN is rejected.
std::optional<ChangeError> validate_settings(const Route& route, const CatalogLimits& limits) {
  if (!(route.timeout > 0 && route.timeout <= kMaxTimeoutSeconds))
    return ChangeError{Code::kTimeoutOutOfRange};
  if (!(route.latency_objective >= 0 && route.latency_objective <= kMaxTimeoutSeconds))
    return ChangeError{Code::kLatencyObjectiveOutOfRange};
  if (!(route.priority_weight >= 0) || !std::isfinite(route.priority_weight))
    return ChangeError{Code::kPriorityWeightOutOfRange};
  if (route.idempotency == Idempotency::kWithKey && !limits.allows_keyed_routes)
    return ChangeError{Code::kKeysNotSupported};
  return std::nullopt;
}

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

void Catalog::set_version(Version version, HistoryDigest history) {
  version_ = version;
  history_ = history;
}

std::optional<ChangeError> Catalog::validate_route(const PutRoute& route) const {
  if (const auto error = validate_name(route.name)) return error;
  if (const auto error = validate_settings(route.settings, limits_)) return error;
  if (routes_.is_full() && routes_.find(route.name) < 0)
    return ChangeError{Code::kTooManyRoutes, 0, routes_.size()};
  return std::nullopt;
}

std::optional<ChangeError> Catalog::validate_tenant(const PutTenant& tenant) const {
  if (const auto error = validate_name(tenant.name)) return error;
  const double quota = tenant.settings.quota_per_second;
  if (!(quota >= 0 && quota <= kMaxQuotaPerSecond)) return ChangeError{Code::kQuotaOutOfRange};
  if (tenants_.is_full() && tenants_.find(tenant.name) < 0)
    return ChangeError{Code::kTooManyTenants, 0, tenants_.size()};
  return std::nullopt;
}

std::optional<ChangeError> Catalog::validate(const Change& change) const {
  using Result = std::optional<ChangeError>;
  return std::visit(Overloaded{[&](const PutRoute& route) { return validate_route(route); },
                               [&](const PutTenant& tenant) { return validate_tenant(tenant); },
                               [&](const RemoveRoute& route) -> Result {
                                 if (routes_.find(route.name) < 0) return ChangeError{Code::kUnknownRoute};
                                 if (routes_.size() == 1) return ChangeError{Code::kLastRoute};
                                 return std::nullopt;
                               },
                               [&](const RemoveTenant& tenant) -> Result {
                                 if (tenants_.find(tenant.name) < 0) return ChangeError{Code::kUnknownTenant};
                                 return std::nullopt;
                               }},
                    change);
}

std::optional<ChangeError> Catalog::apply(const Change& change) {
  if (const auto error = validate(change)) return error;
  std::visit(Overloaded{[&](const PutRoute& route) { put(route, nullptr); },
                        [&](const PutTenant& tenant) { put(tenant, nullptr); },
                        [&](const RemoveRoute& route) { remove(route); },
                        [&](const RemoveTenant& tenant) { remove(tenant); }},
             change);
  return std::nullopt;
}

void Catalog::count_weight(double priority_weight) { ++routes_by_weight_[priority_weight]; }

void Catalog::uncount_weight(double priority_weight) {
  const auto found = routes_by_weight_.find(priority_weight);
  if (--found->second == 0) routes_by_weight_.erase(found);
}

void Catalog::put(const PutRoute& route, const Catalog* predecessor) {
  const int existing = routes_.find(route.name);
  if (existing >= 0) uncount_weight(routes_.at(existing).priority_weight);
  routes_.put(route.name, route.settings, predecessor != nullptr ? &predecessor->routes_ : nullptr);
  count_weight(route.settings.priority_weight);
}

void Catalog::put(const PutTenant& tenant, const Catalog* predecessor) {
  const int existing = tenants_.find(tenant.name);
  if (existing >= 0) total_quota_per_second_ -= tenants_.at(existing).quota_per_second;
  tenants_.put(tenant.name, tenant.settings, predecessor != nullptr ? &predecessor->tenants_ : nullptr);
  total_quota_per_second_ += tenant.settings.quota_per_second;
}

void Catalog::remove(const RemoveRoute& route) {
  uncount_weight(routes_.at(routes_.find(route.name)).priority_weight);
  routes_.remove(route.name);
}

void Catalog::remove(const RemoveTenant& tenant) {
  total_quota_per_second_ -= tenants_.at(tenants_.find(tenant.name)).quota_per_second;
  tenants_.remove(tenant.name);
  if (tenants_.size() == 0) total_quota_per_second_ = 0;  // removes accumulated rounding errors
}

std::unique_ptr<Catalog> Catalog::create_successor() const {
  auto successor = std::make_unique<Catalog>(limits_, key_, hash_);
  successor->routes_.continue_generations_of(routes_);
  successor->tenants_.continue_generations_of(tenants_);
  return successor;
}

std::optional<ChangeError> Catalog::add_entry(const Change& entry, const Catalog& predecessor) {
  if (const auto error = validate(entry)) return error;
  if (const auto* route = std::get_if<PutRoute>(&entry)) {
    if (routes_.find(route->name) >= 0) return ChangeError{Code::kDuplicateRoute};
    put(*route, &predecessor);
  } else if (const auto* tenant = std::get_if<PutTenant>(&entry)) {
    if (tenants_.find(tenant->name) >= 0) return ChangeError{Code::kDuplicateTenant};
    put(*tenant, &predecessor);
  } else {
    return ChangeError{Code::kRemovalInSnapshot};
  }
  return std::nullopt;
}

bool Catalog::prepare_positions(std::size_t count) {
  return routes_.collect_free_positions(count) || tenants_.collect_free_positions(count);
}

void Catalog::replace_with(Catalog& successor) {
  std::swap(routes_, successor.routes_);
  std::swap(tenants_, successor.tenants_);
  std::swap(total_quota_per_second_, successor.total_quota_per_second_);
  std::swap(routes_by_weight_, successor.routes_by_weight_);
  version_ = successor.version_;
  history_ = successor.history_;
}

bool Catalog::release_memory() {
  return routes_.release_pages(kPagesPerRelease) || tenants_.release_pages(kPagesPerRelease);
}

}  // namespace damsonspoke::catalog
