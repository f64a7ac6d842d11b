// Looking for a timeline that breaks something, and cutting a failing one down to the shortest that fails.
// Chance is handed in; playing is the caller's.
#pragma once

#include <cstdint>
#include <functional>

#include "rehearsal_script.h"

namespace damsonspoke::standins {

// The fleet and load of a script under faults drawn from the seed: one to `most`, all over a second before
// the part that is judged.
RehearsalScript draw_script(const RehearsalScript& fleet, std::uint64_t seed, int max_faults);

// `fails` plays a script and says whether it fails; a part is left out for good if what is left still fails
// in one of `tries` plays. Ends where no single fault can go.
RehearsalScript minimize_script(RehearsalScript script, int attempts_per_script,
                                const std::function<bool(const RehearsalScript&)>& fails);

}  // namespace damsonspoke::standins
