// Decides whether this server is healthy, from its own observations.
#pragma once

#include <optional>

#include "admission/decision_sink.h"
#include "admission/drain.h"
#include "admission/options.h"
#include "admission/request.h"

namespace damsonspoke {

// The server is unhealthy while runs are too slow for their latency objectives, while too many runs fail, or
// while requests are stale when they are read. Staleness covers the case that reading takes all the cores:
// no run starts then, so none can be seen to be slow. Times are seconds on the controller's clock.
class HealthMonitor {
 public:
  HealthMonitor(const AdmissionOptions& options, const DrainState& drain, DecisionSink& sink)
      : options_(options), drain_(drain), sink_(sink) {}

  // Records a request that was `age` old when it was read. `latency_objective` 0: its route has none.
  void observe_read(double age, double latency_objective, double now);
  // Records the end of a run. Not to be called for cancelled runs.
  void observe_run(Outcome outcome);
  // Called once a tick. Staleness decays, or is cleared if cores idle.
  void tick(bool cores_idle);

  // Updates the health. `objective_use` is the mean share of the latency objective that runs take now;
  // nullopt if it is unknown, or does not count because the server warms up.
  void assess(std::optional<double> objective_use, double now);
  // Publishes the health if it has changed.
  void publish(double now);

  [[nodiscard]] bool unhealthy() const { return unhealthy_; }
  // True if requests are so old when they are read that reading has fallen behind.
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
