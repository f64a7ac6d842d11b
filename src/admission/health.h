// Whether this server is healthy, by what it observes of itself.
#pragma once

#include <optional>

#include "admission/decision_sink.h"
#include "admission/drain.h"
#include "admission/options.h"
#include "admission/request.h"

namespace damsonspoke {

// Unhealthy while runs are too slow for their objectives, fail, or requests are stale when they are read. The
// last protects against reading that takes all the cores: then no run starts, and none is seen to be slow.
// Times are seconds on the controller's clock.
class HealthMonitor {
 public:
  HealthMonitor(const AdmissionOptions& options, const DrainState& drain, DecisionSink& sink)
      : options_(options), drain_(drain), sink_(sink) {}

  // A request was read, this old; `latency_objective` 0: none.
  void observe_read(double age, double latency_objective, double now);
  // A run has ended; cancelled ones are not to be told.
  void observe_run(Outcome outcome);
  // Once a tick: what is old in the backlog fades, at once where cores idle.
  void tick(bool cores_idle);

  // `objective_use`: mean share of their latency objective that runs take now; none: not known, or it does
  // not count since the server warms up.
  void assess(std::optional<double> objective_use, double now);
  // Publishes the health where it has changed.
  void publish(double now);

  [[nodiscard]] bool unhealthy() const { return unhealthy_; }
  // Requests are so old when read that reading has fallen behind.
  [[nodiscard]] bool reads_stale_requests() const;

 private:
  const AdmissionOptions& options_;
  const DrainState& drain_;
  DecisionSink& sink_;
  double error_share_ = 0;  // of the recent runs
  int successes_in_a_row_ = 0;
  double staleness_ = 0;  // mean age of the recent requests as a share of their objective
  bool failing_ = false;
  bool unhealthy_ = false;
  bool published_healthy_ = true;
  double unhealthy_since_ = 0;
  double last_read_at_ = 0;
};

}  // namespace damsonspoke
