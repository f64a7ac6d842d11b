// Starts in doubt after the runtime's link is lost: sent again or not, awaited, given up.
#include <cstdio>
#include <string>

#include "link_crossings.h"

namespace damsonspoke::testing {
namespace {

constexpr double kStepSeconds = 0.01;  // between two checks of the input
constexpr int kMaxSteps = 200;

// Sends a request whose start the runtime reads, then breaks the link.
int start_then_break_link(Site& site, const std::string& idempotency, int limit_ms = 3000) {
  const int caller = site.connect();
  site.send_request(caller, 1, "push", with_limit(limit_ms, idempotency).c_str());
  site.runtime_hears(2);
  site.runtime_breaks();
  return caller;
}

void send_duplicate(Site& site, int caller) {
  site.send_request(caller, 2, "push", with_limit(3000, kDedup).c_str());
  site.caller_hears(caller);
  print_runtime_input(site);
}

// Guards against a request that runs twice: its run ends directly after the gauges of the new link, and a
// start sent on receipt of these would run it again.
void break_before_run_end(const std::string& idempotency) {
  Site site("", "", routes(idempotency));
  site.comes_up();
  const int caller = start_then_break_link(site, idempotency);
  site.runtime_says_after_gauges(run_end_notice(1, kId1));
  site.runtime_comes_up("hot 900");
  site.caller_hears(caller);
  print_runtime_input(site);
  if (idempotency == kDedup) send_duplicate(site, caller);
  site.counters({"requests.read", "requests.succeeded", "runs.started", "runtime.links", "runtime.resent"});
}
void start_dedup() { break_before_run_end(kDedup); }
void start_fragile() { break_before_run_end(kFragile); }
void start_retryable() { break_before_run_end(kRetryable); }

// Guards against a lost start that is sent again, or that holds its memory for ever: its request must fail
// at its deadline, a duplicate with its key must start nothing, and a request that needs the memory must
// run after that.
void start_lost(const std::string& idempotency) {
  const bool is_keyed = idempotency == kDedup;
  Site site("", "", routes(idempotency));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", large_request(600, is_keyed ? "a" : "").c_str());
  site.runtime_hears(2);
  site.runtime_breaks();
  site.runtime_comes_up("hot 900");
  print_command_count(site, "start " + kId1);
  print_caller_failure(site, caller);
  print_command_count(site, "start " + kId1);
  if (is_keyed) {
    site.send_request(caller, 2, "push", large_request(600, "a").c_str());
    print_caller_failure(site, caller);
    print_command_count(site, "start");
  }
  site.pause(kReleaseSeconds);
  site.send_request(caller, 3, "push", large_request(3000, is_keyed ? "b" : "").c_str());
  print_command_count(site, "start " + kId3);
  site.runtime_says(run_end_notice(1, kId3));
  site.caller_hears(caller);
  site.counters({"requests.read", "requests.succeeded", "requests.failed", "requests.rejected"});
}
void lost_dedup() { start_lost(kDedup); }
void lost_fragile() { start_lost(kFragile); }

// Guards against the same fault where the run continues for a while on the new link.
void start_runs_on(const std::string& idempotency) {
  Site site("", "", routes(idempotency));
  site.comes_up();
  const int caller = start_then_break_link(site, idempotency);
  site.runtime_comes_up("hot 900");
  print_runtime_input(site);
  site.runtime_says(run_end_notice(1, kId1));
  site.caller_hears(caller);
  if (idempotency == kDedup) send_duplicate(site, caller);
  site.counters({"requests.read", "requests.succeeded", "runs.started", "runtime.resent"});
}
void runs_on_dedup() { start_runs_on(kDedup); }
void runs_on_fragile() { start_runs_on(kFragile); }
void runs_on_retryable() { start_runs_on(kRetryable); }

// Guards against a start that is taken for lost though it was never sent: it must be sent once, on the new
// link, and not again when that breaks too.
void start_waits_for_link(const std::string& idempotency) {
  Site site("", "", routes(idempotency));
  site.comes_up();
  site.runtime_breaks();
  std::printf("the program knows: %s\n", site.expect_log("link lost").empty() ? "no" : "yes");
  const int caller = site.connect();
  site.send_request(caller, 1, "push", with_limit(3000, idempotency).c_str());
  site.pause(kQuietSeconds);
  site.runtime_comes_up("hot 900");
  site.runtime_hears(2);
  site.runtime_breaks();
  site.runtime_says_after_gauges(run_end_notice(1, kId1));
  site.runtime_comes_up("hot 1900");
  site.caller_hears(caller);
  print_runtime_input(site);
  site.counters({"requests.read", "requests.succeeded", "runs.started"});
}
void waits_dedup() { start_waits_for_link(kDedup); }
void waits_fragile() { start_waits_for_link(kFragile); }

// Guards against a second run of a keyed request that is already answered and whose run was not stopped.
void overdue_dedup() {
  Site site("", "", routes(kDedup));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", with_limit(150, kDedup).c_str());
  site.runtime_hears(2);
  site.caller_hears(caller);
  site.runtime_breaks();
  site.runtime_says_after_gauges(run_end_notice(1, kId1));
  site.runtime_comes_up("hot 900");
  print_runtime_input(site);
  send_duplicate(site, caller);
  site.counters({"requests.read", "requests.succeeded", "requests.failed", "runs.started", "runs.stopped"});
}

// Guards against a second run where a missing notice makes the program reconnect directly after a start.
void gap_dedup() {
  Site site("", "", routes(kDedup));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", R"("ram":10,"limit":3000,"key":"a")");
  site.runtime_hears(2);
  site.send_request(caller, 2, "push", R"("ram":10,"limit":3000,"key":"b")");
  site.runtime_hears(2);
  site.runtime_says(run_end_notice(2, kId1));
  site.runtime_says_after_gauges(run_end_notice(3, kId2));
  site.runtime_comes_up("hot 900");
  site.runtime_says("info 1 was missing\r\n" + run_end_notice(2, kId1));
  site.caller_hears(caller);
  site.caller_hears(caller);
  print_runtime_input(site);
  site.counters({"requests.read", "requests.succeeded", "runs.started", "runtime.gaps", "runtime.resent"});
}

// Guards against memory that is held for ever where the missing notice is the end of a run that was started
// long before: no command is in doubt, and no other notice of that run follows. A request that needs all
// memory must start after it.
void gap_old_run(const std::string& idempotency, bool is_lost = true) {
  const bool keyed = idempotency == kDedup;
  Site site("", "", routes(idempotency));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", with_limit(1500, idempotency).c_str());
  site.send_request(caller, 2, "push",
                    keyed ? R"("ram":10,"limit":3000,"key":"b")" : R"("ram":10,"limit":3000)");
  site.runtime_hears(4);
  site.pause(kReleaseSeconds);
  site.runtime_says(run_end_notice(2, kId2));
  site.runtime_comes_up("hot 2000");
  if (!is_lost) site.runtime_says(run_end_notice(1, kId1));
  site.runtime_says(run_end_notice(2, kId2));
  site.caller_hears(caller);
  is_lost ? print_caller_failure(site, caller) : site.caller_hears(caller);
  site.pause(kReleaseSeconds);
  site.send_request(caller, 3, "push", large_request(3000, keyed ? "c" : "").c_str());
  print_command_count(site, "start " + kId3);
  site.counters(
      {"requests.read", "requests.succeeded", "requests.failed", "requests.rejected", "runtime.gaps"});
}
void gap_old_run_dedup() { gap_old_run(kDedup); }
void gap_old_run_fragile() { gap_old_run(kFragile); }
void gap_old_run_comes() { gap_old_run(kFragile, false); }

// Guards against a start that is sent again although a request for gauges that was sent after it was
// answered before the break.
void start_proven(double seconds_before_break) {
  Site site("", "", routes(kDedup));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", with_limit(3000, kDedup).c_str());
  site.runtime_hears(2);
  const int answered = site.answered_gauges;
  for (int i = 0; i < kMaxSteps && site.answered_gauges == answered; ++i) site.pause(kStepSeconds);
  std::printf("gauges answered since: %s\n", site.answered_gauges > answered ? "yes" : "no");
  site.answers_gauges = false;
  site.pause(seconds_before_break);
  site.runtime_breaks();
  site.answers_gauges = true;
  site.runtime_says_after_gauges(run_end_notice(1, kId1));
  site.runtime_comes_up("hot 900");
  site.caller_hears(caller);
  print_runtime_input(site);
  site.counters({"requests.read", "requests.succeeded", "runs.started", "runtime.resent"});
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
