// Calls to the dependency: which go, which wait, which are left out.
#include "decision_scenarios.h"
#include "scripted_backend.h"

namespace damsonspoke::testing {
namespace {

// Calls: a non-retryable request repeats its call only when the last is proven not run.
void calls() {
  AdmissionOptions settings = plain_settings();
  settings.dependency = DependencyKind::kShared;
  settings.dependency_share = 2;
  for (Route& route : settings.routes) route.calls_dependency = true;
  settings.routes[0].idempotency = Idempotency::kNonIdempotent;
  settings.routes[1].value_without_call = 0.5;
  Backend server(settings);
  for (RequestId id = 1; id <= 2; ++id) server.arrives(server.request(id, 0));
  server.needs_call(1);
  server.needs_call(2);  // over the bound: waits off the cores
  server.call_ends(1, Outcome::kRejected);
  server.call_ends(2, Outcome::kTimeout);
  server.ends(2, Outcome::kCancelled);
  server.until(0.6);
  server.call_ends(1, Outcome::kOk);
  server.ends(1);
  server.arrives(server.request(3, 0));
  server.arrives(server.request(4, 0));
  server.arrives(server.request(5, 1));
  server.needs_call(3);
  server.needs_call(4);
  server.needs_call(5);  // slow below: the important one goes before 4
  server.call_ends(3, Outcome::kOk);
  server.gone(4);     // so that its call is not made when the way below is free again
  server.until(2.8);  // 5 is answered without its call when that can no longer be in time
  server.call_ends(5, Outcome::kError);
}

// A part below under one call: calls that return soon follow each other without rest, one that is abandoned
// uses the budget up. No part at all: nothing is called.
void small_part() {
  AdmissionOptions settings = plain_settings();
  settings.dependency = DependencyKind::kShared;
  settings.routes[0].calls_dependency = true;
  for (const double part : {0.4, 0.0}) {
    settings.dependency_share = part;
    Backend server(settings);
    for (RequestId id = 1; id <= 2; ++id) server.arrives(server.request(id, 0));
    server.needs_call(1);
    server.needs_call(2);
    if (part <= 0) continue;
    server.until(0.02);
    server.call_ends(1, Outcome::kOk);
    server.needs_call(1);  // its next call has room beside that of 2
    server.until(0.6);
    server.call_ends(2, Outcome::kTimeout);
    server.call_ends(1, Outcome::kTimeout);
    server.until(1.6);
  }
}

// A layer below that has just turned slow: the recent calls tell how long the next takes, and who would get a
// turn too late, the less important first, goes on without at once instead of standing in line.
void turning_slow(double rest_seconds, double value_without_call, double watched_seconds) {
  AdmissionOptions settings = plain_settings();
  settings.dependency = DependencyKind::kShared;
  settings.dependency_share = 4;
  for (Route& route : settings.routes) {
    route.calls_dependency = true;
    route.latency_objective = 1;
    route.value_without_call = value_without_call;
  }
  Backend server(settings);
  server.quiet(true);
  double now = 0;
  for (RequestId id = 1; id <= 20; ++id) {
    const double call_seconds = id <= 14 ? 0.02 : 0.7;
    server.arrives(server.request(id, 1));
    server.needs_call(id);
    server.until(now += call_seconds);
    server.call_ends(id, Outcome::kOk);
    server.ends(id);
    server.until(now += rest_seconds);
  }
  server.until(now += 1);
  server.quiet(false);
  for (RequestId id = 21; id <= 24; ++id) {
    server.arrives(server.request(id, id % 2 == 1 ? 0 : 1));
    server.needs_call(id);
  }
  if (rest_seconds > 0) {
    server.until(now += 0.1);
    server.call_ends(21, Outcome::kOk);
  }
  server.until(now + watched_seconds);
}
void slow_calls() { turning_slow(0, 0.5, 0.4); }

// Calls go with rests between, so that it gets no more than it bore when well: longer ones where few had
// gone, yet of 5 s at most. Who gets no turn in time is not started.
void paced_calls() {
  turning_slow(0.1, 0.5, 1);
  turning_slow(0.1, 0, 1);
}
void paced_rarely() { turning_slow(8, 0, 6); }

constexpr Scenario kScenarios[] = {
    {"calls", calls},
    {"slow_calls", slow_calls},
    {"paced_calls", paced_calls},
    {"paced_rarely", paced_rarely},
    {"small_part", small_part},
};

}  // namespace

std::span<const Scenario> dependency_call_scenarios() { return kScenarios; }

}  // namespace damsonspoke::testing
