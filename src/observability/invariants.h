// Invariants of the program: asserted in debug builds, counted in release builds.
#pragma once

#include <cassert>

#include "observability/counters.h"

namespace damsonspoke {

// Returns whether the invariant holds, so that a release build can take the safe way where it does not.
inline bool check_invariant(bool holds, Counters& counters) {
  assert(holds);
  if (!holds) counters.add(Count::kInvariantsBroken);
  return holds;
}

}  // namespace damsonspoke
