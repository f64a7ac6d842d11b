// What the admission controller's decisions are carried out by.
#pragma once

#include <cstdint>
#include <string>

#include "admission/request.h"

namespace damsonspoke {

// Called from inside the controller's methods; must not call the controller back. Durations are seconds.
class DecisionSink {
 public:
  virtual ~DecisionSink() = default;
  // Starts the request's run, or resumes it where it is paused.
  virtual void start(RequestId id) = 0;
  // Stops its run; on_run_finished with kCancelled follows.
  virtual void interrupt(RequestId id) = 0;
  // Answers the request, which never ran. `retry_after` 0: no advice. `no_retry`: others lack capacity too.
  virtual void reject(RequestId id, double retry_after, bool no_retry) = 0;
  // Answers the request, which may have run.
  virtual void fail(RequestId id) = 0;
  // Makes the dependency call that its run waits for, with that timeout.
  virtual void call(RequestId id, double timeout) = 0;
  // Lets its run go on without the call.
  virtual void skip_call(RequestId id) = 0;
  // Remembers the request's key, and its result once there is one, for that long.
  virtual void remember(RequestId id, double ttl) = 0;
  virtual void forget(RequestId id) = 0;
  // Answers a duplicate as its original is answered.
  virtual void join(RequestId id) = 0;
  // `from_store`: health checks are to be answered from this state, without work.
  virtual void set_health(bool healthy, bool from_store) = 0;
  virtual void publish_load_feedback(double value) = 0;
  // Connections that carried nothing for that long are to be closed.
  virtual void set_idle_timeout(double seconds) = 0;
  // on_timer is to be called with the token at that time; only the latest token counts.
  virtual void schedule_wakeup(double time, std::uint64_t token) = 0;
  virtual void log(const std::string& line) = 0;
};

}  // namespace damsonspoke
