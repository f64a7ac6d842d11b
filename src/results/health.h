// How the program reacts to faults of its store, as a state machine without I/O: faults and the time come in;
// whether to write or to open, and when, comes out.
//
//   kFull         stored results are still served; new intents are refused, and one is tried after a pause
//   kUnavailable  the store is closed and opened again after a backoff; until then intents are refused
//   kDisabled     after a fault that needs an operator; the store is not touched again by this process
//
// A request whose intent is refused is rejected and never runs. Requests without an idempotency key are not
// affected.
#pragma once

#include <cstdint>
#include <string_view>

#include "results/database.h"

namespace damsonspoke::results {

enum class StoreState : std::uint8_t { kOpening, kHealthy, kFull, kUnavailable, kDisabled };
std::string_view name_of(StoreState state);

// Times are seconds of the monotonic clock.
class StoreHealth {
 public:
  StoreState state() const { return state_; }

  void on_opened();
  // An intent became durable.
  void on_intent_written();
  void on_fault(double now, DatabaseFault fault);

  [[nodiscard]] bool accepts_intents(double now) const;
  // Whether the store is closed and it is time to open it.
  [[nodiscard]] bool should_open(double now) const;
  // The Retry-After of a request that was rejected for the store, in seconds; 0 while the store is healthy.
  [[nodiscard]] double retry_after(double now) const;

 private:
  StoreState state_ = StoreState::kOpening;
  double retry_at_ = 0;         // the next attempt: of an intent (kFull) or of opening (kUnavailable)
  double backoff_seconds_ = 0;  // the latest one; doubles until an intent is written
};

}  // namespace damsonspoke::results
