#include "admission/call_concurrency_limit.h"

#include <algorithm>

namespace damsonspoke {
namespace {

constexpr double kDecreaseFactor = 0.7;
constexpr double kMinDecreaseIntervalSeconds = 0.5;

}  // namespace

CallConcurrencyLimit::Change CallConcurrencyLimit::raise() {
  if (!lowered()) return Change::kNone;
  limit_ = std::min(ceiling_, limit_ + 1 / limit_);
  return lowered() ? Change::kNone : Change::kRestored;
}

CallConcurrencyLimit::Change CallConcurrencyLimit::lower(double now) {
  if (now < next_decrease_at_) return Change::kNone;
  const Change change = lowered() ? Change::kNone : Change::kLowered;
  limit_ = std::max(1.0, limit_ * kDecreaseFactor);
  next_decrease_at_ = now + kMinDecreaseIntervalSeconds;
  return change;
}

}  // namespace damsonspoke
