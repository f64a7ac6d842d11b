// Tells from the greetings of the runtime whether another process has taken the place of the one that was
// heard last. Policy without I/O; times are monotonic seconds.
#pragma once

#include <optional>

namespace damsonspoke::peers {

// A `ready`, which answers a `sync` and tells for how long the process has been up.
struct RuntimeGreeting {
  double absent_until = 0;  // not written before this time: asked for, or looked for in vain
  double received_at = 0;
  double up_seconds = 0;
};

// A process has started before it answered anything, and a greeting was written after it was asked for, and
// after it was last looked for in vain. So a process that is younger than the last answer is another, and
// however late a greeting is read, the same process never passes for another.
class RuntimeProcessIdentity {
 public:
  // Whether the greeting comes from another process than the one before; false for the first one.
  [[nodiscard]] bool is_another_process(const RuntimeGreeting& greeting);
  // The process has answered a question that was sent at this time.
  void on_answer(double requested_at);

 private:
  std::optional<double> started_by_;  // the present process had started by then
};

}  // namespace damsonspoke::peers
