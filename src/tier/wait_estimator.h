// What a forwarder can honestly say of a request that waits for room at a planner: whether it can still be in
// time, and when its caller should come back where it can't. Pure policy. No copy of the module's tables: it
// sees how often room comes free and how long what was served latency, nothing else.
#pragma once

#include <cstddef>
#include <vector>

namespace damsonspoke::tier {

struct WaitEstimatorOptions {
  double rate_window_seconds = 1.5;    // s over which the rate at which room comes free is a mean
  double max_wait_share = 0.85;        // of the time left that may be spent on a prediction
  double unhealthy_after_seconds = 1;  // s without any planner after which health is bad
  double min_retry_after = 0.1;        // s
  double max_retry_after = 1;          // s; what the site allows
};

class WaitEstimator {
 public:
  WaitEstimator(WaitEstimatorOptions options, std::size_t routes, double now);

  // Whether any attempt is open. While none is, no time passes for the rate: guards against a burst after a
  // calm that is refused since nothing had come free in it.
  void set_busy(bool any_open, double now);
  void on_capacity_freed(double now);                  // an attempt ended
  void on_success(std::size_t route, double latency);  // s from sending to the ack
  void on_planner_available(double now);               // at least one takes requests
  void on_no_planner(double now);

  // Whether a request of the route with so many before it may still be served in `left` s. While nothing is
  // known it may: the first ones show.
  bool can_finish_in_time(std::size_t route, std::size_t ahead, double left, double now);
  // When a refused caller should come back; spread by random (0 to under 1), so that they do not come
  // together, and the longer the longer nobody has been there.
  double retry_after_seconds(std::size_t ahead, double now, double random);
  bool is_healthy(double now) const;

 private:
  double capacity_freed_per_second(double now);  // of room coming free, 1/s; 0: not known

  const WaitEstimatorOptions options_;
  double freed_recently_ = 0, freed_total_ = 0;
  double observed_seconds_ = 0;  // s of busy time that the rate looks back on, faded as the count is
  double updated_at_;
  bool busy_ = false;
  std::vector<double> mean_latency_;  // s by route, fading means; 0: not known
  double no_planner_since_;           // since when there is no planner; < 0: there is one
};

}  // namespace damsonspoke::tier
