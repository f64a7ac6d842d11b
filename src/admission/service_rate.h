// How fast the server gets its work done.
#pragma once

#include "admission/request_state.h"
#include "admission/route_statistics.h"
#include "admission/slow_start.h"

namespace damsonspoke {

// Learned work done per second on the cores: 1 while runs take as long as they were learned to take, less
// where they take longer, whatever the cause.
class ServiceRate {
 public:
  ServiceRate(const RequestTable& requests, const RouteStatisticsTable& statistics,
              const SlowStart& slow_start)
      : requests_(requests), statistics_(statistics), slow_start_(slow_start) {}

  // `seconds` have passed in which so many requests had a core.
  void advance(double seconds, int running);
  // A run has succeeded that was expected to take so long (s).
  void work_done(double expected_run_time) { work_done_ += expected_run_time; }
  // Takes the progress of the present runs into account.
  void update(double now);
  [[nodiscard]] double value() const { return value_; }

 private:
  const RequestTable& requests_;
  const RouteStatisticsTable& statistics_;
  const SlowStart& slow_start_;
  double core_time_ = 0;  // s on the cores, fading
  double work_done_ = 0;  // s of learned run times, fading as core_time_ does
  double value_ = 1;
};

}  // namespace damsonspoke
