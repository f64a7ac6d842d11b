#include "admission/service_rate.h"

#include <algorithm>
#include <cmath>

namespace damsonspoke {
namespace {

constexpr double kDecayTimeSeconds = 1.5;
// Assumed time at the usual rate, so that the rate is the usual one while nothing is measured.
constexpr double kPriorCoreSeconds = 0.1;
constexpr double kMinRate = 0.02;     // keeps predictions finite at a standstill
constexpr double kMaxRate = 3;        // a warm server is faster than the run times it learned while cold
constexpr double kOverdueFactor = 2;  // x the expected time; a longer run no longer counts as progress

}  // namespace

void ServiceRate::advance(double seconds, int running) {
  const double decay = std::exp(-seconds / kDecayTimeSeconds);
  core_time_ = core_time_ * decay + running * seconds;
  work_done_ *= decay;
}

void ServiceRate::update(double now) {
  double done = work_done_;
  for (const auto& [id, state] : requests_) {
    if (state.stage != RequestStage::kRunning) continue;
    const double expected = statistics_.expected_run_time(state);
    const double spent = state.run_time + now - state.stage_since;
    if (spent <= kOverdueFactor * expected) done += std::min(spent, expected);
  }
  // A prior holds the run times of a warm server. So a server with a prior starts at the speed that its
  // slow-start settings state.
  const double usual = statistics_.has_prior() ? slow_start_.min_speed(now) : 1;
  value_ =
      std::clamp((done + kPriorCoreSeconds * usual) / (core_time_ + kPriorCoreSeconds), kMinRate, kMaxRate);
}

}  // namespace damsonspoke
