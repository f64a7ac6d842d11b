// Drives the stages with peers that only print the commands that they receive. CTest compares the output with
// tests/traces/stages_NAME.txt. The reactor does not run, so timers do not fire.
#include <cstdio>
#include <cstring>
#include <string>

#include "stages/admission_driver.h"
#include "stages/command_sender.h"
#include "stages/completion_handler.h"
#include "stages/decision_executor.h"
#include "stages/in_flight_requests.h"
#include "stages/request_intake.h"
#include "stages/statistics_persistence.h"

using namespace damsonspoke;

namespace {

int number(RequestId id) { return static_cast<int>(id); }

struct RecordedCallers : peers::CallerPort {
  void answer_succeeded(peers::ReplyAddress reply_to, std::string_view result) override {
    std::printf("  caller %d: succeeded '%s'\n", number(reply_to.number), std::string(result).c_str());
  }
  void answer_rejected(peers::ReplyAddress reply_to, double, bool no_retry) override {
    std::printf("  caller %d: rejected%s\n", number(reply_to.number), no_retry ? ", no retry" : "");
  }
  void answer_failed(peers::ReplyAddress reply_to, peers::FailureReason reason) override {
    const char* const kReasons[] = {"", ", outcome unknown", ", key conflict"};
    std::printf("  caller %d: failed%s\n", number(reply_to.number), kReasons[static_cast<int>(reason)]);
  }
  void answer_health_check(peers::ReplyAddress reply_to, bool is_healthy) override {
    std::printf("  check %d: %s\n", number(reply_to.number), is_healthy ? "healthy" : "unhealthy");
  }
  void set_idle_timeout(double seconds) override { std::printf("  callers: idle timeout %.1f s\n", seconds); }
  void announce_drain() override { std::printf("  callers: drain announced\n"); }
};

struct RecordedRuntime : peers::RuntimePort {
  void start(const peers::RunStart& run) override {
    std::printf("  runtime: start %d as %s with '%s'\n", number(run.id), std::string(run.route).c_str(),
                std::string(run.body).c_str());
  }
  void stop(RequestId id) override { std::printf("  runtime: stop %d\n", number(id)); }
  void resume(RequestId id, double /*seconds_left*/) override {
    std::printf("  runtime: resume %d\n", number(id));
  }
  void send_reply(RequestId id, std::string_view reply, const peers::RequestedCall&) override {
    std::printf("  runtime: reply for %d '%s'\n", number(id), std::string(reply).c_str());
  }
  void skip_call(RequestId id, std::uint64_t notice) override {
    std::printf("  runtime: skip call of %d, notice %d\n", number(id), number(notice));
  }
  void forget_run(RequestId id) override { std::printf("  runtime: %d is over\n", number(id)); }
  void self_test(std::uint64_t tag) override { std::printf("  runtime: self test %d\n", number(tag)); }
  void request_gauges() override {}
  Gauges gauges(double) const override { return {}; }
};

struct RecordedDependency : peers::DependencyPort {
  void call(RequestId id, double, std::string_view body) override {
    std::printf("  dependency: call for %d with '%s'\n", number(id), std::string(body).c_str());
  }
  void cancel(RequestId id) override { std::printf("  dependency: cancel %d\n", number(id)); }
};

struct RecordedRegistry : peers::RegistryPort {
  void report(bool is_accepting_requests) override {
    std::printf("  registry: %s\n", is_accepting_requests ? "on" : "off");
  }
};

StartSettings site(Preemption preemption) {
  StartSettings s;
  Route route;
  route.latency_objective = 2;
  route.timeout = 4;
  route.calls_dependency = true;
  s.admission.routes = {route, route};
  s.admission.routes[1].value_without_call = 0.5;
  s.admission.cores = 2;
  s.admission.memory_kb = 10000;
  s.admission.running_size_factor = 4;
  s.admission.max_concurrency_factor = 8;
  s.admission.preemption = preemption;
  s.admission.dependency = DependencyKind::kShared;
  s.admission.dependency_share = 4;
  s.admission.dependency_share_window = 5;
  s.admission.abandoned_call_time = 0.2;
  s.admission.deep_health_checks = true;
  s.route_names = {"push", "pull"};
  s.registry_follows_health = true;
  return s;
}

class Stages {
 public:
  explicit Stages(Preemption preemption = Preemption::kPause) : site_(site(preemption)) {
    ports_ = {&callers_, &runtime_, &dependency_, &registry_};
  }
  void make_runtime_ready() {
    std::printf("-- the runtime is ready\n");
    completion_handler.on_runtime_ready(false, 0);
  }
  void request(RequestId id, int route = 0, double client_timeout = 3, double age = 0) {
    std::printf("-- request %d of route %d\n", number(id), route);
    peers::IncomingRequest in;
    in.id = id;
    in.route = route;
    in.size_kb = 10;
    in.received_at = net::unix_now() - age;
    in.client_timeout = client_timeout;
    in.body = "body";
    in.reply_to = {1, id};
    intake.on_request_read(in);
  }
  void end_run(RequestId id, Outcome outcome, const char* result = "") {
    std::printf("-- run of %d ends, outcome %d\n", number(id), static_cast<int>(outcome));
    completion_handler.on_run_ended(id, outcome, 0.1, result);
  }
  void request_call(RequestId id, std::uint64_t notice) {
    std::printf("-- run of %d requests a call\n", number(id));
    completion_handler.on_call_requested(id, notice, "call");
  }
  void end_call(RequestId id, Outcome outcome, const char* reply = "") {
    std::printf("-- call of %d ends, outcome %d\n", number(id), static_cast<int>(outcome));
    completion_handler.on_call_ended(id, outcome, 0.1, reply);
  }
  void disconnect_caller(RequestId id) {
    std::printf("-- caller of %d disconnects\n", number(id));
    intake.on_caller_disconnected(id);
  }
  // Checks that each request that was read was answered, lost its caller or is unanswered, and prints the
  // number of broken invariants.
  void check_totals() {
    const auto read = counters[Count::kRequestsRead], succeeded = counters[Count::kRequestsSucceeded],
               rejected = counters[Count::kRequestsRejected], failed = counters[Count::kRequestsFailed],
               disconnected = counters[Count::kRequestsCallerGone];
    std::printf(
        "read %d = succeeded %d + rejected %d + failed %d + caller disconnected %d + unanswered %d: %s; "
        "in flight %d; broken invariants %d\n",
        number(read), number(succeeded), number(rejected), number(failed), number(disconnected),
        static_cast<int>(in_flight.unanswered()),
        read == succeeded + rejected + failed + disconnected + in_flight.unanswered() ? "holds"
                                                                                      : "does not hold",
        static_cast<int>(in_flight.size()), number(counters[Count::kInvariantsBroken]));
  }

