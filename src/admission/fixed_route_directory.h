// A route directory that never changes: the routes and tenants of the server's settings.
#pragma once

#include <algorithm>
#include <vector>

#include "admission/route_directory.h"

namespace damsonspoke {

class FixedRouteDirectory final : public RouteDirectory {
 public:
  explicit FixedRouteDirectory(const AdmissionOptions& options)
      : routes_(options.routes), tenants_(options.tenants) {
    for (const Route& route : routes_)
      highest_priority_weight_ = std::max(highest_priority_weight_, route.priority_weight);
    for (const Tenant& tenant : tenants_) total_quota_per_second_ += tenant.quota_per_second;
  }

  const Route& route(int position) const override { return routes_[static_cast<std::size_t>(position)]; }
  Tenant tenant(int position) const override { return tenants_[static_cast<std::size_t>(position)]; }
  std::size_t route_count() const override { return routes_.size(); }
  std::size_t tenant_count() const override { return tenants_.size(); }
  std::size_t max_tenant_positions() const override { return tenants_.size(); }
  double total_quota_per_second() const override { return total_quota_per_second_; }
  double highest_priority_weight() const override { return highest_priority_weight_; }

 private:
  const std::vector<Route> routes_;
  const std::vector<Tenant> tenants_;
  double total_quota_per_second_ = 0, highest_priority_weight_ = 0;
};

}  // namespace damsonspoke
