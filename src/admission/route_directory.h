// Interface through which the admission controller looks up routes and tenants.
#pragma once

#include <cstddef>

#include "admission/options.h"

namespace damsonspoke {

// Routes and tenants by position. The content may change between two calls of an AdmissionController, but
// not during one. Every function takes constant time, however many entries there are.
class RouteDirectory {
 public:
  virtual ~RouteDirectory() = default;
  [[nodiscard]] virtual const Route& route(int position) const = 0;
  [[nodiscard]] virtual Tenant tenant(int position) const = 0;
  [[nodiscard]] virtual std::size_t route_count() const = 0;
  [[nodiscard]] virtual std::size_t tenant_count() const = 0;  // 0: there are no quotas
  // Upper bound of all present and future positions of tenants.
  [[nodiscard]] virtual std::size_t max_tenant_positions() const = 0;
  [[nodiscard]] virtual double total_quota_per_second() const = 0;   // of all tenants together
  [[nodiscard]] virtual double highest_priority_weight() const = 0;  // of all routes
};

}  // namespace damsonspoke
