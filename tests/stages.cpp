// Drives the stages with peers that only print what they are told; CTest compares it with
// tests/traces/stages_NAME.txt. The reactor does not run: no time passes.
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
  void answer_succeeded(peers::ReplyAddress t, std::string_view result) override {
    std::printf("  caller %d: acked '%s'\n", number(t.number), std::string(result).c_str());
  }
  void answer_rejected(peers::ReplyAddress t, double, bool no_retry) override {
    std::printf("  caller %d: nacked%s\n", number(t.number), no_retry ? ", not elsewhere" : "");
  }
  void answer_failed(peers::ReplyAddress t, peers::FailureReason why) override {
    const char* const kWhy[] = {"", ", outcome unknown", ", key conflict"};
    std::printf("  caller %d: failed%s\n", number(t.number), kWhy[static_cast<int>(why)]);
  }
  void answer_health_check(peers::ReplyAddress t, bool good) override {
    std::printf("  check %d: %s\n", number(t.number), good ? "good" : "bad");
  }
  void set_idle_timeout(double after) override { std::printf("  callers: close after %.1f s\n", after); }
  void announce_drain() override { std::printf("  callers: no more\n"); }
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
    std::printf("  runtime: give %d '%s'\n", number(id), std::string(reply).c_str());
  }
  void skip_call(RequestId id, std::uint64_t notice) override {
    std::printf("  runtime: omit %d, notice %d\n", number(id), number(notice));
  }
  void forget_run(RequestId id) override { std::printf("  runtime: %d is over\n", number(id)); }
  void self_test(std::uint64_t tag) override { std::printf("  runtime: self test %d\n", number(tag)); }
  void request_gauges() override {}
  Gauges gauges(double) const override { return {}; }
};

struct RecordedBelow : peers::DependencyPort {
  void call(RequestId id, double, std::string_view body) override {
    std::printf("  below: call for %d with '%s'\n", number(id), std::string(body).c_str());
  }
  void cancel(RequestId id) override { std::printf("  below: cancel %d\n", number(id)); }
};

struct RecordedRoster : peers::RegistryPort {
  void report(bool is_accepting_requests) override {
    std::printf("  roster: %s\n", is_accepting_requests ? "on" : "off");
  }
};

StartSettings site(Preemption halt) {
  StartSettings s;
  Route type;
  type.latency_objective = 2;
  type.timeout = 4;
  type.calls_dependency = true;
  s.admission.routes = {type, type};
  s.admission.routes[1].value_without_call = 0.5;
  s.admission.cores = 2;
  s.admission.memory_kb = 10000;
  s.admission.running_size_factor = 4;
  s.admission.max_concurrency_factor = 8;
  s.admission.preemption = halt;
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
  explicit Stages(Preemption halt = Preemption::kPause) : site_(site(halt)) {
    ports_ = {&callers_, &runtime_, &dependency_, &registry_};
  }
  void ready() {
    std::printf("-- the runtime is ready\n");
    relay.on_runtime_ready(false, 0);
  }
  void request(RequestId id, int type = 0, double limit = 3, double age = 0) {
    std::printf("-- op %d of type %d\n", number(id), type);
    peers::IncomingRequest in;
    in.id = id;
    in.route = type;
    in.size_kb = 10;
    in.received_at = net::unix_now() - age;
    in.client_timeout = limit;
    in.body = "body";
    in.reply_to = {1, id};
    intake.on_request_read(in);
  }
  void ends(RequestId id, Outcome outcome, const char* result = "") {
    std::printf("-- run of %d ends, outcome %d\n", number(id), static_cast<int>(outcome));
    relay.on_run_ended(id, outcome, 0.1, result);
  }
  void wants(RequestId id, std::uint64_t notice) {
    std::printf("-- run of %d wants a call\n", number(id));
    relay.on_call_requested(id, notice, "call");
  }
  void called(RequestId id, Outcome outcome, const char* reply = "") {
    std::printf("-- call of %d ends, outcome %d\n", number(id), static_cast<int>(outcome));
    relay.on_call_ended(id, outcome, 0.1, reply);
  }
  void gone(RequestId id) {
    std::printf("-- caller of %d goes\n", number(id));
    intake.on_caller_disconnected(id);
  }
  // Requests read are requests answered plus requests open plus callers gone; nothing that must hold was
  // broken.
  void sums() {
    const auto read = counters[Count::kRequestsRead], succeeded = counters[Count::kRequestsSucceeded],
               rejected = counters[Count::kRequestsRejected], failed = counters[Count::kRequestsFailed],
               gone = counters[Count::kRequestsCallerGone];
    std::printf(
        "read %d = acked %d + nacked %d + failed %d + gone %d + open %d: %s; in the book %d; broken %d\n",
        number(read), number(succeeded), number(rejected), number(failed), number(gone),
        static_cast<int>(in_flight.unanswered()),
        read == succeeded + rejected + failed + gone + in_flight.unanswered() ? "holds" : "does not hold",
        static_cast<int>(in_flight.size()), number(counters[Count::kInvariantsBroken]));
  }

 private:
  StartSettings site_;
  const std::unique_ptr<catalog::Catalog> catalog_ = catalog::Catalog::from_settings(site_, {}, 1);
  ResultsOptions options_;
  StatisticsPersistenceOptions knowledge_;
  Logger log_{Level::kError};
  RecordedCallers callers_;
  RecordedRuntime runtime_;
  RecordedBelow dependency_;
  RecordedRoster registry_;
  peers::Ports ports_;
  net::Reactor reactor_;

 public:
  Counters counters;
  stages::InFlightRequests in_flight{ports_, counters};
  stages::CommandSender send{ports_, site_, counters};
  stages::ResultReplay replay{reactor_, {in_flight, send, admission}, site_, *catalog_, options_, counters,
                              log_};
  stages::StatisticsPersistence statistics{reactor_, admission, site_, "n1", knowledge_, counters, log_};
  stages::DecisionExecutor executor{in_flight, send, replay, counters, log_};
  stages::AdmissionDriver admission{reactor_, site_, *catalog_, 7, executor, statistics, ports_, counters};
  stages::RequestIntake intake{reactor_, {in_flight, admission, send, replay}, ports_, site_, *catalog_,
                               counters};
  stages::CompletionHandler relay{in_flight, send, replay, admission, intake, site_.admission.preemption,
                                  counters};
};

