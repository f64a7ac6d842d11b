#include "admission/service_rate.h"

#include <algorithm>
#include <cmath>

namespace damsonspoke {
namespace {

constexpr double kDecayTimeSeconds = 1.5;
constexpr double kPriorCoreSeconds =
    0.1;                              // at the usual rate: with nothing measured the rate is the usual one
constexpr double kMinRate = 0.02;     // a standstill still gives finite predictions
constexpr double kMaxRate = 3;        // a warmed-up server is faster than what it learned before
constexpr double kOverdueFactor = 2;  // x the expected time; a run past this is no progress any more

}  // namespace

void ServiceRate::advance(double seconds, int running) {
  const double fade = std::exp(-seconds / kDecayTimeSeconds);
  core_time_ = core_time_ * fade + running * seconds;
  work_done_ *= fade;
}

void ServiceRate::update(double now) {
  double done = work_done_;
  for (const auto& [id, state] : requests_) {
    if (state.stage != RequestStage::kRunning) continue;
    const double expected = statistics_.expected_run_time(state);
    const double spent = state.run_time + now - state.stage_since;
    if (spent <= kOverdueFactor * expected) done += std::min(spent, expected);
  }
  // A server that warms up, and knows how long warm runs take, begins at the speed that its settings state.
  const double usual = statistics_.has_prior() ? slow_start_.min_speed(now) : 1;
  value_ =
      std::clamp((done + kPriorCoreSeconds * usual) / (core_time_ + kPriorCoreSeconds), kMinRate, kMaxRate);
}

}  // namespace damsonspoke
