// A server for the decision tests: a DecisionSink that prints its calls, with control over the clock and the
// events of its AdmissionController.
#pragma once

#include <cstdarg>
#include <cstdio>
#include <map>
#include <string>

#include "admission/controller.h"

namespace damsonspoke::testing {

// Two routes (0 with the low priority weight, 1 with the high one) on two cores. Each test changes the
// options that it covers.
inline AdmissionOptions default_options() {
  AdmissionOptions options;
  Route cheap;
  cheap.latency_objective = 2;
  cheap.timeout = 4;
  cheap.idempotency_window = 5;
  Route important = cheap;
  important.priority_weight = 4;
  options.routes = {cheap, important};
  options.cores = 2;
  options.memory_kb = 10000;
  options.running_size_factor = 4;
  options.preemption = Preemption::kDrop;
  options.max_concurrency_factor = 8;
  options.drain_grace = 1;
  options.sends_retry_after = true;
  options.max_retry_after = 1;
  options.timer_resolution = 0.002;
  options.dependency_share_window = 5;
  options.abandoned_call_time = 0.2;
  return options;
}

class ScriptedBackend : public DecisionSink {
 public:
  explicit ScriptedBackend(const AdmissionOptions& options, const LearnedStatistics& prior = {})
      : options_(options), controller_(options, 7, *this, 0, prior) {}
  LearnedStatistics learned() const { return controller_.learned(); }

  // Advances the clock and delivers the wakeups that the AdmissionController has scheduled.
  void advance_to(double time) {
    while (!wakeups_.empty() && wakeups_.begin()->first <= time) {
      const auto [at, token] = *wakeups_.begin();
      wakeups_.erase(wakeups_.begin());
      now_ = std::max(now_, at);
      controller_.on_timer(now_, token, gauges);
    }
    now_ = time;
  }
  void print(const char* format, ...) {
    std::printf("%7.3f  ", now_);
    std::va_list args;
    va_start(args, format);
    std::vprintf(format, args);
    va_end(args);
    std::printf("\n");
  }
  Request request(RequestId id, int route = 0) const {
    Request request;
    request.id = id;
    request.route = route;
    request.size_kb = 10;
    request.caller = static_cast<std::uint32_t>(id);
    return request;
  }
  void send_request(const Request& request) {
    if (!is_quiet_) print("-- request %d on route %d arrives", static_cast<int>(request.id), request.route);
    controller_.on_request(now_, request);
  }
  void finish_run(RequestId id, Outcome outcome = Outcome::kOk) {
    static const char* const kNames[] = {"ok",          "error", "rejected",  "timeout",
                                         "unreachable", "reset", "cancelled", "obsolete"};
    if (!is_quiet_) print("-- run of %d ends: %s", static_cast<int>(id), kNames[static_cast<int>(outcome)]);
    controller_.on_run_finished(now_, id, outcome, 0);
  }
  void need_call(RequestId id) {
    if (!is_quiet_) print("-- run of %d needs a call", static_cast<int>(id));
    controller_.on_call_needed(now_, id);
  }
  void finish_call(RequestId id, Outcome outcome) {
    if (!is_quiet_) print("-- call of %d ends: outcome %d", static_cast<int>(id), static_cast<int>(outcome));
    controller_.on_call_finished(now_, id, outcome, 0);
  }
  void disconnect_caller(RequestId id) {
    print("-- caller of %d disconnects", static_cast<int>(id));
    controller_.on_caller_disconnected(now_, id);
  }
  void begin_drain(double time_left) {
    print("-- shutdown notice, stop in %.1f s", time_left);
    controller_.on_drain(now_, time_left);
  }
  void set_quiet(bool quiet) { is_quiet_ = quiet; }
  void print_pool() { print("pool in use: %.0f kB", controller_.pool_used_kb()); }
  // Runs one request of a route to its end, so that its run time is learned.
  void learn_run_time(int route, double run_time) {
    const RequestId id = 900 + learned_runs_++;
    is_quiet_ = true;
    controller_.on_request(now_, request(id, route));
    advance_to(now_ + run_time);
    controller_.on_run_finished(now_, id, Outcome::kOk, 0);
    is_quiet_ = false;
    print("(route %d: a run of %.1f s is learned)", route, run_time);
  }

  void start(RequestId id) override { print_action("start", id); }
  void interrupt(RequestId id) override { print_action("interrupt", id); }
  void reject(RequestId id, double retry_after, bool no_retry) override {
    const char* advice = retry_after >= options_.max_retry_after / 2 ? ", long Retry-After"
                         : retry_after > 0                           ? ", short Retry-After"
                                                                     : "";
    if (!is_quiet_)
      print("reject %d%s%s", static_cast<int>(id), advice, no_retry ? ", no retry elsewhere" : "");
  }
  void fail(RequestId id) override { print_action("fail", id); }
  void call(RequestId id, double timeout) override {
    if (!is_quiet_) print("call for %d, timeout %.2f s", static_cast<int>(id), timeout);
  }
  void skip_call(RequestId id) override { print_action("skip the call of", id); }
  void remember(RequestId id, double ttl) override {
    if (!is_quiet_) print("remember %d for %.2f s", static_cast<int>(id), ttl);
  }
  void forget(RequestId id) override { print_action("forget", id); }
  void join(RequestId id) override { print_action("join", id); }
  void set_health(bool healthy, bool) override { print("set health: %s", healthy ? "healthy" : "unhealthy"); }
  void publish_load_feedback(double value) override { print("load feedback %.2f", value); }
  void set_idle_timeout(double seconds) override { print("close connections idle for %.2f s", seconds); }
  void schedule_wakeup(double time, std::uint64_t token) override { wakeups_.emplace(time, token); }
  void log(const std::string& line) override { print("log: %s", line.c_str()); }

  Gauges gauges;

 private:
  void print_action(const char* action, RequestId id) {
    if (!is_quiet_) print("%s %d", action, static_cast<int>(id));
  }

  const AdmissionOptions options_;
  double now_ = 0;
  bool is_quiet_ = false;
  RequestId learned_runs_ = 0;
  std::multimap<double, std::uint64_t> wakeups_;
  AdmissionController controller_;
};

}  // namespace damsonspoke::testing
