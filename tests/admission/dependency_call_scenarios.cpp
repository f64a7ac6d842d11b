// Calls to the dependency: which go, which wait, which are left out.
#include "decision_scenarios.h"
#include "scripted_backend.h"

namespace damsonspoke::testing {
namespace {

// Calls: a non-retryable request repeats its call only when the last is proven not run.
void calls() {
  AdmissionOptions s = plain_settings();
  s.dependency = DependencyKind::kShared;
  s.dependency_share = 2;
  s.routes[0].calls_dependency = s.routes[1].calls_dependency = true;
  s.routes[0].idempotency = Idempotency::kNonIdempotent;
  s.routes[1].value_without_call = 0.5;
  Backend b(s);
  for (RequestId id = 1; id <= 2; ++id) b.arrives(b.request(id, 0));
  b.needs_call(1);
  b.needs_call(2);  // over the bound: waits off the cores
  b.call_ends(1, Outcome::kRefused);
  b.call_ends(2, Outcome::kTimeout);
  b.ends(2, Outcome::kCancelled);
  b.until(0.6);
  b.call_ends(1, Outcome::kOk);
  b.ends(1);
  b.arrives(b.request(3, 0));
  b.arrives(b.request(4, 0));
  b.arrives(b.request(5, 1));
  b.needs_call(3);
  b.needs_call(4);
  b.needs_call(5);  // slow below: the important one goes before 4
  b.call_ends(3, Outcome::kOk);
  b.gone(4);     // so that its call is not made when the way below is free again
  b.until(2.8);  // 5 is answered without its call when that can no longer be in time
  b.call_ends(5, Outcome::kError);
}

// A part below under one call: calls that return soon follow each other without rest, one that is abandoned
// uses the budget up. No part at all: nothing is called.
void small_part() {
  AdmissionOptions s = plain_settings();
  s.dependency = DependencyKind::kShared;
  s.routes[0].calls_dependency = true;
  for (const double part : {0.4, 0.0}) {
    s.dependency_share = part;
    Backend b(s);
    for (RequestId id = 1; id <= 2; ++id) b.arrives(b.request(id, 0));
    b.needs_call(1);
    b.needs_call(2);
    if (part <= 0) continue;
    b.until(0.02);
    b.call_ends(1, Outcome::kOk);
    b.needs_call(1);  // its next call has room beside that of 2
    b.until(0.6);
    b.call_ends(2, Outcome::kTimeout);
    b.call_ends(1, Outcome::kTimeout);
    b.until(1.6);
  }
}

// A layer below that has just turned slow: the recent calls tell how long the next takes, and who would get a
// turn too late, the less important first, goes on without at once instead of standing in line.
void turning_slow(double apart, double value_without_call, double on) {
  AdmissionOptions s = plain_settings();
  s.dependency = DependencyKind::kShared;
  s.dependency_share = 4;
  for (Route& type : s.routes)
    type.calls_dependency = true, type.latency_objective = 1, type.value_without_call = value_without_call;
  Backend b(s);
  b.quiet(true);
  double now = 0;
  for (RequestId id = 1; id <= 20; ++id) {
    const double takes = id <= 14 ? 0.02 : 0.7;
    b.arrives(b.request(id, 1));
    b.needs_call(id);
    b.until(now += takes);
    b.call_ends(id, Outcome::kOk);
    b.ends(id);
    b.until(now += apart);
  }
  b.until(now += 1);
  b.quiet(false);
  for (RequestId id = 21; id <= 24; ++id) {
    b.arrives(b.request(id, id % 2 == 1 ? 0 : 1));
    b.needs_call(id);
  }
  if (apart > 0) b.until(now += 0.1), b.call_ends(21, Outcome::kOk);
  b.until(now + on);
}
void slow_calls() { turning_slow(0, 0.5, 0.4); }

// Calls go with rests between, so that it gets no more than it bore when well: longer ones where few had
// gone, yet of 5 s at most. Who gets no turn in time is not started.
void paced_calls() { turning_slow(0.1, 0.5, 1), turning_slow(0.1, 0, 1); }
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
