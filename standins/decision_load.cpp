#include "decision_load.h"

#include <algorithm>
#include <ctime>
#include <pcg_random.hpp>
#include <queue>

#include "admission/controller.h"
#include "silent_sink.h"

namespace damsonspoke::standins {
namespace {

struct RunEnd {
  double at = 0;
  RequestId id = 0;
  bool operator>(const RunEnd& other) const { return at > other.at; }
};

// Runs each request that the controller starts for a fixed time, and counts the rejected ones.
class FixedTimeSink : public SilentSink {
 public:
  explicit FixedTimeSink(double run_time) : run_time_(run_time) {}

  void start(RequestId id) override {
    runs.push({now + run_time_, id});
    ++result.started;
  }
  void reject(RequestId, double, bool) override { ++result.rejected; }
  void schedule_wakeup(double time, std::uint64_t token) override { wake_time = time, wake_token = token; }
  double now = 0;
  double wake_time = -1;
  std::uint64_t wake_token = 0;
  std::priority_queue<RunEnd, std::vector<RunEnd>, std::greater<>> runs;
  DecisionLoadResult result;

 private:
  const double run_time_;
};

// Delivers the timers and the ends of runs up to this time to the controller.
void advance_to(AdmissionController& controller, FixedTimeSink& sink, double until) {
  Gauges gauges;
  gauges.cpu_busy = 0.7;
  for (;;) {
    const double wake = sink.wake_time >= 0 ? sink.wake_time : until + 1;
    const double run_end = sink.runs.empty() ? until + 1 : sink.runs.top().at;
    const double next = std::min(wake, run_end);
    if (next > until) return;
    sink.now = std::max(sink.now, next);
    if (run_end <= wake) {
      const RequestId id = sink.runs.top().id;
      sink.runs.pop();
      controller.on_run_finished(sink.now, id, Outcome::kOk, 0);
    } else {
      sink.wake_time = -1;
      controller.on_timer(sink.now, sink.wake_token, gauges);
    }
  }
}

}  // namespace

double thread_processor_time() {
  timespec t{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}

DecisionLoadResult play_decisions(const AdmissionOptions& settings, const DecisionLoadOptions& options) {
  FixedTimeSink sink(options.run_time);
  AdmissionController controller(settings, options.seed, sink, 0, {}, options.directory);
  pcg32 random(options.seed);
  const RouteDirectory* directory = options.directory;
  const auto routes =
      static_cast<std::uint32_t>(directory ? directory->route_count() : settings.routes.size());
  const auto tenants =
      static_cast<std::uint32_t>(directory ? directory->tenant_count() : settings.tenants.size());
  const double began = thread_processor_time();
  for (std::uint64_t i = 1; i <= options.requests; ++i) {
    const double at = static_cast<double>(i) / options.per_second;
    advance_to(controller, sink, at);
    sink.now = at;
    Request request;
    request.id = i;
    request.route = static_cast<int>(random(routes));
    request.tenant = tenants > 0 ? static_cast<int>(random(tenants)) : 0;
    request.size_kb = 4;
    request.caller = random(1000);
    const double before = thread_processor_time();
    controller.on_request(at, request);
    sink.result.longest_seconds = std::max(sink.result.longest_seconds, thread_processor_time() - before);
  }
  sink.result.processor_seconds = thread_processor_time() - began;
  return sink.result;
}

}  // namespace damsonspoke::standins
