// The timing of a graceful shutdown, the same in a backend, a planner and a forwarder. Each margin is the
// time before the end of the shutdown period (Config::stop_after), when the process is killed.
#pragma once

namespace damsonspoke {

// How often a process checks whether it has answered every request.
constexpr double kShutdownCheckIntervalSeconds = 0.02;

// Requests that wait for the results store are answered at this time at the latest.
constexpr double kAnswerResultsMarginSeconds = 0.2;
// The listeners are closed, after the connections that wait in them were accepted.
constexpr double kStopListeningMarginSeconds = 0.15;
// Idle connections are closed in order. The margin leaves their peers time to close them too.
constexpr double kCloseConnectionsMarginSeconds = 0.12;
// The process stops even if requests are unanswered.
constexpr double kStopMarginSeconds = 0.06;

}  // namespace damsonspoke
