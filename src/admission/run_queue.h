// The requests that wait for a core, and how many may have one.
#pragma once

#include <deque>
#include <optional>

#include "admission/request_state.h"
#include "admission/route_statistics.h"
#include "admission/slow_start.h"

namespace damsonspoke {

// The run limit begins at the number of cores, rises while cores idle although work waits, and stays within
// what the server survives. Times are seconds.
class RunQueue {
 public:
  // At most so many requests are queued, beside the bound of the byte pool.
  static constexpr int kMaxQueuedPerCore = 8;

  RunQueue(const AdmissionOptions& options, const RequestTable& requests,
           const RouteStatisticsTable& statistics, const SlowStart& slow_start)
      : cores_(options.cores),
        requests_(requests),
        statistics_(statistics),
        slow_start_(slow_start),
        run_limit_(options.cores) {}

  void push_back(RequestId id) { queue_.push_back(id); }
  void push_front(RequestId id) { queue_.push_front(id); }
  void remove(RequestId id) { std::erase(queue_, id); }
  // In the order of arrival; stopped runs come first.
  [[nodiscard]] const std::deque<RequestId>& ids() const { return queue_; }
  [[nodiscard]] int size() const { return static_cast<int>(queue_.size()); }
  [[nodiscard]] bool full() const { return full_with(size()); }
  [[nodiscard]] bool full_with(int queued) const { return queued >= kMaxQueuedPerCore * cores_; }

  [[nodiscard]] int running() const { return running_; }
  [[nodiscard]] double run_limit() const { return run_limit_; }
  // Whether all cores that may be used are in use.
  [[nodiscard]] bool saturated(double now) const;
  // Whether one more may run beside those at dependency calls.
  [[nodiscard]] bool has_run_capacity(int pending_calls, double now) const;
  // Among the queued the one with the least time left to start by, in proportion to its priority weight, so
  // that few important requests are not late behind many others. `skip_calling_routes`: leaves those out that
  // need dependency calls.
  [[nodiscard]] std::optional<RequestId> most_urgent(double now, bool skip_calling_routes) const;

  // A request gets a core, gives it back, or is given it back after a call.
  void begin_run(RequestState& state, double now);
  void end_run(RequestState& state, double now);

  // To be called after each change: remembers since when the queue is not empty and all cores are in use.
  void update_saturation(double now);
  // Once a tick, with the share of the cores that was busy; negative: not known.
  void adjust_run_limit(double cpu_busy, double now);

 private:
  [[nodiscard]] double safe_concurrency(double now) const;

  const int cores_;
  const RequestTable& requests_;
  const RouteStatisticsTable& statistics_;
  const SlowStart& slow_start_;
  std::deque<RequestId> queue_;
  int running_ = 0;
  double run_limit_;
  double saturated_since_ = 0;
};

}  // namespace damsonspoke
