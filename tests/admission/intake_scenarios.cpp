// Admission of requests: memory charges, deadlines, idempotency keys, work hints, and idle connections.
#include "decision_scenarios.h"
#include "scripted_backend.h"

namespace damsonspoke::testing {
namespace {

// A request with a work hint in seconds.
Request request_with_hint(ScriptedBackend& server, RequestId id, double work_seconds) {
  Request request = server.request(id);
  request.work_hint = work_seconds;
  return request;
}

// A request releases its bytes exactly once, in whatever way it ends.
void pool() {
  ScriptedBackend server(default_options());
  for (RequestId id = 1; id <= 5; ++id) server.send_request(server.request(id));
  server.print_pool();
  server.advance_to(0.1);
  server.finish_run(1);
  server.finish_run(2, Outcome::kError);
  server.disconnect_caller(3);  // its run is stopped, but its bytes stay charged until the run ends
  server.print_pool();
  server.finish_run(3, Outcome::kCancelled);
  // Run 4 was stopped although the controller did not ask for it, so it is queued and started again.
  server.finish_run(4, Outcome::kCancelled);
  server.print_pool();
  server.disconnect_caller(5);
  server.finish_run(5, Outcome::kCancelled);
  server.advance_to(4.5);  // the deadline of 4 passes while it runs
  server.print_pool();
  server.finish_run(4, Outcome::kCancelled);
  server.print_pool();
}

// An exhausted pool rejects new requests, but a single request may start when no other one runs.
void empty_pool() {
  AdmissionOptions settings = default_options();
  settings.memory_kb = 200;
  ScriptedBackend server(settings);
  Request large = server.request(1);
  large.size_kb = 40;
  server.send_request(large);
  for (RequestId id = 2; id <= 4; ++id) server.send_request(server.request(id));
  server.advance_to(0.5);
  server.finish_run(1);
  server.print_pool();
}

// A request that could never run here is rejected and does not reduce the capacity for later requests.
void oversized_request() {
  ScriptedBackend server(default_options());
  Request oversized = server.request(1);
  oversized.size_kb = 9000;
  server.send_request(oversized);
  for (RequestId id = 2; id <= 4; ++id) server.send_request(server.request(id));
  server.print_pool();
}

// While no run time is learned, requests are queued. Afterwards a request that cannot finish in time is
// rejected on arrival, while one of the important route is admitted.
void finish_check() {
  ScriptedBackend server(default_options());
  for (RequestId id = 1; id <= 6; ++id) server.send_request(server.request(id));
  server.advance_to(0.6);
  for (RequestId id = 1; id <= 4; ++id) server.finish_run(id);
  server.advance_to(1.2);
  for (RequestId id = 5; id <= 6; ++id) server.finish_run(id);
  server.learn_run_time(1, 0.6);
  for (RequestId id = 7; id <= 14; ++id) server.send_request(server.request(id, 0));
  server.send_request(server.request(15, 1));
  Request short_timeout_request = server.request(16, 1);
  short_timeout_request.remaining_timeout = 0.5;
  server.send_request(short_timeout_request);
}

// Every request is answered by its deadline, whatever its run does.
void answer_deadlines() {
  AdmissionOptions settings = default_options();
  for (const Preemption preemption : {Preemption::kDrop, Preemption::kOff}) {
    settings.preemption = preemption;
    ScriptedBackend server(settings);
    Request with_timeout = server.request(1);
    with_timeout.remaining_timeout = 1.5;
    with_timeout.age = 1;
    server.send_request(with_timeout);
    Request without_timeout = server.request(2);
    without_timeout.age = 1;
    server.send_request(without_timeout);
    server.send_request(server.request(3));
    server.advance_to(5);
    server.print_pool();  // without preemption, unfinished runs keep their charge and their cores
  }
}

// A stopped run is queued again: with kDrop it is charged its queued size, with kPause it keeps the charge
// of a running request.
void stopped_runs() {
  AdmissionOptions settings = default_options();
  for (const Preemption preemption : {Preemption::kDrop, Preemption::kPause}) {
    settings.preemption = preemption;
    ScriptedBackend server(settings);
    for (RequestId id = 1; id <= 3; ++id) server.send_request(server.request(id));
    server.finish_run(1, Outcome::kCancelled);
    server.print_pool();
    server.finish_run(2);
    server.finish_run(3);
    server.finish_run(1);
    server.print_pool();
  }
}

// Requests with idempotency keys: the key is stored on arrival, a duplicate joins its original, and a
// request that has run is neither rejected nor run again.
void keyed() {
  AdmissionOptions settings = default_options();
  settings.routes[0].idempotency = Idempotency::kWithKey;
  settings.idempotency_key_kb = 1500;
  ScriptedBackend server(settings);
  Request first = server.request(1);
  first.age = 0.5;
  server.send_request(first);
  Request duplicate = server.request(2);
  duplicate.duplicate_of = 1;
  server.send_request(duplicate);
  server.send_request(server.request(3));
  server.send_request(server.request(4));  // no capacity for its key
  server.finish_run(1, Outcome::kCancelled);
  server.finish_run(2, Outcome::kError);
  server.advance_to(4.0);
  server.advance_to(4.6);
  server.print_pool();
  server.send_request(server.request(5));  // the first key has expired
}

// The work hint decides whether a request can finish in time: of three requests on one route, the one with
// the large hint is rejected at once, the one with the small hint and the one without a hint are queued.
void hints() {
  ScriptedBackend server(default_options());
  for (RequestId id = 1; id <= 2; ++id) server.send_request(request_with_hint(server, id, 0.1));
  server.advance_to(0.6);
  for (RequestId id = 1; id <= 2; ++id) server.finish_run(id);
  for (RequestId id = 3; id <= 4; ++id) server.send_request(request_with_hint(server, id, 0.1));
  server.send_request(request_with_hint(server, 5, 0.3));
  server.send_request(request_with_hint(server, 6, 0.02));
  server.send_request(server.request(7));
}

// Two requests understate their work by a factor of a thousand. A later request with a correct hint is not
// expected to take a thousand times its run time.
void understated_work_hints() {
  AdmissionOptions settings = default_options();
  settings.routes[0].latency_objective = 10;
  settings.routes[0].timeout = 20;
  ScriptedBackend server(settings);
  for (RequestId id = 1; id <= 2; ++id) server.send_request(request_with_hint(server, id, 0.0006));
  server.advance_to(0.6);
  for (RequestId id = 1; id <= 2; ++id) server.finish_run(id);
  for (RequestId id = 3; id <= 6; ++id) server.send_request(request_with_hint(server, id, 0.6));
}

// With many callers that seldom return, idle connections are closed soon; while reading falls behind they
// are kept for longer, until there is capacity for new requests again. With a returning caller, connections
// are kept.
void connections() {
  AdmissionOptions settings = default_options();
  settings.caller_idle_timeout = 30;
  for (const bool returning : {false, true}) {
    ScriptedBackend server(settings);
    server.print("(%s)", returning ? "one caller returns" : "each request comes from another caller");
    server.gauges.runnable = 2;
    server.set_quiet(true);
    for (RequestId id = 1; id <= 40; ++id) {
      Request request = server.request(id);
      if (returning) request.caller = 1;
      server.advance_to(0.1 * static_cast<double>(id));
      server.send_request(request);
      server.finish_run(id);
    }
    server.gauges.runnable = 20;
    server.advance_to(4.5);
    server.gauges.runnable = 2;
    server.advance_to(6);
  }
}

constexpr Scenario kScenarios[] = {
    {"pool", pool},
    {"empty_pool", empty_pool},
    {"oversized_request", oversized_request},
    {"finish_check", finish_check},
    {"answer_deadlines", answer_deadlines},
    {"stopped_runs", stopped_runs},
    {"keyed", keyed},
    {"hints", hints},
    {"understated_work_hints", understated_work_hints},
    {"connections", connections},
};

}  // namespace

std::span<const Scenario> intake_scenarios() { return kScenarios; }

}  // namespace damsonspoke::testing
