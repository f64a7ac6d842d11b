#include "admission/slow_call_pacer.h"

#include <algorithm>
#include <cmath>

namespace damsonspoke {
namespace {

constexpr double kDecayTimeSeconds = 20;
constexpr double kMinObservedSeconds = 1;  // until then, the ceiling is assumed
constexpr double kMinConcurrency = 0.01;   // calls; keeps the delay finite at a low load
// A server that makes few calls still has to notice when the dependency has recovered.
constexpr double kMaxDelaySeconds = 5;
// Seconds of the usual load that may be saved up; also the maximum debt in call seconds.
constexpr double kCreditSeconds = 0.5;

}  // namespace

double SlowCallPacer::usual_concurrency() const {
  const double learned =
      usual_seconds_ > kMinObservedSeconds ? std::min(ceiling_, call_seconds_ / usual_seconds_) : ceiling_;
  return std::max(kMinConcurrency, learned);
}

void SlowCallPacer::advance(double seconds, int in_flight, bool usual, double call_seconds) {
  if (usual) {
    const double decay = std::exp(-seconds / kDecayTimeSeconds);
    call_seconds_ = call_seconds_ * decay + in_flight * seconds;
    usual_seconds_ = usual_seconds_ * decay + seconds;
  }
  const double concurrency = usual_concurrency();
  // Enough for at least one call.
  const double max_credit = std::max(call_seconds, kCreditSeconds * concurrency);
  credit_ = std::clamp(credit_ + (concurrency - in_flight) * seconds, -kCreditSeconds, max_credit);
}

double SlowCallPacer::interval(double call_seconds) const {
  return std::min(call_seconds / usual_concurrency(), kMaxDelaySeconds);
}

double SlowCallPacer::delay(double now) const {
  const double debt = std::max(0.0, -credit_) / usual_concurrency();
  return std::min(debt, std::max(0.0, last_call_at_ + kMaxDelaySeconds - now));
}

}  // namespace damsonspoke
