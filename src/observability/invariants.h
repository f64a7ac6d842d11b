// What must hold: asserted in debug builds, counted in release builds.
#pragma once

#include <cassert>

#include "observability/counters.h"

namespace damsonspoke {

// True when it holds, so that a release build can go on the safe way when it does not.
inline bool must_hold(bool holds, Counters& counters) {
  assert(holds);
  if (!holds) counters.add(Count::kBroken);
  return holds;
}

}  // namespace damsonspoke
