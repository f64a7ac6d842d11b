// Changes of the catalog, as values.
#pragma once

#include <string>
#include <variant>

#include "admission/options.h"

namespace damsonspoke::catalog {

struct PutRoute {
  std::string name;
  Route settings;
};
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
