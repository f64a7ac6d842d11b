// The routes (routes) and tenants (tenants) that are in force: look-ups by name and by position, and the
// sums over all of them, which follow each change. Pure policy: no I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "admission/route_directory.h"
#include "catalog/change.h"
#include "catalog/entry_table.h"
#include "catalog/version.h"
#include "settings/settings.h"

namespace damsonspoke::catalog {

struct CatalogLimits {
  std::size_t routes = 0;
  std::size_t tenants = 0;
  bool allows_keyed_routes = true;  // whether keys can be remembered here
};

class Catalog final : public RouteDirectory {
 public:
  // `key`: of the names' hash, drawn by chance.
  Catalog(const CatalogLimits& limits, std::uint64_t key, HashFunction hash = keyed_hash);
  // What the platform's settings name, at version 0. Positions are those of the settings. The limits are at
  // least what it takes.
  static std::unique_ptr<Catalog> from_settings(const StartSettings& site, CatalogLimits limits,
                                                std::uint64_t key);

  // ---- Look-ups.
  int find_route(std::string_view name) const { return routes_.find(name); }  // position; -1: unknown
  int find_tenant(std::string_view name) const { return tenants_.find(name); }
  std::string_view route_name(int position) const { return routes_.name_of(position); }
  const Route& route(int position) const override { return routes_.at(position); }
  Tenant tenant(int position) const override { return tenants_.at(position); }
  std::size_t route_count() const override { return routes_.size(); }
  std::size_t tenant_count() const override { return tenants_.size(); }
  std::size_t tenant_positions() const override { return tenants_.max_positions(); }
  double total_quota_per_second() const override { return total_quota_per_second_; }
  double highest_priority_weight() const override {
    return routes_by_weight_.empty() ? 0 : routes_by_weight_.rbegin()->first;
  }

  Version version() const { return version_; }
  HistoryDigest history() const { return history_; }
  std::size_t memory_bytes() const { return routes_.memory_bytes() + tenants_.memory_bytes(); }
  const NameIndex& route_names() const { return routes_.names(); }
  const NameIndex& tenant_names() const { return tenants_.names(); }
  const CatalogLimits& limits() const { return limits_; }

  // ---- Changes.
  // Empty: in force, in one step. Else why it is refused, in plain words; then nothing has changed.
  std::string apply(const Change& change);
  void set_version(Version version, HistoryDigest history) { version_ = version, history_ = history; }

  // ---- Replacement of everything by a snapshot, while this one stays in force.
  // A catalog without entries; those that it is given have the positions that this one gave them.
  std::unique_ptr<Catalog> successor() const;
  // Entries of a successor. Empty: taken; else why not: then the whole successor is of no use.
  std::string add(const Change& entry, const Catalog& predecessor);
  // Of a successor that has all entries: prepares so many more positions. False when it is ready to take
  // over.
  bool prepare(std::size_t positions);
  // In force in one step, of constant time.
  void take_over(Catalog& successor);
  // Of one that is no longer in force: gives back a part of its memory. False when none is left.
  bool release();

 private:
  std::string refusal(const Change& change) const;
  void put(const PutRoute& route, const Catalog* predecessor);
  void put(const PutTenant& tenant, const Catalog* predecessor);
  void remove(const RemoveRoute& route);
  void remove(const RemoveTenant& tenant);
  void count(double priority_weight, int by);

  CatalogLimits limits_;
  std::uint64_t key_;
  HashFunction hash_;
  Table<Route> routes_;
  Table<Tenant> tenants_;
  double total_quota_per_second_ = 0;
  std::map<double, std::size_t> routes_by_weight_;  // how many routes have it
  Version version_;
  HistoryDigest history_ = 0;
};

}  // namespace damsonspoke::catalog
