// The queue of requests that wait for a core, and the limit on concurrent runs.
#pragma once

#include <deque>
#include <optional>

#include "admission/request_state.h"
#include "admission/route_statistics.h"
#include "admission/slow_start.h"

namespace damsonspoke {

// The run limit starts at the number of cores, rises while cores idle although requests are queued, and
// stays within the safe concurrency of the server. Times are seconds.
class RunQueue {
 public:
  // Maximum length of the queue per core; the byte pool bounds it as well.
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
  // Whether as many requests run as the limit allows.
  [[nodiscard]] bool saturated(double now) const;
  // Whether one more request may run, given the requests with pending dependency calls.
  [[nodiscard]] bool has_run_capacity(int pending_calls, double now) const;
  // The queued request with the least slack in proportion to its priority weight, so that a few important
  // requests are not late behind many others. Slack is the time left until the run must start.
  // `skip_calling_routes`: leaves out requests that need dependency calls.
  [[nodiscard]] std::optional<RequestId> most_urgent(double now, bool skip_calling_routes) const;

  // begin_run(): a request gets a core, at its start or after a call. end_run(): it releases the core.
  void begin_run(RequestState& state, double now);
  void end_run(RequestState& state, double now);

  // Call after each change: tracks since when the queue has not been empty and the run limit has been
  // reached.
  void update_saturation(double now);
  // Called once a tick with the share of the cores that was busy; negative: unknown.
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
