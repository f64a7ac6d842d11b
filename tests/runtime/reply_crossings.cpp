// Replies to calls in doubt after the runtime's link is lost: none may answer another call, and no run may
// wait for ever.
#include <cstring>
#include <string>

#include "link_crossings.h"

namespace damsonspoke::testing {
namespace {

// Guards against the reply to a run's first call that is taken for the reply to its second call: the run
// has continued with the first reply, and requests its second call directly after the gauges of the new
// link. `omit` names its call and does no harm; it is sent where the route may do without a call.
void break_before_next_call(const std::string& idempotency, const char* route) {
  ServerFixture fixture("", "", routes(idempotency));
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, route);
  fixture.print_runtime_lines(2);
  fixture.send_from_runtime("wants 1 " + kId1 + " 5\r\nfirst");
  fixture.print_dependency_lines(2);
  fixture.send_from_dependency(kId1 + " ok 9\r\nreply one");
  fixture.print_runtime_lines(2);
  fixture.break_runtime_link();
  fixture.send_from_runtime_after_gauges("wants 2 " + kId1 + " 6\r\nsecond");
  fixture.complete_runtime_handshake("hot 900");
  fixture.print_dependency_lines(2);
  fixture.send_from_dependency(kId1 + " ok 9\r\nreply two");
  print_runtime_input(fixture);
  fixture.send_from_runtime(run_end_notice(3, kId1));
  fixture.print_caller_message(caller);
  fixture.print_counters({"requests.read", "requests.succeeded", "calls.made", "calls.ok"});
}
void reply_retryable_skippable() { break_before_next_call(kRetryable, "push"); }
void reply_retryable() { break_before_next_call(kRetryable, "pull"); }
void reply_fragile_skippable() { break_before_next_call(kFragile, "push"); }
void reply_fragile() { break_before_next_call(kFragile, "pull"); }

// Guards against a run that waits for ever because the reply to its call was lost: it must continue without
// the call where its route may, otherwise its request must fail at its deadline.
void reply_lost(const char* route) {
  ServerFixture fixture("", "", routes(kRetryable));
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, route, with_limit(700, kRetryable).c_str());
  fixture.print_runtime_lines(2);
  fixture.send_from_runtime("wants 1 " + kId1 + " 5\r\nfirst");
  fixture.print_dependency_lines(2);
  fixture.send_from_dependency(kId1 + " ok 9\r\nreply one");
  fixture.print_runtime_lines(2);
  fixture.break_runtime_link();
  fixture.complete_runtime_handshake("hot 900");
  const bool can_be_skipped = std::strcmp(route, "push") == 0;
  print_runtime_input(fixture);
  if (can_be_skipped) fixture.send_from_runtime(run_end_notice(2, kId1));
  fixture.print_caller_message(caller);
  print_command_count(fixture, "give");
  fixture.print_counters({"requests.read", "requests.succeeded", "requests.failed", "calls.made"});
}
void reply_lost_skippable() { reply_lost("push"); }
void reply_lost_needed() { reply_lost("pull"); }

// Guards against memory that is held for ever where the reply to a call that a run needs was lost.
void reply_lost_frees_memory() {
  ServerFixture fixture("", "", routes(kDedup));
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "pull", large_request(900, "a").c_str());
  fixture.print_runtime_lines(2);
  fixture.send_from_runtime("wants 1 " + kId1 + " 5\r\nfirst");
  fixture.print_dependency_lines(2);
  fixture.send_from_dependency(kId1 + " ok 9\r\nreply one");
  fixture.print_runtime_lines(2);
  fixture.break_runtime_link();
  fixture.complete_runtime_handshake("hot 900");
  print_command_count(fixture, "give");
  print_caller_failure(fixture, caller);
  fixture.pause(kReleaseSeconds);
  fixture.send_request(caller, 3, "push", large_request(1500, "b").c_str());
  print_command_count(fixture, "start " + kId3);
  fixture.print_counters({"requests.read", "requests.failed", "requests.rejected", "runs.given_up"});
}

}  // namespace

std::span<const Scenario> reply_scenarios() {
  static constexpr Scenario kScenarios[] = {{"reply_lost_frees_memory", reply_lost_frees_memory},
                                            {"reply_retryable_skippable", reply_retryable_skippable},
                                            {"reply_retryable", reply_retryable},
                                            {"reply_fragile_skippable", reply_fragile_skippable},
                                            {"reply_fragile", reply_fragile},
                                            {"reply_lost_skippable", reply_lost_skippable},
                                            {"reply_lost_needed", reply_lost_needed}};
  return kScenarios;
}

}  // namespace damsonspoke::testing
