// Estimates for requests that wait at a forwarder: whether a request can still finish in time, and when its
// caller should retry if it can't. The estimates use two observations only: the rate at which capacity
// becomes free at the planners, and the latency of successful requests. Policy without I/O; times are seconds
// on one monotonic clock.
#pragma once

#include <cstddef>
#include <vector>

namespace damsonspoke::tier {

struct WaitEstimatorOptions {
  double rate_window_seconds = 1.5;    // time constant of the rate at which capacity becomes free
  double max_wait_share = 0.85;        // of the remaining time; a request with a longer estimate is rejected
  double unhealthy_after_seconds = 1;  // without any planner
  double min_retry_after = 0.1;        // s
  double max_retry_after = 1;          // s; the site's setting
};

class WaitEstimator {
 public:
  WaitEstimator(WaitEstimatorOptions options, std::size_t routes, double now);

  // Whether any attempt is open. Time without open attempts does not count for the rate, so that a burst
  // after an idle period is not rejected because no capacity was freed during that period.
  void set_busy(bool any_open, double now);
  void on_capacity_freed(double now);                  // an attempt ended
  void on_success(std::size_t route, double latency);  // `latency`: s from sending to the answer
  void on_planner_available() { no_planner_since_ = -1; }
  void on_no_planner(double now);

  // Whether a request of the route can finish within `remaining` s behind `ahead` others. True while there
  // are no observations: the first requests provide them.
  [[nodiscard]] bool can_finish_in_time(std::size_t route, std::size_t ahead, double remaining, double now);
  // Seconds after which the caller of a rejected request should retry; increases with the time without any
  // planner. `random` in [0, 1) spreads the retries.
  [[nodiscard]] double retry_after_seconds(std::size_t ahead, double now, double random);
  [[nodiscard]] bool is_healthy(double now) const;

 private:
  void decay(double now);
  [[nodiscard]] double capacity_freed_per_second() const;
  [[nodiscard]] bool rate_is_known() const;

  const WaitEstimatorOptions options_;
  double freed_recently_ = 0;  // decaying count
  double freed_total_ = 0;
  double observed_seconds_ = 0;  // of busy time covered by freed_recently_, decaying likewise
  double updated_at_;
  bool busy_ = false;
  std::vector<double> mean_latency_;  // s by route, decaying means; 0: not known
  double no_planner_since_;           // < 0: a planner is available
};

}  // namespace damsonspoke::tier
