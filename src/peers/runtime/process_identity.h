// Tells from the greetings of the runtime whether another process has taken the place of the one that was
// heard last. Policy without I/O; times are monotonic seconds.
#pragma once

#include <optional>

namespace damsonspoke::peers {

// A `ready`, which answers a `sync` and tells for how long the process has been up.
struct RuntimeGreeting {
  double requested_at = 0;  // the `sync` was sent
  double received_at = 0;
  double up_seconds = 0;
};

class RuntimeProcessIdentity {
 public:
  // Whether the greeting comes from another process than the one before; false for the first one.
  [[nodiscard]] bool is_another_process(const RuntimeGreeting& greeting);
  // The process has answered a question that was sent at this time.
  void on_answer(double requested_at) { alive_at_ = requested_at; }

 private:
  [[nodiscard]] bool started_after_the_last(const RuntimeGreeting& greeting) const;

  std::optional<double> greeted_at_;  // when the present process was first heard of
  double alive_at_ = 0;               // the present process was there
};

}  // namespace damsonspoke::peers
