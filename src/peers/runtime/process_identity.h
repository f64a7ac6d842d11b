// Determines from the greetings of the runtime whether another process has replaced the previous one.
// Policy without I/O; times are monotonic seconds.
#pragma once

#include <optional>

namespace damsonspoke::peers {

// A `ready` message, which answers a `sync` and reports how long the process has been up.
struct RuntimeGreeting {
  double absent_until = 0;  // not sent before this time: requested then, or found missing then
  double received_at = 0;
  double up_seconds = 0;
};

// A process started before it answered anything, and a greeting was sent after it was requested, and after
// the last check that did not find it. So a process that is younger than the last answer is another one;
// and however late a greeting is read, the same process is never taken for another one.
class RuntimeProcessIdentity {
 public:
  // Whether the greeting comes from another process than the one before; false for the first one.
  [[nodiscard]] bool is_another_process(const RuntimeGreeting& greeting);
  // The process has answered a request that was sent at this time.
  void on_answer(double requested_at);

 private:
  std::optional<double> started_by_;  // the current process had started by then
};

}  // namespace damsonspoke::peers
