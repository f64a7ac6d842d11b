#include "tier/wait_estimator.h"

#include <algorithm>
#include <cmath>

namespace damsonspoke::tier {
namespace {

constexpr double kTookMemory = 12;   // served requests; a dozen tell a slow spell from a slow request
constexpr double kRateKnown = 4;     // ends seen before a rate is believed
constexpr double kLeastSeen = 0.01;  // s of busy time; less says nothing of a rate
constexpr double kSpread = 0.5;      // of the time to come back, either way

}  // namespace

WaitEstimator::WaitEstimator(WaitEstimatorOptions terms, std::size_t routes, double now)
    : terms_(terms), freed_at_(now), took_(routes), alone_since_(now) {}

void WaitEstimator::busy(bool any_open, double now) {
  rate(now);
  busy_ = any_open;
}
void WaitEstimator::room_came_free(double now) {
  rate(now);
  freed_ += 1;
  ends_ += 1;
}
double WaitEstimator::rate(double now) {
  const double dt = busy_ ? std::max(0.0, now - freed_at_) : 0;
  const double keep = std::exp(-dt / terms_.memory);
  freed_ *= keep;
  seen_ = seen_ * keep + terms_.memory * (1 - keep);
  freed_at_ = now;
  return freed_ / std::max(seen_, kLeastSeen);
}

void WaitEstimator::served(std::size_t type, double took) {
  double& mean = took_.at(type);
  mean += (took - mean) / (mean == 0 ? 1 : kTookMemory);
}
void WaitEstimator::some_planner(double) { alone_since_ = -1; }
void WaitEstimator::no_planner(double now) {
  if (alone_since_ < 0) alone_since_ = now;
}

// Guards against a line of requests that are all answered too late while planners are slow: the room that
// comes free goes to those that can still be in time.
bool WaitEstimator::in_time(std::size_t type, std::size_t ahead, double left, double now) {
  if (left <= 0) return false;
  const double per_s = rate(now);
  const bool known = ends_ >= kRateKnown;
  const double wait = ahead == 0 || !known ? 0 : static_cast<double>(ahead) / std::max(per_s, 1e-9);
  return wait + took_.at(type) <= terms_.wait_share * left;
}

double WaitEstimator::come_back(std::size_t ahead, double now, double chance) {
  const double per_s = rate(now);
  double wait =
      ends_ >= kRateKnown ? static_cast<double>(ahead) / std::max(per_s, 0.01) : terms_.least_come_back;
  if (alone_since_ >= 0) wait = std::max(wait, now - alone_since_);
  wait = std::clamp(wait, terms_.least_come_back, terms_.most_come_back);
  return std::min(terms_.most_come_back, wait * (1 - kSpread + 2 * kSpread * chance));
}

bool WaitEstimator::healthy(double now) const {
  return alone_since_ < 0 || now - alone_since_ < terms_.bad_after;
}

}  // namespace damsonspoke::tier
