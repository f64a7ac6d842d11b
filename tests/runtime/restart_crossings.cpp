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
  Site site("", "", routes(idempotency));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", with_limit(3000, idempotency).c_str());
  site.runtime_hears(2);
  site.reload();
  site.runtime_says_after_gauges_of_next_link(run_end_notice(1, kId1));
  site.runtime_comes_up("hot 900");
  site.caller_hears(caller);
  print_runtime_input(site);
  site.counters({"requests.read", "requests.succeeded", "runs.started", "runtime.links", "runtime.resent"});
}
void moved_dedup() { start_moved(kDedup); }
void moved_fragile() { start_moved(kFragile); }

// Guards against a reply that answers the next call, where the address changes directly after a `give`.
void reply_moved(const char* route) {
  Site site("", "", routes(kFragile));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, route);
  site.runtime_hears(2);
  site.runtime_says("wants 1 " + kId1 + " 5\r\nfirst");
  site.below_hears(2);
  site.below_says(kId1 + " ok 9\r\nreply one");
  site.runtime_hears(2);
  site.reload();
  site.runtime_says_after_gauges_of_next_link("wants 2 " + kId1 + " 6\r\nsecond");
  site.runtime_comes_up("hot 900");
  site.below_hears(2);
  site.below_says(kId1 + " ok 9\r\nreply two");
  print_runtime_input(site);
  site.runtime_says(run_end_notice(3, kId1));
  site.caller_hears(caller);
  site.counters({"requests.read", "requests.succeeded", "calls.made", "calls.ok"});
}
void reply_moved_skippable() { reply_moved("push"); }
void reply_moved_needed() { reply_moved("pull"); }

// Guards against a runtime that is restarted shortly after it was first connected and is taken for the
// first process. Runs of the first process must fail and not be started on the second one, and notices of
// the second one, which are numbered from 1, must be handled.
void runtime_restarts(const std::string& idempotency, double seconds_after_ready) {
  const bool is_keyed = idempotency == kDedup;
  Site site("", "", routes(idempotency));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", with_limit(3000, idempotency).c_str());
  site.runtime_hears(2);
  site.runtime_says(run_end_notice(1, kId1));
  site.caller_hears(caller);
  site.send_request(caller, 2, "push",
                    is_keyed ? R"("ram":10,"limit":800,"key":"b")" : R"("ram":10,"limit":800)");
  site.runtime_hears(2);
  site.pause(seconds_after_ready);
  site.runtime_breaks();
  site.runtime_comes_up("chilly 0");
  print_command_count(site, "start " + kId2);
  print_caller_failure(site, caller);
  site.send_request(caller, 3, "push",
                    is_keyed ? R"("ram":10,"limit":3000,"key":"c")" : R"("ram":10,"limit":3000)");
  print_command_count(site, "start " + kId3, kQuietSeconds / 2);
  site.runtime_says(run_end_notice(1, kId3));
  site.caller_hears(caller);
  site.counters({"requests.read", "requests.succeeded", "requests.failed", "runtime.restarts"});
}
void restart_100ms_dedup() { runtime_restarts(kDedup, 0.1); }
void restart_300ms_dedup() { runtime_restarts(kDedup, 0.3); }
void restart_100ms_fragile() { runtime_restarts(kFragile, 0.1); }
void restart_300ms_fragile() { runtime_restarts(kFragile, 0.3); }

// Guards against a runtime that is taken for another process because the program reads its `ready` late:
// the program is stopped while that arrives. The run continues and its request is answered.
void ready_read_late() {
  Site site("", "", routes(kFragile));
  site.comes_up();
  const auto ready_at = Clock::now();
  const int caller = site.connect();
  site.send_request(caller, 1);
  site.runtime_hears(2);
  site.pause(kQuietSeconds);
  site.runtime_breaks();
  site.runtime_hears();
  site.signal(SIGSTOP);
  const auto up = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - ready_at);
  site.runtime_is_ready("hot " + std::to_string(up.count()));
  site.pause(kStoppedSeconds);
  site.signal(SIGCONT);
  site.pause(kQuietSeconds);
  site.runtime_says(run_end_notice(1, kId1));
  site.caller_hears(caller);
  site.counters({"requests.read", "requests.succeeded", "requests.failed", "runtime.restarts"});
}

// Guards against a runtime that replaces another one at once, greets late and is taken for it: its notices,
// numbered from 1, were ignored.
void restart_greets_late() {
  Site site("", "", routes(kFragile));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", with_limit(3000, kFragile).c_str());
  site.runtime_hears(2);
  for (int i = 1; i < 4; ++i) site.runtime_says("info " + std::to_string(i) + " a remark");
  site.pause(kReleaseSeconds);
  site.runtime_breaks();
  site.runtime_hears();
  site.pause(kQuietSeconds);
  site.runtime_is_ready("hot 250");
  print_caller_failure(site, caller);
  site.send_request(caller, 2, "push", with_limit(1500, kFragile).c_str());
  print_command_count(site, "start " + kId2);
  site.runtime_says(run_end_notice(1, kId2));
  site.caller_hears(caller);
  site.counters({"requests.read", "requests.succeeded", "requests.failed", "runtime.restarts"});
}

// Waits for the answers to two requests, in either order.
void print_whether_both_answered(Site& site, int caller) {
  int answers = 0;
  for (int i = 0; i < 2; ++i) answers += site.heard(caller).find("\"id\":") != std::string::npos;
  std::printf("caller hears two answers: %s\n", answers == 2 ? "yes" : "no");
}

// Guards against a runtime that replaces another one and is taken for it because the program reads its
// greeting late: the program did not check for the greeting while it was stopped. The new process numbers
// its notices from 1.
void restart_read_late() {
  Site site("", "", routes(kFragile));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", with_limit(3000, kFragile).c_str());
  site.runtime_hears(2);
  for (int i = 1; i < 4; ++i) site.runtime_says("info " + std::to_string(i) + " a remark");
  site.pause(kQuietSeconds);
  site.runtime_breaks();
  site.runtime_hears();
  site.signal(SIGSTOP);
  site.pause(kStoppedSeconds);
  site.runtime_is_ready("hot 780");
  site.signal(SIGCONT);
  site.pause(kQuietSeconds);
  site.send_request(caller, 2, "push", with_limit(1500, kFragile).c_str());
  print_command_count(site, "start " + kId2);
  site.runtime_says(run_end_notice(1, kId2));
  print_whether_both_answered(site, caller);
  site.send_request(caller, 3, "push", with_limit(1500, kFragile).c_str());
  print_command_count(site, "start " + kId3);
  site.runtime_says(run_end_notice(2, kId3));
  site.caller_hears(caller);
  site.counters({"requests.read", "requests.failed", "runtime.restarts"});
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
