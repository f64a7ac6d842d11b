// Holds back the signals that mean something to a running server while it can't act on them: from the start
// of the process until its reactor runs, and from then on until it has exited. One that comes meanwhile takes
// effect when the reactor runs, or never; it does not end the process.
#pragma once

namespace damsonspoke {

// For the main thread, before any other thread begins: threads inherit what is held back, so that signals
// reach the main one.
void defer_signals();
// What has come meanwhile is delivered now. The handlers have to be installed.
void deliver_signals();

}  // namespace damsonspoke
