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
    case StoreState::kSound: return "sound";
    case StoreState::kFull: return "full";
    case StoreState::kAway: return "away";
    case StoreState::kRefused: return "refused";
  }
  return "";
}

bool StoreHealth::opened() {
  const bool changed = state_ != StoreState::kSound;
  state_ = StoreState::kSound;
  return changed;
}

bool StoreHealth::wrote() {
  pause_ = 0;
  const bool changed = state_ == StoreState::kFull;
  if (changed) state_ = StoreState::kSound;
  return changed;
}

bool StoreHealth::failed(double now, DatabaseFault trouble) {
  const StoreState was = state_;
  if (was == StoreState::kRefused) return false;
  switch (trouble) {
    case DatabaseFault::kFull:
      state_ = StoreState::kFull;
      again_at_ = now + kFullPause;
      break;
    case DatabaseFault::kUnavailable:
      state_ = StoreState::kAway;
      pause_ = std::clamp(pause_ * 2, kAwayPause, kAwayMost);
      again_at_ = now + pause_;
      break;
    case DatabaseFault::kDamaged:
    case DatabaseFault::kNewer:
    case DatabaseFault::kForeign: state_ = StoreState::kRefused; break;
  }
  return state_ != was;
}

bool StoreHealth::takes_intents(double now) const {
  return state_ == StoreState::kSound || (state_ == StoreState::kFull && now >= again_at_);
}
bool StoreHealth::should_open(double now) const {
  return state_ == StoreState::kOpening || (state_ == StoreState::kAway && now >= again_at_);
}
double StoreHealth::retry_after(double now) const {
  switch (state_) {
    case StoreState::kSound: return 0;
    case StoreState::kOpening: return kFullPause;
    case StoreState::kRefused: return kRefusedAdvice;
    default: return std::max(kFullPause, again_at_ - now);
  }
}

}  // namespace damsonspoke::results
