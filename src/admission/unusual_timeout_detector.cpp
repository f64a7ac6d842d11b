#include "admission/unusual_timeout_detector.h"

#include <algorithm>
#include <cmath>

namespace damsonspoke {
namespace {

constexpr double kFadePerRequest = 0.98;
constexpr double kToleranceShare = 0.015;  // of the timeout: what clocks and the network add
constexpr double kLeastRequests = 10;      // before, no timeout is unusual
constexpr double kUsualShare = 0.1;        // of the requests

}  // namespace

bool TimeoutHabits::observe(double timeout) {
  auto match = habits_.end();
  double total = 1;
  for (auto habit = habits_.begin(); habit != habits_.end(); ++habit) {
    habit->count *= kFadePerRequest;
    total += habit->count;
    if (std::abs(habit->timeout - timeout) < kToleranceShare * timeout) match = habit;
  }
  if (match == habits_.end()) {
    match = std::min_element(habits_.begin(), habits_.end(),
                             [](const Habit& a, const Habit& b) { return a.count < b.count; });
    *match = {timeout, 0};
  }
  match->count += 1;
  return total > kLeastRequests && match->count < kUsualShare * total;
}

}  // namespace damsonspoke
