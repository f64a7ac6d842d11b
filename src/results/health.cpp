#include "results/health.h"

#include <algorithm>

namespace damsonspoke::results {
namespace {

constexpr double kFullRetrySeconds = 0.25;  // short, because entries expire continually and free space
constexpr double kMinBackoffSeconds = 0.5;
constexpr double kMaxBackoffSeconds =
    10;  // bounds how long the store remains closed after a disk is repaired
constexpr double kDisabledRetryAfterSeconds = 5;

}  // namespace

std::string_view name_of(StoreState state) {
  switch (state) {
    case StoreState::kOpening: return "opening";
    case StoreState::kHealthy: return "healthy";
    case StoreState::kFull: return "full";
    case StoreState::kUnavailable: return "unavailable";
    case StoreState::kDisabled: return "disabled";
  }
  return "";
}

void StoreHealth::on_opened() { state_ = StoreState::kHealthy; }

void StoreHealth::on_intent_written() {
  backoff_seconds_ = 0;
  if (state_ == StoreState::kFull) state_ = StoreState::kHealthy;
}

void StoreHealth::on_fault(double now, DatabaseFault fault) {
  if (state_ == StoreState::kDisabled) return;
  switch (fault) {
    case DatabaseFault::kFull:
      state_ = StoreState::kFull;
      retry_at_ = now + kFullRetrySeconds;
      break;
    case DatabaseFault::kUnavailable:
      state_ = StoreState::kUnavailable;
      backoff_seconds_ = std::clamp(backoff_seconds_ * 2, kMinBackoffSeconds, kMaxBackoffSeconds);
      retry_at_ = now + backoff_seconds_;
      break;
    case DatabaseFault::kDamaged:
    case DatabaseFault::kNewerSchema:
    case DatabaseFault::kUnrecognized: state_ = StoreState::kDisabled; break;
  }
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
    case StoreState::kOpening: return kFullRetrySeconds;
    case StoreState::kDisabled: return kDisabledRetryAfterSeconds;
    default: return std::max(kFullRetrySeconds, retry_at_ - now);
  }
}

}  // namespace damsonspoke::results
