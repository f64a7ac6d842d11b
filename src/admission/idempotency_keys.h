// Stored idempotency keys and reads with shared answers: entries that outlive their request.
#pragma once

#include <set>
#include <utility>

#include "admission/byte_pool.h"
#include "admission/decision_sink.h"
#include "admission/request_state.h"

namespace damsonspoke {

// Each entry is charged to the byte pool until it expires or is dropped. Times are seconds.
class IdempotencyKeys {
 public:
  IdempotencyKeys(BytePool& pool, DecisionSink& sink) : pool_(pool), sink_(sink) {}

  [[nodiscard]] bool has_capacity() const { return pool_.has_key_capacity(); }
  void remember(RequestState& state, double ttl, double now);
  // Removes the entry of a request that never ran. Does nothing if the entry has expired or never existed.
  void drop(const RequestState& state, double now);
  void expire(double now);

 private:
  BytePool& pool_;
  DecisionSink& sink_;
  std::set<std::pair<double, RequestId>> expiries_;
};

}  // namespace damsonspoke
