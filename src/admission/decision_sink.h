// Interface that carries out the admission controller's decisions.
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
  // Stops the request's run; on_run_finished with kCancelled follows.
  virtual void interrupt(RequestId id) = 0;
  // Rejects a request that never ran. `retry_after` 0 gives no advice. `no_retry` tells the caller not to
  // retry on another server, because the others lack capacity too.
  virtual void reject(RequestId id, double retry_after, bool no_retry) = 0;
  // Answers a request, which may have run, with an error.
  virtual void fail(RequestId id) = 0;
  // Makes the dependency call that the request's run waits for.
  virtual void call(RequestId id, double timeout) = 0;
  // Continues the request's run without the call.
  virtual void skip_call(RequestId id) = 0;
  // Stores the request's idempotency key, and its result once there is one, for `ttl`.
  virtual void remember(RequestId id, double ttl) = 0;
  virtual void forget(RequestId id) = 0;
  // Gives a duplicate the same answer as its original request.
  virtual void join(RequestId id) = 0;
  // `from_store`: health checks are answered from this stored state instead of doing work.
  virtual void set_health(bool healthy, bool from_store) = 0;
  virtual void publish_load_feedback(double value) = 0;
  // Sets how long a connection may be idle before it is closed.
  virtual void set_idle_timeout(double seconds) = 0;
  // Asks for a call of on_timer with this token at this time. Only the latest token is valid.
  virtual void schedule_wakeup(double time, std::uint64_t token) = 0;
  virtual void log(const std::string& line) = 0;
};

}  // namespace damsonspoke
