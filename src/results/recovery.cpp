#include "results/recovery.h"

#include <algorithm>
#include <utility>

namespace damsonspoke::results {
namespace {

constexpr double kSecondsPerMillisecond = 0.001;
// For a route that is no longer configured. The next configuration may contain it again, so its rows are
// retained.
constexpr double kUnknownRouteWindowSeconds = 3600;

}  // namespace

Recovery::Recovery(std::unordered_map<std::string, double> windows, double allowed_lateness)
    : windows_(std::move(windows)), allowed_lateness_(allowed_lateness) {
  for (const auto& [route, window] : windows_) longest_window_ = std::max(longest_window_, window);
}

std::optional<double> Recovery::remaining_seconds(const Row& row, std::int64_t now_unix_ms) const {
  const double remaining = static_cast<double>(row.expires_at_ms - now_unix_ms) * kSecondsPerMillisecond;
  if (remaining <= -allowed_lateness_) return std::nullopt;
  const auto found = windows_.find(row.route);
  const bool has_window = found != windows_.end() && found->second > 0;
  const double window = has_window ? found->second : std::max(longest_window_, kUnknownRouteWindowSeconds);
  return std::min(remaining, window);
}

}  // namespace damsonspoke::results
