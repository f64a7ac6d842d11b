#include "admission/slow_call_pacer.h"

#include <algorithm>
#include <cmath>

namespace damsonspoke {
namespace {

constexpr double kMemorySeconds = 20;
constexpr double kLeastObservedSeconds = 1;  // before, the ceiling is assumed
constexpr double kLeastConcurrency = 0.01;   // calls; a small load still gives a finite delay
// A server that used to call little still has to hear when the dependency has recovered.
constexpr double kLongestDelaySeconds = 5;
constexpr double kCreditSeconds = 0.5;  // of the usual load may be saved up; call seconds owed at most

}  // namespace

double SlowCallPacer::usual_concurrency() const {
  const double learned =
      usual_seconds_ > kLeastObservedSeconds ? std::min(ceiling_, call_seconds_ / usual_seconds_) : ceiling_;
  return std::max(kLeastConcurrency, learned);
}

void SlowCallPacer::advance(double seconds, int in_flight, bool usual, double call_seconds) {
  if (usual) {
    const double fade = std::exp(-seconds / kMemorySeconds);
    call_seconds_ = call_seconds_ * fade + in_flight * seconds;
    usual_seconds_ = usual_seconds_ * fade + seconds;
  }
  const double concurrency = usual_concurrency();
  const double most = std::max(call_seconds, kCreditSeconds * concurrency);  // one call is always ready
  credit_ = std::clamp(credit_ + (concurrency - in_flight) * seconds, -kCreditSeconds, most);
}

double SlowCallPacer::interval(double call_seconds) const {
  return std::min(call_seconds / usual_concurrency(), kLongestDelaySeconds);
}

double SlowCallPacer::delay(double now) const {
  const double owed = std::max(0.0, -credit_) / usual_concurrency();
  return std::min(owed, std::max(0.0, last_call_at_ + kLongestDelaySeconds - now));
}

}  // namespace damsonspoke
