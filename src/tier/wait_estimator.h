// What a forwarder can honestly say of a request that waits for room at a planner: whether it can still be in
// time, and when its caller should come back where it can't. Pure policy. No copy of the module's tables: it
// sees how often room comes free and how long what was served took, nothing else.
#pragma once

#include <cstddef>
#include <vector>

namespace damsonspoke::tier {

struct WaitEstimatorOptions {
  double memory = 1.5;           // s over which the rate at which room comes free is a mean
  double wait_share = 0.85;      // of the time left that may be spent on a prediction
  double bad_after = 1;          // s without any planner after which health is bad
  double least_come_back = 0.1;  // s
  double most_come_back = 1;     // s; what the site allows
};

class WaitEstimator {
 public:
  WaitEstimator(WaitEstimatorOptions terms, std::size_t routes, double now);

  // Whether any attempt is open. While none is, no time passes for the rate: guards against a burst after a
  // calm that is refused since nothing had come free in it.
  void busy(bool any_open, double now);
  void room_came_free(double now);             // an attempt ended
  void served(std::size_t type, double took);  // s from sending to the ack
  void some_planner(double now);               // at least one takes requests
  void no_planner(double now);

  // Whether a request of the type with so many before it may still be served in `left` s. While nothing is
  // known it may: the first ones show.
  bool in_time(std::size_t type, std::size_t ahead, double left, double now);
  // When a refused caller should come back; spread by chance (0 to under 1), so that they do not come
  // together, and the longer the longer nobody has been there.
  double come_back(std::size_t ahead, double now, double chance);
  bool healthy(double now) const;

 private:
  double rate(double now);  // of room coming free, 1/s; 0: not known

  const WaitEstimatorOptions terms_;
  double freed_ = 0, ends_ = 0;
  double seen_ = 0;  // s of busy time that the rate looks back on, faded as the count is
  double freed_at_;
  bool busy_ = false;
  std::vector<double> took_;  // s by route, fading means; 0: not known
  double alone_since_;        // since when there is no planner; < 0: there is one
};

}  // namespace damsonspoke::tier
