// The active routes and tenants: lookups by name and by position, and aggregates over all of them that each
// change updates. Pure policy without I/O or a clock.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "admission/route_directory.h"
#include "catalog/change.h"
#include "catalog/change_error.h"
#include "catalog/entry_table.h"
#include "catalog/version.h"
#include "settings/settings.h"

namespace damsonspoke::catalog {

struct CatalogLimits {
  std::size_t routes = 0;
  std::size_t tenants = 0;
  bool allows_keyed_routes = true;  // whether this process can remember idempotency keys
};

class Catalog final : public RouteDirectory {
 public:
  // `key`: a random key for hashing names.
  Catalog(const CatalogLimits& limits, std::uint64_t key, HashFunction hash = keyed_hash);
  // The routes and tenants of the platform's settings, at version 0.0. Positions are those of the settings.
  // The limits are raised to the numbers in the settings if those are higher.
  static std::unique_ptr<Catalog> from_settings(const StartSettings& site, CatalogLimits limits,
                                                std::uint64_t key);

  // The position of a route or tenant; -1 if the name is unknown.
  [[nodiscard]] int find_route(std::string_view name) const { return routes_.find(name); }
  [[nodiscard]] int find_tenant(std::string_view name) const { return tenants_.find(name); }
  // Precondition: there is a route at this position.
  [[nodiscard]] std::string_view route_name(int position) const { return routes_.name_of(position); }
  [[nodiscard]] const Route& route(int position) const override { return routes_.at(position); }
  [[nodiscard]] Tenant tenant(int position) const override { return tenants_.at(position); }
  [[nodiscard]] std::size_t route_count() const override { return routes_.size(); }
  [[nodiscard]] std::size_t tenant_count() const override { return tenants_.size(); }
  [[nodiscard]] std::size_t max_tenant_positions() const override { return tenants_.max_positions(); }
  [[nodiscard]] double total_quota_per_second() const override { return total_quota_per_second_; }
  [[nodiscard]] double highest_priority_weight() const override {
    return routes_by_weight_.empty() ? 0 : routes_by_weight_.rbegin()->first;
  }

  // The priority weight of a route, relative to the highest one; 1 where all are 0.
  [[nodiscard]] double relative_priority_weight(int position) const {
    const double highest = highest_priority_weight();
    return highest > 0 ? route(position).priority_weight / highest : 1;
  }

  [[nodiscard]] Version version() const { return version_; }
  [[nodiscard]] HistoryDigest history() const { return history_; }
  [[nodiscard]] std::size_t memory_bytes() const { return routes_.memory_bytes() + tenants_.memory_bytes(); }
  [[nodiscard]] const NameIndex& route_names() const { return routes_.names(); }
  [[nodiscard]] const NameIndex& tenant_names() const { return tenants_.names(); }
  [[nodiscard]] const CatalogLimits& limits() const { return limits_; }

  // Applies a change in one step. If it is rejected, nothing has changed.
  [[nodiscard]] std::optional<ChangeError> apply(const Change& change);
  void set_version(Version version, HistoryDigest history);

  // ---- Replacement by a snapshot. The active catalog is used while a successor is built in small steps: add
  // its entries by add_entry(), call prepare_positions() until it returns false, then call replace_with().

  // An empty catalog with the limits of this one.
  [[nodiscard]] std::unique_ptr<Catalog> create_successor() const;
  // Call this on the successor. Entries that the predecessor also has keep their positions. After an error
  // the successor is incomplete and must be discarded.
  [[nodiscard]] std::optional<ChangeError> add_entry(const Change& entry, const Catalog& predecessor);
  // Call this on a successor that has all its entries: prepares `count` more positions. Returns false when
  // done.
  bool prepare_positions(std::size_t count);
  // Swaps the entries with those of the successor, in constant time.
  void replace_with(Catalog& successor);
  // Frees part of the memory of a catalog that is no longer used. Returns false when nothing is left.
  bool release_memory();

 private:
  [[nodiscard]] std::optional<ChangeError> validate(const Change& change) const;
  [[nodiscard]] std::optional<ChangeError> validate_route(const PutRoute& route) const;
  [[nodiscard]] std::optional<ChangeError> validate_tenant(const PutTenant& tenant) const;
  void put(const PutRoute& route, const Catalog* predecessor);
  void put(const PutTenant& tenant, const Catalog* predecessor);
  void remove(const RemoveRoute& route);
  void remove(const RemoveTenant& tenant);
  void count_weight(double priority_weight);
  void uncount_weight(double priority_weight);

  CatalogLimits limits_;
  std::uint64_t key_;
  HashFunction hash_;
  EntryTable<Route> routes_;
  EntryTable<Tenant> tenants_;
  double total_quota_per_second_ = 0;
  std::map<double, std::size_t> routes_by_weight_;  // number of routes by priority weight
  Version version_;
  HistoryDigest history_ = 0;
};

}  // namespace damsonspoke::catalog
