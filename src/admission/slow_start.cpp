#include "admission/slow_start.h"

#include <algorithm>

namespace damsonspoke {
namespace {

constexpr double kMinRampSeconds = 0.1;  // avoids a division by 0

}  // namespace

double SlowStart::min_speed(double now) const {
  if (!warming_up(now)) return 1;
  return options_.slow_start_speed + (1 - options_.slow_start_speed) * (now - started_at_) /
                                         std::max(options_.slow_start_time, kMinRampSeconds);
}

}  // namespace damsonspoke
