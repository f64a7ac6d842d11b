// What the program does when its store is in trouble, case by case. Pure policy: troubles and the time come
// in, what may be tried and when comes out.
//
//   full         what is there is served on; intents are refused, and tried again after a pause
//   unavailable  closed, and opened again after a pause; until then intents are refused
//   damaged, newer, foreign  never touched again in this life: somebody has to look
//
// A keyed request whose intent is refused is rejected, never run; everything else is served as if nothing
// were wrong.
#pragma once

#include <string_view>

#include "results/database.h"

namespace damsonspoke::results {

enum class StoreState { kOpening, kHealthy, kFull, kUnavailable, kDisabled };
std::string_view name_of(StoreState state);

class StoreHealth {
 public:
  StoreState state() const { return state_; }
  // Each returns whether the state has changed, which is then worth a line.
  bool on_opened();
  bool on_intent_written();  // an intent became durable
  bool on_fault(double now, DatabaseFault fault);

  bool accepts_intents(double now) const;
  bool should_open(double now) const;  // it is not open, and it is time to try
  // s until a request that was refused for this may come back to something better.
  double retry_after(double now) const;

 private:
  StoreState state_ = StoreState::kOpening;
  double retry_at_ = 0;  // s; the next try of an intent (full) or of opening (away)
  double backoff_ = 0;   // s before that; grows while it does not get better
};

}  // namespace damsonspoke::results
