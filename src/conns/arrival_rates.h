// Limits the rate of new connections: per client, per network, and of all unknown clients together.
#pragma once

#include <optional>

#include "conns/connection_limiter_options.h"
#include "conns/prefix.h"
#include "conns/rate_sketch.h"
#include "conns/rejection_log.h"

namespace damsonspoke::conns {

// Times are monotonic seconds. Known clients have a separate limit and do not count towards the others.
class ArrivalRates {
 public:
  explicit ArrivalRates(const ConnectionLimiterOptions& options);

  struct NewConnection {
    Prefix client;
    Prefix network;
    bool is_unknown = true;
    bool is_in_group = false;  // the limit per network does not apply to groups
  };
  struct Violation {
    RejectCause cause = RejectCause::kNone;
    double retry_after = 0;  // s
  };
  // The first limit that the new connection would exceed; nothing if it is within all limits.
  [[nodiscard]] std::optional<Violation> find_violation(const NewConnection& new_connection,
                                                        double now) const;
  void record(const NewConnection& new_connection, double now);
  void reconfigure(const ConnectionLimiterOptions& options, double now);
  // The maximum number of connections of one unknown client that its count may have missed.
  [[nodiscard]] double max_error(double now) const { return unknown_clients_.max_error(now); }

 private:
  RateSketch unknown_clients_;
  RateSketch known_clients_;
  RateSketch networks_;
  RateSketch all_unknown_;
};

}  // namespace damsonspoke::conns
