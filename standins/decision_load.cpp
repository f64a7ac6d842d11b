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

// Runs what it is told to run, for a fixed time, and forgets the rest.
class InstantSink : public SilentSink {
 public:
  explicit InstantSink(double run_time) : run_time_(run_time) {}

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

void catch_up(AdmissionController& controller, InstantSink& host, double until) {
  Gauges gauges;
  gauges.cpu_busy = 0.7;
  for (;;) {
    const double wake = host.wake_time >= 0 ? host.wake_time : until + 1;
    const double run_end = host.runs.empty() ? until + 1 : host.runs.top().at;
    const double next = std::min(wake, run_end);
    if (next > until) return;
    host.now = std::max(host.now, next);
    if (run_end <= wake) {
      const RequestId id = host.runs.top().id;
      host.runs.pop();
      controller.on_run_finished(host.now, id, Outcome::kOk, 0);
    } else {
      host.wake_time = -1;
      controller.on_timer(host.now, host.wake_token, gauges);
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
  InstantSink host(options.run_time);
  AdmissionController controller(settings, options.seed, host, 0, {}, options.directory);
  pcg32 random(options.seed);
  const RouteDirectory* told = options.directory;
  const auto routes = static_cast<std::uint32_t>(told ? told->route_count() : settings.routes.size());
  const auto tenants = static_cast<std::uint32_t>(told ? told->tenant_count() : settings.tenants.size());
  const double begin = thread_processor_time();
  for (std::uint64_t i = 1; i <= options.requests; ++i) {
    const double at = static_cast<double>(i) / options.per_second;
    catch_up(controller, host, at);
    host.now = at;
    Request request;
    request.id = i;
    request.route = static_cast<int>(random(routes));
    request.tenant = tenants > 0 ? static_cast<int>(random(tenants)) : 0;
    request.size_kb = 4;
    request.caller = random(1000);
    const double before = thread_processor_time();
    controller.on_request(at, request);
    host.result.longest_seconds = std::max(host.result.longest_seconds, thread_processor_time() - before);
  }
  host.result.processor_seconds = thread_processor_time() - begin;
  return host.result;
}

}  // namespace damsonspoke::standins