 private:
  StartSettings site_;
  const std::unique_ptr<catalog::Catalog> catalog_ = catalog::Catalog::from_settings(site_, {}, 1);
  ResultsOptions options_;
  StatisticsPersistenceOptions statistics_options_;
  Logger log_{Level::kError};
  RecordedCallers callers_;
  RecordedRuntime runtime_;
  RecordedDependency dependency_;
  RecordedRegistry registry_;
  peers::Ports ports_;
  net::Reactor reactor_;

 public:
  Counters counters;
  stages::InFlightRequests in_flight{ports_, counters};
  stages::CommandSender sender{ports_, site_, counters};
  stages::ResultReplay replay{reactor_, {in_flight, sender, admission}, site_, *catalog_, options_, counters,
                              log_};
  stages::StatisticsPersistence statistics{reactor_, admission, site_, "n1", statistics_options_,
                                           counters, log_};
  stages::DecisionExecutor executor{in_flight, sender, replay, counters, log_};
  stages::AdmissionDriver admission{reactor_, site_, *catalog_, 7, executor, statistics, ports_, counters};
  stages::RequestIntake intake{reactor_, {in_flight, admission, sender, replay}, ports_, site_, *catalog_,
                               counters};
  stages::CompletionHandler completion_handler{
      in_flight, sender, replay, admission, intake, site_.admission.preemption, counters};
};

// A request passes through the stages and is removed when it is answered and its run is over.
void request() {
  Stages s;
  s.request(1, 0, 0.3);  // the timeout is too short to wait for the runtime
  s.make_runtime_ready();
  s.request(2);
  s.end_run(2, Outcome::kOk, "result");
  s.request(3);
  s.end_run(3, Outcome::kError);
  s.request(4);
  s.end_run(4,
            Outcome::kObsolete);  // the runtime considers the request over, but it was not answered: it fails
  s.request(5, 0, 3, 4);          // its timeout has passed when it is read
  s.end_run(77, Outcome::kOk, "not ours");
  s.check_totals();
}

// Guards against rejecting requests in the milliseconds between the start of listening and the runtime's
// `ready`: they wait for it, in order, while there is capacity and time. A drain rejects them.
void startup() {
  Stages s;
  s.request(1);
  s.request(2);
  s.request(3);
  s.request(4, 0, 0.4);  // less than half of its timeout would remain
  s.disconnect_caller(2);
  s.make_runtime_ready();
  s.end_run(1, Outcome::kOk, "result");
  s.end_run(3, Outcome::kOk, "result");
  s.check_totals();

  Stages full;
  for (RequestId id = 1; id <= 257; ++id) full.request(id);
  full.check_totals();

  Stages drained;
  drained.request(1);
  std::printf("-- drain\n");
  drained.intake.on_drain();
  drained.request(2);
  drained.admission.on_drain(1);
  drained.make_runtime_ready();
  drained.request(3);
  drained.check_totals();
}

// A run that ends after its request was answered causes no second answer.
void caller_disconnected() {
  Stages s;
  s.make_runtime_ready();
  s.request(1);
  s.disconnect_caller(1);
  s.disconnect_caller(1);
  s.end_run(1, Outcome::kOk, "too late");
  s.request(2);
  s.request_call(2, 1);
  s.disconnect_caller(2);
  s.end_run(2, Outcome::kCancelled);
  s.check_totals();
}

// A run that is stopped before its request is answered is resumed if preemption pauses runs, and started
// again if preemption drops them.
void stopped() {
  for (const Preemption preemption : {Preemption::kPause, Preemption::kDrop}) {
    Stages s(preemption);
    s.make_runtime_ready();
    s.request(1);
    s.end_run(1, Outcome::kCancelled);
    s.end_run(1, Outcome::kOk, "result");
    s.check_totals();
  }
}

// The outcome of a call decides how its run continues. The call of a run that is stopped meanwhile is
// cancelled.
void calls() {
  Stages s;
  s.make_runtime_ready();
  s.request(1);
  s.request_call(1, 1);
  s.end_call(1, Outcome::kOk, "reply");
  s.request_call(1, 2);
  s.end_call(1, Outcome::kOk, "reply");
  s.end_run(1, Outcome::kOk, "result");
  s.request(2, 1);
  s.request_call(2, 3);
  for (int i = 0; i < 3; ++i) s.end_call(2, Outcome::kRejected);
  s.end_run(2, Outcome::kCancelled);
  s.end_call(2, Outcome::kOk, "too late");
  s.check_totals();
}

// Deep checks run a self test, unless the controller wants them answered from its state. A draining backend
// is unhealthy.
void checks() {
  Stages s;
  s.intake.on_health_check({1, 1}, true);
  s.make_runtime_ready();
  s.intake.on_health_check({1, 2}, true);
  s.executor.set_health(true, false);
  s.intake.on_health_check({1, 3}, true);
  s.intake.on_health_check({1, 4}, false);
  s.completion_handler.on_self_test_result(1, true);
  s.completion_handler.on_self_test_result(1, true);
  s.intake.on_health_check({1, 5}, true);
  s.completion_handler.on_self_test_result(2, false);
  s.sender.drain();
  s.sender.announce_drain();
  s.executor.set_health(true, true);
  s.intake.on_health_check({1, 6}, true);
}

}  // namespace

int main(int argc, char** argv) {
  const std::pair<const char*, void (*)()> kScenarios[] = {
      {"request", request}, {"startup", startup}, {"caller_disconnected", caller_disconnected},
      {"stopped", stopped}, {"calls", calls},     {"checks", checks}};
  for (const auto& [name, run] : kScenarios) {
    if (argc == 2 && std::strcmp(argv[1], name) == 0) return run(), 0;
  }
  std::fprintf(stderr, "usage: stages SCENARIO\n");
  return 2;
}
