#include "admission/call_concurrency_limit.h"

#include <algorithm>

namespace damsonspoke {
namespace {

constexpr double kDropFactor = 0.7;
constexpr double kDropIntervalSeconds = 0.5;

}  // namespace

CallConcurrencyLimit::Change CallConcurrencyLimit::raise() {
  if (!lowered()) return Change::kNone;
  limit_ = std::min(ceiling_, limit_ + 1 / limit_);
  return lowered() ? Change::kNone : Change::kRestored;
}

CallConcurrencyLimit::Change CallConcurrencyLimit::lower(double now) {
  if (now < next_drop_at_) return Change::kNone;
  const Change change = lowered() ? Change::kNone : Change::kLowered;
  limit_ = std::max(1.0, limit_ * kDropFactor);
  next_drop_at_ = now + kDropIntervalSeconds;
  return change;
}

}  // namespace damsonspoke
