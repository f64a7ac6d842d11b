// Searches for a timeline of faults that makes a rehearsal fail: draws scripts from seeds, and reduces a
// failing script to a minimal one. The caller plays the scripts.
#pragma once

#include <cstdint>
#include <functional>

#include "rehearsal_script.h"

namespace damsonspoke::standins {

// Returns the fleet and load of a script with one to `max_faults` faults drawn from the seed, which are over
// before the judged part begins.
RehearsalScript draw_script(const RehearsalScript& fleet, std::uint64_t seed, int max_faults);

// Removes faults from a failing script until no single fault can be removed. `fails` plays a script and
// returns whether it fails; a removal is kept if the shorter script fails in one of `attempts_per_script`
// rehearsals.
RehearsalScript minimize_script(RehearsalScript script, int attempts_per_script,
                                const std::function<bool(const RehearsalScript&)>& fails);

}  // namespace damsonspoke::standins
