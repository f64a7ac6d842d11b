// Estimates for requests that wait at a forwarder: whether a request can still finish in time, and when its
// caller should retry if it can't. The estimates rest on two observations only: how often capacity becomes
// free at the planners, and how long successful requests took. Policy without I/O; times are seconds on one
// clock that never steps back.
#pragma once

#include <cstddef>
#include <vector>

namespace damsonspoke::tier {

struct WaitEstimatorOptions {
  double rate_window_seconds = 1.5;    // of the fading mean of the rate at which capacity becomes free
  double max_wait_share = 0.85;        // of the remaining time that an estimate may use up
  double unhealthy_after_seconds = 1;  // without any planner
  double min_retry_after = 0.1;        // s
  double max_retry_after = 1;          // s; what the site allows
};

class WaitEstimator {
 public:
  WaitEstimator(WaitEstimatorOptions options, std::size_t routes, double now);

  // Whether any attempt is open. Time without open attempts does not count for the rate, so that a burst
  // after a calm period is not rejected because nothing became free during the calm.
  void set_busy(bool any_open, double now);
  void on_capacity_freed(double now);                  // an attempt ended
  void on_success(std::size_t route, double latency);  // `latency`: s from sending to the answer
  void on_planner_available() { no_planner_since_ = -1; }
  void on_no_planner(double now);

  // Whether a request of the route can finish within `remaining` s behind `ahead` others. True while nothing
  // is known: the first requests show it.
  [[nodiscard]] bool can_finish_in_time(std::size_t route, std::size_t ahead, double remaining, double now);
  // When the caller of a rejected request should retry (s), longer the longer no planner has been there.
  // `random` (0 to below 1) spreads the retries.
  [[nodiscard]] double retry_after_seconds(std::size_t ahead, double now, double random);
  [[nodiscard]] bool is_healthy(double now) const;

 private:
  void decay(double now);
  [[nodiscard]] double capacity_freed_per_second() const;
  [[nodiscard]] bool rate_is_known() const;

  const WaitEstimatorOptions options_;
  double freed_recently_ = 0;  // fading count
  double freed_total_ = 0;
  double observed_seconds_ = 0;  // of busy time behind freed_recently_, fading alike
  double updated_at_;
  bool busy_ = false;
  std::vector<double> mean_latency_;  // s by route, fading means; 0: not known
  double no_planner_since_;           // < 0: there is one
};

}  // namespace damsonspoke::tier
