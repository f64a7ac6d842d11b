#include "results/recovery.h"

#include <algorithm>
#include <utility>

namespace damsonspoke::results {
namespace {

constexpr double kSecondsPerMs = 0.001;
constexpr double kUnknownType = 3600;  // s at most, for an route that the settings no longer have: nobody
                                       // can send it now, and the type may come back with the next settings

}  // namespace

Recovery::Recovery(std::unordered_map<std::string, double> windows) : windows_(std::move(windows)) {
  for (const auto& [type, window] : windows_) longest_ = std::max(longest_, window);
}

RecoveredEntry Recovery::assess(const Row& row, std::int64_t now_unix_ms) const {
  const double left = static_cast<double>(row.expires_at_ms - now_unix_ms) * kSecondsPerMs;
  if (left <= 0) return {};
  const auto found = windows_.find(row.route);
  const double most =
      found != windows_.end() && found->second > 0 ? found->second : std::max(longest_, kUnknownType);
  return {true, std::min(left, most)};
}

}  // namespace damsonspoke::results