// A request passes the stages and leaves the book when it is answered and its run is over.
void request() {
  Stages s;
  s.request(1, 0, 0.3);  // too little time to wait for the runtime
  s.ready();
  s.request(2);
  s.ends(2, Outcome::kOk, "result");
  s.request(3);
  s.ends(3, Outcome::kError);
  s.request(4);
  s.ends(4, Outcome::kObsolete);  // over for the runtime, though nothing was answered: its caller is told
  s.request(5, 0, 3, 4);          // its wait is over when it is read
  s.ends(77, Outcome::kOk, "not ours");
  s.sums();
}

// Guards against requests that are rejected in the milliseconds between listening and the runtime's `ready`:
// they wait for it, in order, as long as there is room and time; a drain rejects them.
void startup() {
  Stages s;
  s.request(1);
  s.request(2);
  s.request(3);
  s.request(4, 0, 0.4);  // less than half of it would be left
  s.gone(2);
  s.ready();
  s.ends(1, Outcome::kOk, "result");
  s.ends(3, Outcome::kOk, "result");
  s.sums();

  Stages full;
  for (RequestId id = 1; id <= 257; ++id) full.request(id);
  full.sums();

  Stages drained;
  drained.request(1);
  std::printf("-- drain\n");
  drained.intake.on_drain();
  drained.request(2);
  drained.admission.on_drain(1);
  drained.ready();
  drained.request(3);
  drained.sums();
}

// What ends after the answer gives no second one.
void gone() {
  Stages s;
  s.ready();
  s.request(1);
  s.gone(1);
  s.gone(1);
  s.ends(1, Outcome::kOk, "too late");
  s.request(2);
  s.wants(2, 1);
  s.gone(2);
  s.ends(2, Outcome::kCancelled);
  s.sums();
}

// A run that is stopped and still owed an answer is resumed where the site pauses, and started anew where it
// drops.
void stopped() {
  for (const Preemption halt : {Preemption::kPause, Preemption::kDrop}) {
    Stages s(halt);
    s.ready();
    s.request(1);
    s.ends(1, Outcome::kCancelled);
    s.ends(1, Outcome::kOk, "result");
    s.sums();
  }
}

// What a call's end proves decides what follows; a run that is told to stop meanwhile gives its call up.
void calls() {
  Stages s;
  s.ready();
  s.request(1);
  s.wants(1, 1);
  s.called(1, Outcome::kOk, "reply");
  s.wants(1, 2);
  s.called(1, Outcome::kOk, "reply");
  s.ends(1, Outcome::kOk, "result");
  s.request(2, 1);
  s.wants(2, 3);
  for (int i = 0; i < 3; ++i) s.called(2, Outcome::kRejected);
  s.ends(2, Outcome::kCancelled);
  s.called(2, Outcome::kOk, "too late");
  s.sums();
}

// Deep checks are answered from store, as the module asks; a leaving backend is bad.
void checks() {
  Stages s;
  s.intake.on_health_check({1, 1}, true);
  s.ready();
  s.intake.on_health_check({1, 2}, true);
  s.executor.set_health(true, false);
  s.intake.on_health_check({1, 3}, true);
  s.intake.on_health_check({1, 4}, false);
  s.relay.on_self_test_result(1, true);
  s.relay.on_self_test_result(1, true);
  s.intake.on_health_check({1, 5}, true);
  s.relay.on_self_test_result(2, false);
  s.send.drain();
  s.send.announce_drain();
  s.executor.set_health(true, true);
  s.intake.on_health_check({1, 6}, true);
}

}  // namespace

int main(int argc, char** argv) {
  const std::pair<const char*, void (*)()> kScenarios[] = {{"op", request},  {"startup", startup},
                                                           {"gone", gone},   {"stopped", stopped},
                                                           {"calls", calls}, {"checks", checks}};
  for (const auto& [name, play] : kScenarios) {
    if (argc == 2 && std::strcmp(argv[1], name) == 0) return play(), 0;
  }
  std::fprintf(stderr, "usage: stages SCENARIO\n");
  return 2;
}
