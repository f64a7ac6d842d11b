// How a relay, a planner and a forwarder leave, in seconds before the kill that follows the notice.
#pragma once

namespace damsonspoke {

constexpr double kShutdownCheckIntervalSeconds = 0.02;  // s; between looks at whether the last answer is out
constexpr double kAnswerResultsMarginSeconds = 0.2;     // what waits for the store is answered then
constexpr double kStopListeningMarginSeconds = 0.15;    // the last connections are taken then
constexpr double kCloseConnectionsMarginSeconds =
    0.12;  // connections are ended in order, with time for their peers to end too
constexpr double kStopMarginSeconds = 0.06;  // the end in any case

}  // namespace damsonspoke
