// Why the catalog rejects a change.
#pragma once

#include <cstddef>
#include <string>

namespace damsonspoke::catalog {

enum class ChangeErrorCode {
  kEmptyName,
  kNameTooLong,  // `actual` and `limit`: bytes
  kNameNotOneWord,
  kTimeoutOutOfRange,
  kLatencyObjectiveOutOfRange,
  kPriorityWeightOutOfRange,
  kQuotaOutOfRange,
  kKeysNotSupported,  // a route with idempotency keys, but this process remembers no keys
  kTooManyRoutes,     // `limit` is set
  kTooManyTenants,    // `limit` is set
  kUnknownRoute,
  kUnknownTenant,
  kLastRoute,
  kDuplicateRoute,     // twice in one snapshot
  kDuplicateTenant,    // twice in one snapshot
  kRemovalInSnapshot,  // a snapshot only adds entries
};

struct ChangeError {
  ChangeErrorCode code;
  std::size_t actual = 0;  // only with codes whose comment mentions it
  std::size_t limit = 0;   // only with codes whose comment mentions it
};

// The text of an error for log lines and operators, without the name of the entry.
std::string to_string(const ChangeError& error);

}  // namespace damsonspoke::catalog
