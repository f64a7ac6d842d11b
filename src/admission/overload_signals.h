// Overload signals to callers: Retry-After, whether to retry on another server, and load feedback.
#pragma once

#include <cstddef>

#include "admission/decision_sink.h"
#include "admission/options.h"
#include "admission/random.h"

namespace damsonspoke {

// Shortage is the share of recent requests within their quotas that found no capacity.
class OverloadSignals {
 public:
  // `random` supplies the jitter.
  OverloadSignals(const AdmissionOptions& options, RandomGenerator& random, DecisionSink& sink)
      : options_(options), random_(random), sink_(sink) {}

  void observe_read(bool is_retry);
  // Records whether a request within its quota lacked capacity.
  void observe_capacity(bool lacked_capacity);
  // Records a queued request that was rejected because it could no longer finish in time.
  void observe_given_up() { observe_capacity(true); }
  void count_rejection_for_capacity() { ++rejections_in_tick_; }

  [[nodiscard]] double shortage() const { return shortage_; }
  // True if so few requests lack capacity that the server can serve more callers.
  [[nodiscard]] bool has_capacity_for_callers() const;
  // True if most servers lack capacity, so that rejected requests should not be retried on another server. A
  // shortage here together with retries among the requests shows this; in a large fleet, a higher shortage
  // is needed if no retries are seen.
  [[nodiscard]] bool retry_storm() const;

  // Time (s) after which a rejected caller should retry; 0: no advice. `queue_wait` is the predicted wait
  // (s). `use_max`: advises the longest time, whatever the wait.
  double retry_after(double queue_wait, bool use_max);

  // Called once a tick. `min_speed`: lower bound of the server's speed as a share of full speed.
  // `should_be_avoided`: the server is unhealthy or draining. `route_count`: the number of routes, which
  // limits the avoidance.
  void tick(bool cores_idle, double min_speed, bool should_be_avoided, std::size_t route_count);
  // Called once before the first tick. Publishes the first avoidance, so that callers send a server that
  // warms up no more load than its speed allows. The parameters are those of tick().
  void initialize(double min_speed, bool should_be_avoided, std::size_t route_count);
  // Logs when an overload begins and when it ends.
  void log_overload_change();

 private:
  void publish(bool should_be_avoided);

  const AdmissionOptions& options_;
  RandomGenerator& random_;
  DecisionSink& sink_;
  double shortage_ = 0;
  double retry_share_ = 0;   // of the requests read
  double advice_share_ = 1;  // of the maximum Retry-After, while there is a shortage
  double avoidance_ = 0;     // share of their load that callers are asked to send elsewhere
  double published_ = -1;    // last published avoidance; negative: none yet
  int rejections_in_tick_ = 0;
  bool overloaded_ = false;  // as last logged
};

}  // namespace damsonspoke
