// The runtime is restarted, or moves to another address, while a command is in doubt.
#include <chrono>
#include <csignal>
#include <cstdio>
#include <string>

#include "link_crossings.h"

namespace damsonspoke::testing {
namespace {

using Clock = standins::scripted::Clock;

constexpr double kStoppedSeconds = 0.8;  // for which the program is stopped

// Guards against a second run where the runtime's address changes directly after a start, while the old
// link is alive.
void start_moved(const std::string& idempotency) {
  ServerFixture fixture("", "", routes(idempotency));
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", with_limit(3000, idempotency).c_str());
  fixture.print_runtime_lines(2);
  fixture.reload();
  fixture.send_from_runtime_after_gauges_of_next_link(run_end_notice(1, kId1));
  fixture.complete_runtime_handshake("hot 900");
  fixture.print_caller_message(caller);
  print_runtime_input(fixture);
  fixture.print_counters(
      {"requests.read", "requests.succeeded", "runs.started", "runtime.links", "runtime.resent"});
}
void moved_dedup() { start_moved(kDedup); }
void moved_fragile() { start_moved(kFragile); }

// Guards against a reply that answers the next call, where the address changes directly after a `give`.
void reply_moved(const char* route) {
  ServerFixture fixture("", "", routes(kFragile));
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, route);
  fixture.print_runtime_lines(2);
  fixture.send_from_runtime("wants 1 " + kId1 + " 5\r\nfirst");
  fixture.print_dependency_lines(2);
  fixture.send_from_dependency(kId1 + " ok 9\r\nreply one");
  fixture.print_runtime_lines(2);
  fixture.reload();
  fixture.send_from_runtime_after_gauges_of_next_link("wants 2 " + kId1 + " 6\r\nsecond");
  fixture.complete_runtime_handshake("hot 900");
  fixture.print_dependency_lines(2);
  fixture.send_from_dependency(kId1 + " ok 9\r\nreply two");
  print_runtime_input(fixture);
  fixture.send_from_runtime(run_end_notice(3, kId1));
  fixture.print_caller_message(caller);
  fixture.print_counters({"requests.read", "requests.succeeded", "calls.made", "calls.ok"});
}
void reply_moved_skippable() { reply_moved("push"); }
void reply_moved_needed() { reply_moved("pull"); }

// Guards against a runtime that is restarted shortly after it was first connected and is taken for the
// first process. Runs of the first process must fail and not be started on the second one, and notices of
// the second one, which are numbered from 1, must be handled.
void runtime_restarts(const std::string& idempotency, double seconds_after_ready) {
  const bool is_keyed = idempotency == kDedup;
  ServerFixture fixture("", "", routes(idempotency));
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", with_limit(3000, idempotency).c_str());
  fixture.print_runtime_lines(2);
  fixture.send_from_runtime(run_end_notice(1, kId1));
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 2, "push",
                       is_keyed ? R"("ram":10,"limit":800,"key":"b")" : R"("ram":10,"limit":800)");
  fixture.print_runtime_lines(2);
  fixture.pause(seconds_after_ready);
  fixture.break_runtime_link();
  fixture.complete_runtime_handshake("chilly 0");
  print_command_count(fixture, "start " + kId2);
  print_caller_failure(fixture, caller);
  fixture.send_request(caller, 3, "push",
                       is_keyed ? R"("ram":10,"limit":3000,"key":"c")" : R"("ram":10,"limit":3000)");
  print_command_count(fixture, "start " + kId3, kQuietSeconds / 2);
  fixture.send_from_runtime(run_end_notice(1, kId3));
  fixture.print_caller_message(caller);
  fixture.print_counters({"requests.read", "requests.succeeded", "requests.failed", "runtime.restarts"});
}
void restart_100ms_dedup() { runtime_restarts(kDedup, 0.1); }
void restart_300ms_dedup() { runtime_restarts(kDedup, 0.3); }
void restart_100ms_fragile() { runtime_restarts(kFragile, 0.1); }
void restart_300ms_fragile() { runtime_restarts(kFragile, 0.3); }

