#include "catalog/change_error.h"

#include <fmt/format.h>

namespace damsonspoke::catalog {

std::string to_string(const ChangeError& error) {
  switch (error.code) {
    case ChangeErrorCode::kEmptyName: return "its name is empty";
    case ChangeErrorCode::kNameTooLong:
      return fmt::format("its name has {} bytes, {} at most", error.actual, error.limit);
    case ChangeErrorCode::kNameNotOneWord: return "its name is not one word";
    case ChangeErrorCode::kTimeoutOutOfRange: return "its timeout is out of range";
    case ChangeErrorCode::kLatencyObjectiveOutOfRange: return "its target is out of range";
    case ChangeErrorCode::kPriorityWeightOutOfRange: return "its importance is out of range";
    case ChangeErrorCode::kQuotaOutOfRange: return "its quota is out of range";
    case ChangeErrorCode::kKeysNotSupported: return "it is keyed, and keys are not remembered here";
    case ChangeErrorCode::kTooManyRoutes: return fmt::format("there are {} routes already", error.limit);
    case ChangeErrorCode::kTooManyTenants: return fmt::format("there are {} tenants already", error.limit);
    case ChangeErrorCode::kUnknownRoute: return "there is no such route";
    case ChangeErrorCode::kUnknownTenant: return "there is no such tenant";
    case ChangeErrorCode::kLastRoute: return "it is the last route";
    case ChangeErrorCode::kDuplicateRoute: return "this route stands twice";
    case ChangeErrorCode::kDuplicateTenant: return "this tenant stands twice";
    case ChangeErrorCode::kRemovalInSnapshot: return "a snapshot removes nothing";
  }
  return {};
}

}  // namespace damsonspoke::catalog
