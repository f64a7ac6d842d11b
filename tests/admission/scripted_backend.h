// A server for the tests of decisions: a DecisionSink that prints its calls, and a hand on an
// AdmissionController's clock and events.
#pragma once

#include <cstdarg>
#include <cstdio>
#include <map>
#include <string>

#include "admission/controller.h"

namespace damsonspoke::testing {

// Two routes (0 cheap, 1 important) on two cores; a test changes what it is about.
inline AdmissionOptions plain_settings() {
  AdmissionOptions s;
  Route cheap;
  cheap.latency_objective = 2;
  cheap.timeout = 4;
  cheap.idempotency_window = 5;
  Route important = cheap;
  important.priority_weight = 4;
  s.routes = {cheap, important};
  s.cores = 2;
  s.memory_kb = 10000;
  s.running_size_factor = 4;
  s.preemption = Preemption::kDrop;
  s.max_concurrency_factor = 8;
  s.drain_grace = 1;
  s.sends_retry_after = true;
  s.max_retry_after = 1;
  s.timer_resolution = 0.002;
  s.dependency_share_window = 5;
  s.abandoned_call_time = 0.2;
  return s;
}

class Backend : public DecisionSink {
 public:
  explicit Backend(const AdmissionOptions& settings, const LearnedStatistics& prior = {})
      : settings_(settings), controller_(settings, 7, *this, 0, prior) {}
  LearnedStatistics learned() const { return controller_.learned(); }

  // Lets time pass, with the wakes that the AdmissionController asked for.
  void until(double time) {
    while (!wakes_.empty() && wakes_.begin()->first <= time) {
      const auto [at, token] = *wakes_.begin();
      wakes_.erase(wakes_.begin());
      now_ = std::max(now_, at);
      controller_.on_timer(now_, token, gauges);
    }
    now_ = time;
  }
  void say(const char* format, ...) {
    std::printf("%7.3f  ", now_);
    std::va_list args;
    va_start(args, format);
    std::vprintf(format, args);
    va_end(args);
    std::printf("\n");
  }
  Request request(RequestId id, int type = 0) const {
    Request request;
    request.id = id;
    request.route = type;
    request.size_kb = 10;
    request.caller = static_cast<std::uint32_t>(id);
    return request;
  }
  void arrives(const Request& request) {
    if (!quiet_) say("-- op %d of type %d arrives", static_cast<int>(request.id), request.route);
    controller_.on_request(now_, request);
  }
  void ends(RequestId id, Outcome outcome = Outcome::kOk) {
    static const char* const kNames[] = {"ok",          "error", "refused",   "timeout",
                                         "unreachable", "reset", "cancelled", "moot"};
    if (!quiet_) say("-- run of %d ends: %s", static_cast<int>(id), kNames[static_cast<int>(outcome)]);
    controller_.on_run_finished(now_, id, outcome, 0);
  }
  void needs_call(RequestId id) {
    if (!quiet_) say("-- %d needs a call", static_cast<int>(id));
    controller_.on_call_needed(now_, id);
  }
  void call_ends(RequestId id, Outcome outcome) {
    if (!quiet_) say("-- call of %d ends: outcome %d", static_cast<int>(id), static_cast<int>(outcome));
    controller_.on_call_finished(now_, id, outcome, 0);
  }
  void gone(RequestId id) {
    say("-- caller of %d has gone", static_cast<int>(id));
    controller_.on_caller_disconnected(now_, id);
  }
  void leave(double left) {
    say("-- notice to leave, stop in %.1f s", left);
    controller_.on_drain(now_, left);
  }
  void quiet(bool on) { quiet_ = on; }
  void pool() { say("pool in use: %.0f kB", controller_.pool_used_kb()); }
  // Runs one request of a type to its end, so that its run time is learned.
  void learn(int type, double run_time) {
    const RequestId id = 900 + next_lesson_++;
    quiet_ = true;
    controller_.on_request(now_, request(id, type));
    until(now_ + run_time);
    controller_.on_run_finished(now_, id, Outcome::kOk, 0);
    quiet_ = false;
    say("(type %d has been seen to run %.1f s)", type, run_time);
  }

  void start(RequestId id) override { act("start", id); }
  void interrupt(RequestId id) override { act("interrupt", id); }
  void reject(RequestId id, double retry_after, bool no_retry) override {
    const char* when = retry_after >= settings_.max_retry_after / 2 ? ", come back much later"
                       : retry_after > 0                            ? ", come back later"
                                                                    : "";
    if (!quiet_) say("nack %d%s%s", static_cast<int>(id), when, no_retry ? ", not elsewhere" : "");
  }
  void fail(RequestId id) override { act("fail", id); }
  void call(RequestId id, double patience) override {
    if (!quiet_) say("call for %d, patience %.2f s", static_cast<int>(id), patience);
  }
  void skip_call(RequestId id) override { act("skip the call of", id); }
  void remember(RequestId id, double ttl) override {
    if (!quiet_) say("remember %d for %.2f s", static_cast<int>(id), ttl);
  }
  void forget(RequestId id) override { act("forget", id); }
  void join(RequestId id) override { act("join", id); }
  void set_health(bool good, bool) override { say("health %s", good ? "good" : "bad"); }
  void publish_load_feedback(double value) override { say("announce %.2f", value); }
  void set_idle_timeout(double after) override { say("close connections idle for %.2f s", after); }
  void schedule_wakeup(double time, std::uint64_t token) override { wakes_.emplace(time, token); }
  void log(const std::string& line) override { say("log: %s", line.c_str()); }

  Gauges gauges;

 private:
  void act(const char* what, RequestId id) {
    if (!quiet_) say("%s %d", what, static_cast<int>(id));
  }

  const AdmissionOptions settings_;
  double now_ = 0;
  bool quiet_ = false;
  RequestId next_lesson_ = 0;
  std::multimap<double, std::uint64_t> wakes_;
  AdmissionController controller_;
};

}  // namespace damsonspoke::testing
