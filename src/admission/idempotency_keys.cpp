#include "admission/idempotency_keys.h"

namespace damsonspoke {

void IdempotencyKeys::remember(RequestState& state, double ttl, double now) {
  sink_.remember(state.request.id, ttl);
  state.key_expires_at = now + ttl;
  expiries_.insert({state.key_expires_at, state.request.id});
  pool_.charge_key();
}

void IdempotencyKeys::drop(const RequestState& state, double now) {
  if (state.key_expires_at <= now) return;
  if (expiries_.erase({state.key_expires_at, state.request.id}) > 0) pool_.release_key();
  sink_.forget(state.request.id);
}

void IdempotencyKeys::expire(double now) {
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    pool_.release_key();
    expiries_.erase(expiries_.begin());
  }
}

}  // namespace damsonspoke
