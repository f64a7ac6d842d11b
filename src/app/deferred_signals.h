// Blocks the signals that a server handles while its reactor does not run: from the start of the process
// until the reactor runs, and after the reactor has stopped. A signal that arrives meanwhile is handled when
// the reactor runs, if it does; it never ends the process by its default action.
#pragma once

namespace damsonspoke {

// Call this in the main thread before any other thread is started: threads inherit the blocked signals, so
// that signals are delivered to the main thread only.
void defer_signals();
// Unblocks the signals; pending ones are delivered at once. Their handlers must be installed before.
void deliver_signals();

}  // namespace damsonspoke
