// What callers are told about overload: Retry-After, whether retries elsewhere make sense, and load feedback.
#pragma once

#include <cstddef>

#include "admission/decision_sink.h"
#include "admission/options.h"
#include "admission/random.h"

namespace damsonspoke {

// Shortage: the share of the requests read lately, within their quotas, that found no capacity.
class OverloadSignals {
 public:
  // `random`: of the jitter.
  OverloadSignals(const AdmissionOptions& options, RandomGenerator& random, DecisionSink& sink)
      : options_(options), random_(random), sink_(sink) {}

  void observe_read(bool is_retry);
  // A request within its quota found capacity, or not.
  void observe_capacity(bool lacked_capacity);
  // A queued request was given up.
  void observe_given_up() { observe_capacity(true); }
  void count_rejection_for_capacity() { ++rejections_in_tick_; }

  [[nodiscard]] double shortage() const { return shortage_; }
  // Few enough newcomers are rejected that there is capacity for more callers.
  [[nodiscard]] bool has_capacity_for_callers() const;
  // Most servers lack capacity, as the share of retries among the requests shows: rejected requests should
  // not be retried elsewhere. Where retries can't be told apart a higher shortage is needed.
  [[nodiscard]] bool retry_storm() const;

  // s that a rejected caller should stay away; 0: no advice. `queue_wait`: the predicted one, s. `longest`:
  // it can't be served before long, whatever the wait.
  double retry_after(double queue_wait, bool use_max);

  // Once a tick. `min_speed`: share of full speed that the server has at least; `avoid`: it is unhealthy or
  // draining; `route_count`: so many kinds of requests can be asked to stay away.
  void tick(bool cores_idle, double min_speed, bool should_be_avoided, std::size_t route_count);
  // Before the first tick: a server that warms up asks for what its speed allows.
  void initialize(double min_speed, bool should_be_avoided, std::size_t route_count);
  // Logs the begin and the end of an overload.
  void log_overload_change();

 private:
  void publish(bool should_be_avoided);

  const AdmissionOptions& options_;
  RandomGenerator& random_;
  DecisionSink& sink_;
  double shortage_ = 0;
  double retry_share_ = 0;   // of the requests read
  double advice_share_ = 1;  // of the longest Retry-After
  double avoidance_ = 0;     // share of their load that callers are asked to send elsewhere
  double published_ = -1;    // avoidance; negative: none yet
  int rejections_in_tick_ = 0;
  bool overloaded_ = false;  // as logged
};

}  // namespace damsonspoke
