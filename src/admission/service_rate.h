// Measures how fast the server works.
#pragma once

#include "admission/request_state.h"
#include "admission/route_statistics.h"
#include "admission/slow_start.h"

namespace damsonspoke {

// Learned run time that is completed per second on the cores: 1 while runs take their learned time, less if
// they take longer, whatever the cause.
class ServiceRate {
 public:
  ServiceRate(const RequestTable& requests, const RouteStatisticsTable& statistics,
              const SlowStart& slow_start)
      : requests_(requests), statistics_(statistics), slow_start_(slow_start) {}

  // Accounts for `seconds` in which `running` requests had a core.
  void advance(double seconds, int running);
  // Records a successful run and its expected run time (s).
  void work_done(double expected_run_time) { work_done_ += expected_run_time; }
  // Recomputes the rate, including the progress of the present runs.
  void update(double now);
  [[nodiscard]] double value() const { return value_; }

 private:
  const RequestTable& requests_;
  const RouteStatisticsTable& statistics_;
  const SlowStart& slow_start_;
  double core_time_ = 0;  // s on the cores, decaying
  double work_done_ = 0;  // s of learned run times, decaying as core_time_ does
  double value_ = 1;
};

}  // namespace damsonspoke
