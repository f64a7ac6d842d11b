#include "results/health.h"

#include <algorithm>

namespace damsonspoke::results {
namespace {

constexpr double kFullPause = 0.25;   // s; windows end all the time, and each makes room
constexpr double kAwayPause = 0.5;    // s; the first: a moment's trouble
constexpr double kAwayMost = 10;      // s; longer would leave a mended disk unused
constexpr double kRefusedAdvice = 5;  // s; somebody has to come first

}  // namespace

std::string_view name_of(StoreState state) {
  switch (state) {
    case StoreState::kOpening: return "opening";
    case StoreState::kHealthy: return "sound";
    case StoreState::kFull: return "full";
    case StoreState::kUnavailable: return "away";
    case StoreState::kDisabled: return "refused";
  }
  return "";
}

bool StoreHealth::on_opened() {
  const bool changed = state_ != StoreState::kHealthy;
  state_ = StoreState::kHealthy;
  return changed;
}

bool StoreHealth::on_intent_written() {
  backoff_ = 0;
  const bool changed = state_ == StoreState::kFull;
  if (changed) state_ = StoreState::kHealthy;
  return changed;
}

bool StoreHealth::on_fault(double now, DatabaseFault fault) {
  const StoreState was = state_;
  if (was == StoreState::kDisabled) return false;
  switch (fault) {
    case DatabaseFault::kFull:
      state_ = StoreState::kFull;
      retry_at_ = now + kFullPause;
      break;
    case DatabaseFault::kUnavailable:
      state_ = StoreState::kUnavailable;
      backoff_ = std::clamp(backoff_ * 2, kAwayPause, kAwayMost);
      retry_at_ = now + backoff_;
      break;
    case DatabaseFault::kDamaged:
    case DatabaseFault::kNewer:
    case DatabaseFault::kForeign: state_ = StoreState::kDisabled; break;
  }
  return state_ != was;
}

bool StoreHealth::accepts_intents(double now) const {
  return state_ == StoreState::kHealthy || (state_ == StoreState::kFull && now >= retry_at_);
}
bool StoreHealth::should_open(double now) const {
  return state_ == StoreState::kOpening || (state_ == StoreState::kUnavailable && now >= retry_at_);
}
double StoreHealth::retry_after(double now) const {
  switch (state_) {
    case StoreState::kHealthy: return 0;
    case StoreState::kOpening: return kFullPause;
    case StoreState::kDisabled: return kRefusedAdvice;
    default: return std::max(kFullPause, retry_at_ - now);
  }
}

}  // namespace damsonspoke::results
