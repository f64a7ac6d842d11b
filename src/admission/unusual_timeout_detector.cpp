#include "admission/unusual_timeout_detector.h"

#include <algorithm>
#include <cmath>

namespace damsonspoke {
namespace {

constexpr double kDecayPerRequest = 0.98;
constexpr double kToleranceShare = 0.015;  // of the timeout, for what clocks and the network add
constexpr double kMinRequests = 10;        // until then, no timeout is unusual
constexpr double kUsualShare = 0.1;        // of the requests

}  // namespace

bool UnusualTimeoutDetector::observe(double timeout) {
  auto match = counts_.end();
  double total = 1;
  for (auto entry = counts_.begin(); entry != counts_.end(); ++entry) {
    entry->count *= kDecayPerRequest;
    total += entry->count;
    if (std::abs(entry->timeout - timeout) < kToleranceShare * timeout) match = entry;
  }
  if (match == counts_.end()) {
    match = std::min_element(counts_.begin(), counts_.end(),
                             [](const TimeoutCount& a, const TimeoutCount& b) { return a.count < b.count; });
    *match = {timeout, 0};
  }
  match->count += 1;
  return total > kMinRequests && match->count < kUsualShare * total;
}

}  // namespace damsonspoke
