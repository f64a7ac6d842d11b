// Starts in doubt after the runtime's link is lost: sent again or not, awaited, given up.
#include <cstdio>
#include <string>

#include "link_crossings.h"

namespace damsonspoke::testing {
namespace {

constexpr double kStepSeconds = 0.01;  // between two checks of the input
constexpr int kMaxSteps = 200;

// Sends a request whose start the runtime reads, then breaks the link.
int start_then_break_link(ServerFixture& fixture, const std::string& idempotency, int limit_ms = 3000) {
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", with_limit(limit_ms, idempotency).c_str());
  fixture.print_runtime_lines(2);
  fixture.break_runtime_link();
  return caller;
}

void send_duplicate(ServerFixture& fixture, int caller) {
  fixture.send_request(caller, 2, "push", with_limit(3000, kDedup).c_str());
  fixture.print_caller_message(caller);
  print_runtime_input(fixture);
}

// Guards against a request that runs twice: its run ends directly after the gauges of the new link, and a
// start sent on receipt of these would run it again.
void break_before_run_end(const std::string& idempotency) {
  ServerFixture fixture("", "", routes(idempotency));
  fixture.complete_startup();
  const int caller = start_then_break_link(fixture, idempotency);
  fixture.send_from_runtime_after_gauges(run_end_notice(1, kId1));
  fixture.complete_runtime_handshake("hot 900");
  fixture.print_caller_message(caller);
  print_runtime_input(fixture);
  if (idempotency == kDedup) send_duplicate(fixture, caller);
  fixture.print_counters(
      {"requests.read", "requests.succeeded", "runs.started", "runtime.links", "runtime.resent"});
}
void start_dedup() { break_before_run_end(kDedup); }
void start_fragile() { break_before_run_end(kFragile); }
void start_retryable() { break_before_run_end(kRetryable); }

// Guards against a lost start that is sent again, or that holds its memory for ever: its request must fail
// at its deadline, a duplicate with its key must start nothing, and a request that needs the memory must
// run after that.
void start_lost(const std::string& idempotency) {
  const bool is_keyed = idempotency == kDedup;
  ServerFixture fixture("", "", routes(idempotency));
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", large_request(600, is_keyed ? "a" : "").c_str());
  fixture.print_runtime_lines(2);
  fixture.break_runtime_link();
  fixture.complete_runtime_handshake("hot 900");
  print_command_count(fixture, "start " + kId1);
  print_caller_failure(fixture, caller);
  print_command_count(fixture, "start " + kId1);
  if (is_keyed) {
    fixture.send_request(caller, 2, "push", large_request(600, "a").c_str());
    print_caller_failure(fixture, caller);
    print_command_count(fixture, "start");
  }
  fixture.pause(kReleaseSeconds);
  fixture.send_request(caller, 3, "push", large_request(3000, is_keyed ? "b" : "").c_str());
  print_command_count(fixture, "start " + kId3);
  fixture.send_from_runtime(run_end_notice(1, kId3));
  fixture.print_caller_message(caller);
  fixture.print_counters({"requests.read", "requests.succeeded", "requests.failed", "requests.rejected"});
}
void lost_dedup() { start_lost(kDedup); }
void lost_fragile() { start_lost(kFragile); }

// Guards against the same fault where the run continues for a while on the new link.
void start_runs_on(const std::string& idempotency) {
  ServerFixture fixture("", "", routes(idempotency));
  fixture.complete_startup();
  const int caller = start_then_break_link(fixture, idempotency);
  fixture.complete_runtime_handshake("hot 900");
  print_runtime_input(fixture);
  fixture.send_from_runtime(run_end_notice(1, kId1));
  fixture.print_caller_message(caller);
  if (idempotency == kDedup) send_duplicate(fixture, caller);
  fixture.print_counters({"requests.read", "requests.succeeded", "runs.started", "runtime.resent"});
}
void runs_on_dedup() { start_runs_on(kDedup); }
void runs_on_fragile() { start_runs_on(kFragile); }
void runs_on_retryable() { start_runs_on(kRetryable); }

// Guards against a start that is taken for lost though it was never sent: it must be sent once, on the new
// link, and not again when that breaks too.
void start_waits_for_link(const std::string& idempotency) {
  ServerFixture fixture("", "", routes(idempotency));
  fixture.complete_startup();
  fixture.break_runtime_link();
  std::printf("the program knows: %s\n", fixture.expect_log("link lost").empty() ? "no" : "yes");
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", with_limit(3000, idempotency).c_str());
  fixture.pause(kQuietSeconds);
  fixture.complete_runtime_handshake("hot 900");
  fixture.print_runtime_lines(2);
  fixture.break_runtime_link();
  fixture.send_from_runtime_after_gauges(run_end_notice(1, kId1));
  fixture.complete_runtime_handshake("hot 1900");
  fixture.print_caller_message(caller);
  print_runtime_input(fixture);
  fixture.print_counters({"requests.read", "requests.succeeded", "runs.started"});
}
void waits_dedup() { start_waits_for_link(kDedup); }
void waits_fragile() { start_waits_for_link(kFragile); }

// Guards against a second run of a keyed request that is already answered and whose run was not stopped.
void overdue_dedup() {
  ServerFixture fixture("", "", routes(kDedup));
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", with_limit(150, kDedup).c_str());
  fixture.print_runtime_lines(2);
  fixture.print_caller_message(caller);
  fixture.break_runtime_link();
  fixture.send_from_runtime_after_gauges(run_end_notice(1, kId1));
  fixture.complete_runtime_handshake("hot 900");
  print_runtime_input(fixture);
  send_duplicate(fixture, caller);
  fixture.print_counters(
      {"requests.read", "requests.succeeded", "requests.failed", "runs.started", "runs.stopped"});
}

// Guards against a second run where a missing notice makes the program reconnect directly after a start.
void gap_dedup() {
  ServerFixture fixture("", "", routes(kDedup));
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", R"("ram":10,"limit":3000,"key":"a")");
  fixture.print_runtime_lines(2);
  fixture.send_request(caller, 2, "push", R"("ram":10,"limit":3000,"key":"b")");
  fixture.print_runtime_lines(2);
  fixture.send_from_runtime(run_end_notice(2, kId1));
  fixture.send_from_runtime_after_gauges(run_end_notice(3, kId2));
  fixture.complete_runtime_handshake("hot 900");
  fixture.send_from_runtime("info 1 was missing\r\n" + run_end_notice(2, kId1));
  fixture.print_caller_message(caller);
  fixture.print_caller_message(caller);
  print_runtime_input(fixture);
  fixture.print_counters(
      {"requests.read", "requests.succeeded", "runs.started", "runtime.gaps", "runtime.resent"});
}

// Guards against memory that is held for ever where the missing notice is the end of a run that was started
// long before: no command is in doubt, and no other notice of that run follows. A request that needs all
// memory must start after it.
void gap_old_run(const std::string& idempotency, bool is_lost = true) {
  const bool keyed = idempotency == kDedup;
  ServerFixture fixture("", "", routes(idempotency));
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", with_limit(1500, idempotency).c_str());
  fixture.send_request(caller, 2, "push",
                       keyed ? R"("ram":10,"limit":3000,"key":"b")" : R"("ram":10,"limit":3000)");
  fixture.print_runtime_lines(4);
  fixture.pause(kReleaseSeconds);
  fixture.send_from_runtime(run_end_notice(2, kId2));
  fixture.complete_runtime_handshake("hot 2000");
  if (!is_lost) fixture.send_from_runtime(run_end_notice(1, kId1));
  fixture.send_from_runtime(run_end_notice(2, kId2));
  fixture.print_caller_message(caller);
  is_lost ? print_caller_failure(fixture, caller) : fixture.print_caller_message(caller);
  fixture.pause(kReleaseSeconds);
  fixture.send_request(caller, 3, "push", large_request(3000, keyed ? "c" : "").c_str());
  print_command_count(fixture, "start " + kId3);
  fixture.print_counters(
      {"requests.read", "requests.succeeded", "requests.failed", "requests.rejected", "runtime.gaps"});
}
void gap_old_run_dedup() { gap_old_run(kDedup); }
void gap_old_run_fragile() { gap_old_run(kFragile); }
void gap_old_run_comes() { gap_old_run(kFragile, false); }

// Guards against a start that is sent again although a request for gauges that was sent after it was
// answered before the break.
void start_proven(double seconds_before_break) {
  ServerFixture fixture("", "", routes(kDedup));
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", with_limit(3000, kDedup).c_str());
  fixture.print_runtime_lines(2);
  const int answered = fixture.answered_gauges;
  for (int i = 0; i < kMaxSteps && fixture.answered_gauges == answered; ++i) fixture.pause(kStepSeconds);
  std::printf("gauges answered since: %s\n", fixture.answered_gauges > answered ? "yes" : "no");
  fixture.answers_gauges = false;
  fixture.pause(seconds_before_break);
  fixture.break_runtime_link();
  fixture.answers_gauges = true;
  fixture.send_from_runtime_after_gauges(run_end_notice(1, kId1));
  fixture.complete_runtime_handshake("hot 900");
  fixture.print_caller_message(caller);
  print_runtime_input(fixture);
  fixture.print_counters({"requests.read", "requests.succeeded", "runs.started", "runtime.resent"});
}
void proven_50ms() { start_proven(0.05); }
void proven_100ms() { start_proven(0.1); }
void proven_200ms() { start_proven(0.2); }

}  // namespace

std::span<const Scenario> start_scenarios() {
  static constexpr Scenario kScenarios[] = {{"start_dedup", start_dedup},
                                            {"start_fragile", start_fragile},
                                            {"start_retryable", start_retryable},
                                            {"lost_dedup", lost_dedup},
                                            {"lost_fragile", lost_fragile},
                                            {"runs_on_dedup", runs_on_dedup},
                                            {"runs_on_fragile", runs_on_fragile},
                                            {"runs_on_retryable", runs_on_retryable},
                                            {"waits_dedup", waits_dedup},
                                            {"waits_fragile", waits_fragile},
                                            {"overdue_dedup", overdue_dedup},
                                            {"gap_dedup", gap_dedup},
                                            {"gap_old_run_dedup", gap_old_run_dedup},
                                            {"gap_old_run_fragile", gap_old_run_fragile},
                                            {"gap_old_run_comes", gap_old_run_comes},
                                            {"proven_50ms", proven_50ms},
                                            {"proven_100ms", proven_100ms},
                                            {"proven_200ms", proven_200ms}};
  return kScenarios;
}

}  // namespace damsonspoke::testing
