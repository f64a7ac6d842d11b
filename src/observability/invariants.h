// Checks of invariants: a violation aborts a debug build and is counted by a release build.
#pragma once

#include <cassert>

#include "observability/counters.h"

namespace damsonspoke {

// Returns whether the invariant holds, so that a release build can recover if it does not.
inline bool check_invariant(bool holds, Counters& counters) {
  assert(holds);
  if (!holds) counters.add(Count::kInvariantsBroken);
  return holds;
}

}  // namespace damsonspoke
