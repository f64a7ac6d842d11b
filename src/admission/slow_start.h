// The warm-up of a server that has just started, according to its settings.
#pragma once

#include "admission/options.h"

namespace damsonspoke {

class SlowStart {
 public:
  SlowStart(const AdmissionOptions& options, double started_at)
      : options_(options), started_at_(started_at) {}

  [[nodiscard]] bool warming_up(double now) const {
    return options_.slow_start && now < started_at_ + options_.slow_start_time;
  }
  // Lower bound of the server's speed as a share of full speed; the true speed is unknown.
  [[nodiscard]] double min_speed(double now) const;
  // Concurrent requests that the server survives at that speed.
  [[nodiscard]] double survivable_concurrency(double now) const {
    return (1 + (options_.max_concurrency_factor - 1) * min_speed(now)) * options_.cores;
  }

 private:
  const AdmissionOptions& options_;
  const double started_at_;  // s
};

}  // namespace damsonspoke
