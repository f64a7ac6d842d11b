#include "catalog/change_error.h"

#include <fmt/format.h>

namespace damsonspoke::catalog {

std::string to_string(const ChangeError& error) {
  switch (error.code) {
    case ChangeErrorCode::kEmptyName: return "its name is empty";
    case ChangeErrorCode::kNameTooLong:
      return fmt::format("its name is {} bytes long, the limit is {}", error.actual, error.limit);
    case ChangeErrorCode::kNameNotOneWord: return "its name contains whitespace";
    case ChangeErrorCode::kTimeoutOutOfRange: return "its timeout is out of range";
    case ChangeErrorCode::kLatencyObjectiveOutOfRange: return "its target is out of range";
    case ChangeErrorCode::kPriorityWeightOutOfRange: return "its priority weight is out of range";
    case ChangeErrorCode::kQuotaOutOfRange: return "its quota is out of range";
    case ChangeErrorCode::kKeysNotSupported:
      return "it needs idempotency keys, which this process does not remember";
    case ChangeErrorCode::kTooManyRoutes:
      return fmt::format("the catalog is full with {} routes", error.limit);
    case ChangeErrorCode::kTooManyTenants:
      return fmt::format("the catalog is full with {} tenants", error.limit);
    case ChangeErrorCode::kUnknownRoute: return "there is no such route";
    case ChangeErrorCode::kUnknownTenant: return "there is no such tenant";
    case ChangeErrorCode::kLastRoute: return "it is the last route";
    case ChangeErrorCode::kDuplicateRoute: return "duplicate route";
    case ChangeErrorCode::kDuplicateTenant: return "duplicate tenant";
    case ChangeErrorCode::kRemovalInSnapshot: return "a snapshot can't contain removals";
  }
  return {};
}

}  // namespace damsonspoke::catalog
