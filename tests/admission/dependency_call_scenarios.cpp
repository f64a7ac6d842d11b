// Calls to the dependency: which are made, which wait, and which are skipped.
#include "decision_scenarios.h"
#include "scripted_backend.h"

namespace damsonspoke::testing {
namespace {

// A non-idempotent request retries its call only if the last attempt is proven not to have run.
void calls() {
  AdmissionOptions settings = default_options();
  settings.dependency = DependencyKind::kShared;
  settings.dependency_share = 2;
  for (Route& route : settings.routes) route.calls_dependency = true;
  settings.routes[0].idempotency = Idempotency::kNonIdempotent;
  settings.routes[1].value_without_call = 0.5;
  ScriptedBackend server(settings);
  for (RequestId id = 1; id <= 2; ++id) server.send_request(server.request(id, 0));
  server.need_call(1);
  server.need_call(2);  // over the limit: waits without a core
  server.finish_call(1, Outcome::kRejected);
  server.finish_call(2, Outcome::kTimeout);
  server.finish_run(2, Outcome::kCancelled);
  server.advance_to(0.6);
  server.finish_call(1, Outcome::kOk);
  server.finish_run(1);
  server.send_request(server.request(3, 0));
  server.send_request(server.request(4, 0));
  server.send_request(server.request(5, 1));
  server.need_call(3);
  server.need_call(4);
  server.need_call(5);  // the dependency is slow: the call of the important request goes before that of 4
  server.finish_call(3, Outcome::kOk);
  server.disconnect_caller(4);  // so that its call is not made when the dependency is free again
  server.advance_to(2.8);       // 5 continues without its call once the call can no longer end in time
  server.finish_call(5, Outcome::kError);
}

// With a share of less than one concurrent call, short calls follow each other without a pause, and an
// abandoned call uses up the budget. With a share of 0, no call is made.
void small_dependency_share() {
  AdmissionOptions settings = default_options();
  settings.dependency = DependencyKind::kShared;
  settings.routes[0].calls_dependency = true;
  for (const double share : {0.4, 0.0}) {
    settings.dependency_share = share;
    ScriptedBackend server(settings);
    for (RequestId id = 1; id <= 2; ++id) server.send_request(server.request(id, 0));
    server.need_call(1);
    server.need_call(2);
    if (share <= 0) continue;
    server.advance_to(0.02);
    server.finish_call(1, Outcome::kOk);
    server.need_call(1);  // the budget allows its next call in addition to that of 2
    server.advance_to(0.6);
    server.finish_call(2, Outcome::kTimeout);
    server.finish_call(1, Outcome::kTimeout);
    server.advance_to(1.6);
  }
}

// A dependency that has just become slow: the recent calls predict the duration of the next one. A request
// whose call would end too late, the less important ones first, continues without the call at once instead
// of waiting.
void run_with_slowing_dependency(double rest_seconds, double value_without_call, double observed_seconds) {
  AdmissionOptions settings = default_options();
  settings.dependency = DependencyKind::kShared;
  settings.dependency_share = 4;
  for (Route& route : settings.routes) {
    route.calls_dependency = true;
    route.latency_objective = 1;
    route.value_without_call = value_without_call;
  }
  ScriptedBackend server(settings);
  server.set_quiet(true);
  double now = 0;
  for (RequestId id = 1; id <= 20; ++id) {
    const double call_seconds = id <= 14 ? 0.02 : 0.7;
    server.send_request(server.request(id, 1));
    server.need_call(id);
    server.advance_to(now += call_seconds);
    server.finish_call(id, Outcome::kOk);
    server.finish_run(id);
    server.advance_to(now += rest_seconds);
  }
  server.advance_to(now += 1);
  server.set_quiet(false);
  for (RequestId id = 21; id <= 24; ++id) {
    server.send_request(server.request(id, id % 2 == 1 ? 0 : 1));
    server.need_call(id);
  }
  if (rest_seconds > 0) {
    server.advance_to(now += 0.1);
    server.finish_call(21, Outcome::kOk);
  }
  server.advance_to(now + observed_seconds);
}
void slow_calls() { run_with_slowing_dependency(0, 0.5, 0.4); }

// Calls are paced, so that the slow dependency gets no more concurrent calls than it sustained before: the
// pauses are longer if there were few calls before, but at most 5 s. A request whose call could not be made
// in time is not started.
void paced_calls() {
  run_with_slowing_dependency(0.1, 0.5, 1);
  run_with_slowing_dependency(0.1, 0, 1);
}
void paced_rarely() { run_with_slowing_dependency(8, 0, 6); }

constexpr Scenario kScenarios[] = {
    {"calls", calls},
    {"slow_calls", slow_calls},
    {"paced_calls", paced_calls},
    {"paced_rarely", paced_rarely},
    {"small_dependency_share", small_dependency_share},
};

}  // namespace

std::span<const Scenario> dependency_call_scenarios() { return kScenarios; }

}  // namespace damsonspoke::testing