// Guards against a runtime that is taken for another process because the program reads its `ready` late:
// the program is stopped while that arrives. The run continues and its request is answered.
void ready_read_late() {
  ServerFixture fixture("", "", routes(kFragile));
  fixture.complete_startup();
  const auto ready_at = Clock::now();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1);
  fixture.print_runtime_lines(2);
  fixture.pause(kQuietSeconds);
  fixture.break_runtime_link();
  fixture.print_runtime_lines();
  fixture.signal(SIGSTOP);
  const auto up = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - ready_at);
  fixture.send_runtime_ready("hot " + std::to_string(up.count()));
  fixture.pause(kStoppedSeconds);
  fixture.signal(SIGCONT);
  fixture.pause(kQuietSeconds);
  fixture.send_from_runtime(run_end_notice(1, kId1));
  fixture.print_caller_message(caller);
  fixture.print_counters({"requests.read", "requests.succeeded", "requests.failed", "runtime.restarts"});
}

// Guards against a runtime that replaces another one at once, greets late and is taken for it: its notices,
// numbered from 1, were ignored.
void restart_greets_late() {
  ServerFixture fixture("", "", routes(kFragile));
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", with_limit(3000, kFragile).c_str());
  fixture.print_runtime_lines(2);
  for (int i = 1; i < 4; ++i) fixture.send_from_runtime("info " + std::to_string(i) + " a remark");
  fixture.pause(kReleaseSeconds);
  fixture.break_runtime_link();
  fixture.print_runtime_lines();
  fixture.pause(kQuietSeconds);
  fixture.send_runtime_ready("hot 250");
  print_caller_failure(fixture, caller);
  fixture.send_request(caller, 2, "push", with_limit(1500, kFragile).c_str());
  print_command_count(fixture, "start " + kId2);
  fixture.send_from_runtime(run_end_notice(1, kId2));
  fixture.print_caller_message(caller);
  fixture.print_counters({"requests.read", "requests.succeeded", "requests.failed", "runtime.restarts"});
}

// Waits for the answers to two requests, in either order.
void print_whether_both_answered(ServerFixture& fixture, int caller) {
  int answers = 0;
  for (int i = 0; i < 2; ++i) answers += fixture.next_message(caller).find("\"id\":") != std::string::npos;
  std::printf("caller received two answers: %s\n", answers == 2 ? "yes" : "no");
}

// Guards against a runtime that replaces another one and is taken for it because the program reads its
// greeting late: the program did not check for the greeting while it was stopped. The new process numbers
// its notices from 1.
void restart_read_late() {
  ServerFixture fixture("", "", routes(kFragile));
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", with_limit(3000, kFragile).c_str());
  fixture.print_runtime_lines(2);
  for (int i = 1; i < 4; ++i) fixture.send_from_runtime("info " + std::to_string(i) + " a remark");
  fixture.pause(kQuietSeconds);
  fixture.break_runtime_link();
  fixture.print_runtime_lines();
  fixture.signal(SIGSTOP);
  fixture.pause(kStoppedSeconds);
  fixture.send_runtime_ready("hot 780");
  fixture.signal(SIGCONT);
  fixture.pause(kQuietSeconds);
  fixture.send_request(caller, 2, "push", with_limit(1500, kFragile).c_str());
  print_command_count(fixture, "start " + kId2);
  fixture.send_from_runtime(run_end_notice(1, kId2));
  print_whether_both_answered(fixture, caller);
  fixture.send_request(caller, 3, "push", with_limit(1500, kFragile).c_str());
  print_command_count(fixture, "start " + kId3);
  fixture.send_from_runtime(run_end_notice(2, kId3));
  fixture.print_caller_message(caller);
  fixture.print_counters({"requests.read", "requests.failed", "runtime.restarts"});
}

}  // namespace

std::span<const Scenario> restart_scenarios() {
  static constexpr Scenario kScenarios[] = {{"restart_greets_late", restart_greets_late},
                                            {"restart_read_late", restart_read_late},
                                            {"moved_dedup", moved_dedup},
                                            {"moved_fragile", moved_fragile},
                                            {"reply_moved_skippable", reply_moved_skippable},
                                            {"reply_moved_needed", reply_moved_needed},
                                            {"restart_100ms_dedup", restart_100ms_dedup},
                                            {"restart_300ms_dedup", restart_300ms_dedup},
                                            {"restart_100ms_fragile", restart_100ms_fragile},
                                            {"restart_300ms_fragile", restart_300ms_fragile},
                                            {"ready_read_late", ready_read_late}};
  return kScenarios;
}

}  // namespace damsonspoke::testing
