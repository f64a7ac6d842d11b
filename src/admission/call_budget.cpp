#include "admission/call_budget.h"

#include <algorithm>

#include "admission/dependency_latency.h"

namespace damsonspoke {
namespace {

constexpr double kRefillShare = 0.6;  // of the share is added evenly; the rest may be used at once

// At least one call fits, however small the share is.
double capacity_of(const AdmissionOptions& options) {
  return std::max(options.dependency_share * (1 - kRefillShare) * options.dependency_share_window,
                  DependencyLatency::kMinTimeoutSeconds + options.abandoned_call_time);
}

}  // namespace

CallBudget::CallBudget(const AdmissionOptions& options)
    : shared_(options.dependency == DependencyKind::kShared),
      share_(options.dependency_share),
      abandoned_call_time_(options.abandoned_call_time),
      capacity_(capacity_of(options)),
      available_(capacity_) {}

double CallBudget::refill_rate() const { return share_ * kRefillShare; }

void CallBudget::refill(double seconds) {
  available_ = std::min(capacity_, available_ + refill_rate() * seconds);
}

double CallBudget::reservation_for(double timeout) const {
  return std::min(timeout + abandoned_call_time_, capacity_);
}

std::optional<CallBudget::Reservation> CallBudget::reserve(double timeout) {
  if (!shared_) return Reservation{timeout, 0};
  const double needed = reservation_for(timeout);
  if (available_ < needed) return std::nullopt;
  available_ -= needed;
  return Reservation{needed - abandoned_call_time_, needed};
}

double CallBudget::seconds_until_available(double timeout) const {
  return (reservation_for(timeout) - available_) / refill_rate();
}

void CallBudget::release(double reserved, double seconds, bool abandoned) {
  available_ += std::max(0.0, reserved - seconds - (abandoned ? abandoned_call_time_ : 0));
}

}  // namespace damsonspoke
