// Decides how the program reacts to faults of the results store: a state machine without I/O that takes
// faults and the time, and reports whether the store may be written or should be opened.
//
// A request whose intent is rejected is rejected itself and never runs. Requests without an idempotency key
// are not affected.
#pragma once

#include <cstdint>
#include <string_view>

#include "results/database.h"

namespace damsonspoke::results {

enum class StoreState : std::uint8_t {
  kOpening,
  kHealthy,
  // Stored results are still served; after each failed write, new intents are rejected for a pause.
  kFull,
  // The store is closed and reopened after a backoff; until then intents are rejected.
  kUnavailable,
  // The fault needs an operator; this process does not access the store again.
  kDisabled
};
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
  // Whether the store is closed and the time to open it has come.
  [[nodiscard]] bool should_open(double now) const;
  // Seconds after which a request that was rejected because of the store may be retried; 0 while it is
  // healthy.
  [[nodiscard]] double retry_after(double now) const;

 private:
  StoreState state_ = StoreState::kOpening;
  double retry_at_ = 0;         // when an intent (kFull) or opening (kUnavailable) is attempted next
  double backoff_seconds_ = 0;  // the latest backoff; doubles with each fault until an intent is written
};

}  // namespace damsonspoke::results
