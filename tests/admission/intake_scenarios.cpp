// What is admitted, held, charged and remembered, and which connections stay.
#include "decision_scenarios.h"
#include "scripted_backend.h"

namespace damsonspoke::testing {
namespace {

// A request that tells how many seconds of work it is.
Request request_with_hint(ScriptedBackend& server, RequestId id, double work_seconds) {
  Request request = server.request(id);
  request.work_hint = work_seconds;
  return request;
}

// Every way in which a request can end gives its bytes back, once.
void pool() {
  ScriptedBackend server(default_options());
  for (RequestId id = 1; id <= 5; ++id) server.send_request(server.request(id));
  server.print_pool();
  server.advance_to(0.1);
  server.finish_run(1);
  server.finish_run(2, Outcome::kError);
  server.disconnect_caller(3);  // runs: stopped, its bytes stay until the run is over
  server.print_pool();
  server.finish_run(3, Outcome::kCancelled);
  server.finish_run(4,
                    Outcome::kCancelled);  // stopped by nobody's wish: back in the hold, then started again
  server.print_pool();
  server.disconnect_caller(5);
  server.finish_run(5, Outcome::kCancelled);
  server.advance_to(4.5);  // 4 comes due while it runs
  server.print_pool();
  server.finish_run(4, Outcome::kCancelled);
  server.print_pool();
}

// An empty pool refuses newcomers, though one run may go when none is running.
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

// One request that could never run here is rejected, and those after it find the room as it was.
void oversized_request() {
  ScriptedBackend server(default_options());
  Request oversized = server.request(1);
  oversized.size_kb = 9000;
  server.send_request(oversized);
  for (RequestId id = 2; id <= 4; ++id) server.send_request(server.request(id));
  server.print_pool();
}

// Nothing learned: held. Learned: a request that cannot be in time is rejected on intake, the important one
// is not.
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

// The answer owed leaves by the due time, whatever the work does.
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
    server.print_pool();  // with halt off the unfinished runs keep their charge and their cores
  }
}

// A stopped run: dropped work goes back to the hold at its held size, paused work keeps its running bytes.
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

// Keyed: the entry is kept from intake, a repeat joins, what has run is never rejected nor run again.
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
  server.send_request(server.request(4));  // no room for its entry
  server.finish_run(1, Outcome::kCancelled);
  server.finish_run(2, Outcome::kError);
  server.advance_to(4.0);
  server.advance_to(4.6);
  server.print_pool();
  server.send_request(server.request(5));  // the first entry has expired
}

// A request that tells its work is judged by it: the long one misses and is rejected at once, the short one
// and the untold one wait, though the three are of one route.
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

// Two requests told a thousandth of their work: an honest one after them is not taken for a thousand times
// its own.
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

// Many callers that seldom return: their idle connections go soon, but stay when reading falls behind, until
// newcomers find room again. A caller that returns keeps its connection.
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
