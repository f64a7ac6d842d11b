// Resumptions and stops in doubt after the runtime's link is lost, and resumptions that the runtime
// rejects.
#include <string>

#include "link_crossings.h"

namespace damsonspoke::testing {
namespace {

// Resumes a paused run, then breaks the link.
int resume_then_break_link(ServerFixture& fixture) {
  const int caller = fixture.connect();
  fixture.send_request(caller, 1);
  fixture.print_runtime_lines(2);
  fixture.send_from_runtime("end 1 " + kId1 + " cancelled 20 0\r\n");
  fixture.print_runtime_lines();
  fixture.break_runtime_link();
  return caller;
}

// Guards against a second answer, or a failure, because a `cont` arrives again after the end of the run.
void resumption_crosses_end() {
  ServerFixture fixture("", "", routes(kFragile));
  fixture.complete_startup();
  const int caller = resume_then_break_link(fixture);
  fixture.send_from_runtime_after_gauges(run_end_notice(2, kId1));
  fixture.complete_runtime_handshake("hot 900");
  fixture.print_caller_message(caller);
  print_runtime_input(fixture);
  fixture.send_from_runtime("nack cont " + kId1);
  fixture.print_counters(
      {"requests.read", "requests.succeeded", "requests.failed", "runs.started", "runs.resumed"});
}

// Guards against a request that is answered twice, or never, where its run was paused again: the `cont`
// that is sent again resumes it as well as a new one would.
void resumption_crosses_pause() {
  ServerFixture fixture("", "", routes(kFragile));
  fixture.complete_startup();
  const int caller = resume_then_break_link(fixture);
  fixture.send_from_runtime_after_gauges("end 2 " + kId1 + " cancelled 20 0\r\n");
  fixture.complete_runtime_handshake("hot 900");
  print_runtime_input(fixture);
  fixture.send_from_runtime(run_end_notice(3, kId1));
  fixture.print_caller_message(caller);
  fixture.print_counters(
      {"requests.read", "requests.succeeded", "requests.failed", "runs.started", "runs.resumed"});
}

// Guards against a paused run that is never resumed because its `cont` was lost.
void resumption_lost() {
  ServerFixture fixture("", "", routes(kFragile));
  fixture.complete_startup();
  const int caller = resume_then_break_link(fixture);
  fixture.complete_runtime_handshake("hot 900");
  print_runtime_input(fixture);
  fixture.send_from_runtime(run_end_notice(2, kId1));
  fixture.print_caller_message(caller);
  fixture.print_counters(
      {"requests.read", "requests.succeeded", "requests.failed", "runs.started", "runs.resumed"});
}

// Guards against a run that is started again directly after it was stopped: neither start nor stop is
// acknowledged.
void break_after_stop(const std::string& idempotency, const std::string& halt) {
  ServerFixture fixture(R"(,"halt":")" + halt + "\"", "", routes(idempotency));
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", with_limit(150, idempotency).c_str());
  fixture.print_runtime_lines(2);
  fixture.print_caller_message(caller);
  fixture.print_runtime_lines();
  fixture.break_runtime_link();
  fixture.send_from_runtime_after_gauges("end 1 " + kId1 + " cancelled 20 0\r\n");
  fixture.complete_runtime_handshake("hot 900");
  print_runtime_input(fixture);
  fixture.send_request(caller, 2, "pull");
  fixture.print_runtime_lines(2);
  fixture.send_from_runtime(run_end_notice(2, kId2));
  fixture.print_caller_message(caller);
  fixture.print_counters(
      {"requests.read", "requests.succeeded", "requests.failed", "runs.started", "runs.stopped"});
}
void stop_paused_fragile() { break_after_stop(kFragile, "pause"); }
void stop_dropped_fragile() { break_after_stop(kFragile, "drop"); }
void stop_dropped_retryable() { break_after_stop(kRetryable, "drop"); }

// Guards against a run that is never stopped because its `stop` was lost.
void stop_lost() {
  ServerFixture fixture("", "", routes(kFragile));
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", with_limit(600, kFragile).c_str());
  fixture.print_runtime_lines(2);
  fixture.print_caller_message(caller);
  fixture.print_runtime_lines();
  fixture.break_runtime_link();
  fixture.complete_runtime_handshake("hot 900");
  print_runtime_input(fixture);
  fixture.send_from_runtime("end 1 " + kId1 + " cancelled 20 0\r\n");
  fixture.print_counters(
      {"requests.read", "requests.failed", "runs.started", "runs.stopped", "runs.cancelled"});
}

// Guards against a keyed request that is started again although its run was paused and could not be
// resumed: a part of it has run.
void resumption_refused(const std::string& answer) {
  ServerFixture fixture("", "", routes(kDedup));
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", with_limit(3000, kDedup).c_str());
  fixture.print_runtime_lines(2);
  fixture.send_from_runtime("end 1 " + kId1 + " cancelled 20 0\r\n");
  fixture.print_runtime_lines();
  fixture.send_from_runtime(answer);
  print_caller_failure(fixture, caller);
  fixture.send_request(caller, 2, "push", with_limit(1500, kDedup).c_str());
  print_runtime_input(fixture);
  fixture.print_counters({"requests.read", "requests.failed", "runs.started"});
}
void resumption_refused_nack() { resumption_refused("nack cont " + kId1); }
void resumption_refused_unknown() { resumption_refused("end 2 " + kId1 + " unknown 0 0\r\n"); }

}  // namespace

std::span<const Scenario> resumption_scenarios() {
  static constexpr Scenario kScenarios[] = {{"resumption_refused_nack", resumption_refused_nack},
                                            {"resumption_refused_unknown", resumption_refused_unknown},
                                            {"resumption_crosses_end", resumption_crosses_end},
                                            {"resumption_crosses_pause", resumption_crosses_pause},
                                            {"resumption_lost", resumption_lost},
                                            {"stop_paused_fragile", stop_paused_fragile},
                                            {"stop_dropped_fragile", stop_dropped_fragile},
                                            {"stop_dropped_retryable", stop_dropped_retryable},
                                            {"stop_lost", stop_lost}};
  return kScenarios;
}

}  // namespace damsonspoke::testing
