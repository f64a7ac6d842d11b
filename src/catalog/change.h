// Changes of the catalog, as plain values.
#pragma once

#include <string>
#include <variant>

#include "admission/options.h"

namespace damsonspoke::catalog {

// Adds a route, or replaces the settings of the route with this name.
struct PutRoute {
  std::string name;
  Route settings;
};

// Adds a tenant, or replaces the settings of the tenant with this name.
struct PutTenant {
  std::string name;
  Tenant settings;
};

struct RemoveRoute {
  std::string name;
};

struct RemoveTenant {
  std::string name;
};

using Change = std::variant<PutRoute, PutTenant, RemoveRoute, RemoveTenant>;

}  // namespace damsonspoke::catalog
