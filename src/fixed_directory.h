// A directory that never changes: the routes and tenants of one backend's settings.
#pragma once

#include <algorithm>
#include <vector>

#include "decide.h"

namespace damsonspoke {

class FixedRouteDirectory final : public RouteDirectory {
 public:
  explicit FixedRouteDirectory(const AdmissionOptions& settings)
      : routes_(settings.routes), tenants_(settings.tenants) {
    for (const Route& type : routes_) most_important_ = std::max(most_important_, type.priority_weight);
    for (const Tenant& tenant : tenants_) total_quota_per_second_ += tenant.quota_per_second;
  }

  const Route& route(int position) const override { return routes_[static_cast<std::size_t>(position)]; }
  Tenant tenant(int position) const override { return tenants_[static_cast<std::size_t>(position)]; }
  std::size_t route_count() const override { return routes_.size(); }
  std::size_t tenant_count() const override { return tenants_.size(); }
  std::size_t tenant_positions() const override { return tenants_.size(); }
  double total_quota_per_second() const override { return total_quota_per_second_; }
  double highest_priority_weight() const override { return most_important_; }

 private:
  const std::vector<Route> routes_;
  const std::vector<Tenant> tenants_;
  double total_quota_per_second_ = 0, most_important_ = 0;
};

}  // namespace damsonspoke
