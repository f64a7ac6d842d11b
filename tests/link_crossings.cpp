// The runtime's link is lost while something that was sent on it takes effect: each scenario forces the order
// of events in which sending it again would be wrong. The program between scripted peers; the runtime ends a
// run, or asks for its next call, right behind the gauges whose answer lets the program send again. CTest
// compares with tests/traces/link_crossings_NAME.txt. usage: link_crossings BINARY SCENARIO
#include "scenarios.h"
#include "scripted_site.h"

using namespace damsonspoke::standins::scripted;

namespace {

const std::string kId1 = "0000000000000001", kId2 = "0000000000000002", kId3 = "0000000000000003";
constexpr double kQuietSeconds = 0.3;    // in which a second command would come
constexpr double kReleaseSeconds = 1;    // after a request is due, until nothing of it is left
constexpr double kStepSeconds = 0.01;    // between two looks at what has come
constexpr double kStoppedSeconds = 0.8;  // that the program stands still
constexpr int kMostSteps = 200;
constexpr const char* kKeepResults = "results\n    enabled on\n";
constexpr const char* kRetryable = "retryable";
constexpr const char* kDedup = "dedup";
constexpr const char* kFragile = "fragile";

// "push" may go on without its call, "pull" may not.
Site::Remembering routes(const std::string& semantics) {
  const std::string more =
      R"(","target":400,"give-up":3000,"semantics":")" + semantics + R"(","window":20000})";
  return {R"([{"name":"push)" + more + R"(,{"name":"pull)" + more + "]",
          semantics == kDedup ? kKeepResults : ""};
}

// What goes with a request; every first try of a dedup route has the key "a".
std::string with_limit(int ms, const std::string& semantics) {
  const std::string more = R"("ram":10,"limit":)" + std::to_string(ms);
  return semantics == kDedup ? more + R"(,"key":"a")" : more;
}

void all_the_runtime_hears(Site& site, double seconds = kQuietSeconds) {
  const std::vector<std::string> lines = site.runtime_lines_within(seconds);
  for (const std::string& line : lines) std::printf("runtime hears: %s\n", line.c_str());
  if (lines.empty()) std::printf("runtime hears: (nothing)\n");
}

std::string ended(int notice, const std::string& id, const std::string& result = "result") {
  return "end " + std::to_string(notice) + " " + id + " complete 20 " + std::to_string(result.size()) +
         "\r\n" + result;
}

// A request whose start the runtime has read, on a link that breaks then.
int started_then_cut(Site& site, const std::string& semantics, int limit_ms = 3000) {
  const int caller = site.connect();
  site.send_request(caller, 1, "push", with_limit(limit_ms, semantics).c_str());
  site.runtime_hears(2);
  site.runtime_breaks();
  return caller;
}

void asks_again(Site& site, int caller) {
  site.send_request(caller, 2, "push", with_limit(3000, kDedup).c_str());
  site.caller_hears(caller);
  all_the_runtime_hears(site);
}

// Guards against a request that runs twice: its run ends right behind the gauges of the new link, and a start
// sent on reading these would begin it anew.
void start_crosses_end(const std::string& semantics) {
  Site site("", "", routes(semantics));
  site.comes_up();
  const int caller = started_then_cut(site, semantics);
  site.runtime_says_after_gauges(ended(1, kId1));
  site.runtime_comes_up("hot 900");
  site.caller_hears(caller);
  all_the_runtime_hears(site);
  if (semantics == kDedup) asks_again(site, caller);
  site.counters({"requests.read", "requests.succeeded", "runs.started", "runtime.links", "runtime.resent"});
}
void start_dedup() { start_crosses_end(kDedup); }
void start_fragile() { start_crosses_end(kFragile); }
void start_retryable() { start_crosses_end(kRetryable); }

// What goes with a request of 900 KB, of which the site's memory holds one at a time while it runs.
std::string large(int ms, const std::string& key) {
  const std::string more = R"("ram":900,"limit":)" + std::to_string(ms);
  return key.empty() ? more : more + R"(,"key":")" + key + "\"";
}

// How often this command comes in that time; others don't matter.
void how_often(Site& site, const std::string& command, double seconds = kQuietSeconds) {
  int count = 0;
  for (const std::string& line : site.runtime_lines_within(seconds)) count += line.rfind(command, 0) == 0;
  std::printf("runtime hears '%s': %d times\n", command.c_str(), count);
}

// Whatever the failure: a rejection would say that nothing ran.
void caller_fails(Site& site, int caller) {
  const std::string answer = site.heard(caller);
  const bool is_failure = answer.find("\"error\"") != std::string::npos;
  const bool is_rejection = answer.find("-32001") != std::string::npos;
  std::printf("caller hears: %s\n", is_rejection ? "rejected" : is_failure ? "failed" : answer.c_str());
}

// The answers to two requests, in either order.
void caller_hears_of_both(Site& site, int caller) {
  int answers = 0;
  for (int i = 0; i < 2; ++i) answers += site.heard(caller).find("\"id\":") != std::string::npos;
  std::printf("caller hears two answers: %s\n", answers == 2 ? "yes" : "no");
}

// Guards against a start that really was lost and is sent again, or holds its memory for ever: its request
// fails when it is due, a repeat of its key starts nothing, and what needs the memory runs after that.
void start_lost(const std::string& semantics) {
  const bool keyed = semantics == kDedup;
  Site site("", "", routes(semantics));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", large(600, keyed ? "a" : "").c_str());
  site.runtime_hears(2);
  site.runtime_breaks();
  site.runtime_comes_up("hot 900");
  how_often(site, "start " + kId1);
  caller_fails(site, caller);
  how_often(site, "start " + kId1);
  if (keyed) {
    site.send_request(caller, 2, "push", large(600, "a").c_str());
    caller_fails(site, caller);
    how_often(site, "start");
  }
  site.pause(kReleaseSeconds);
  site.send_request(caller, 3, "push", large(3000, keyed ? "b" : "").c_str());
  how_often(site, "start " + kId3);
  site.runtime_says(ended(1, kId3));
  site.caller_hears(caller);
  site.counters({"requests.read", "requests.succeeded", "requests.failed", "requests.rejected"});
}
void lost_dedup() { start_lost(kDedup); }
void lost_fragile() { start_lost(kFragile); }

// Guards against the reply to a run's first call that is taken for the reply to its second: the run went on
// with the first reply, and asks for its second call right behind the gauges of the new link. `omit` names
// its call and does no harm; it goes where the route may do without a call.
void reply_crosses_call(const std::string& semantics, const char* route) {
  Site site("", "", routes(semantics));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, route);
  site.runtime_hears(2);
  site.runtime_says("wants 1 " + kId1 + " 5\r\nfirst");
  site.below_hears(2);
  site.below_says(kId1 + " ok 9\r\nreply one");
  site.runtime_hears(2);
  site.runtime_breaks();
  site.runtime_says_after_gauges("wants 2 " + kId1 + " 6\r\nsecond");
  site.runtime_comes_up("hot 900");
  site.below_hears(2);
  site.below_says(kId1 + " ok 9\r\nreply two");
  all_the_runtime_hears(site);
  site.runtime_says(ended(3, kId1));
  site.caller_hears(caller);
  site.counters({"requests.read", "requests.succeeded", "calls.made", "calls.ok"});
}
void reply_retryable_skippable() { reply_crosses_call(kRetryable, "push"); }
void reply_retryable() { reply_crosses_call(kRetryable, "pull"); }
void reply_fragile_skippable() { reply_crosses_call(kFragile, "push"); }
void reply_fragile() { reply_crosses_call(kFragile, "pull"); }

// Guards against a run that waits for ever, as the reply to its call really was lost: it goes on without the
// call where its route may, else its request fails when it is due.
void reply_lost(const char* route) {
  Site site("", "", routes(kRetryable));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, route, with_limit(700, kRetryable).c_str());
  site.runtime_hears(2);
  site.runtime_says("wants 1 " + kId1 + " 5\r\nfirst");
  site.below_hears(2);
  site.below_says(kId1 + " ok 9\r\nreply one");
  site.runtime_hears(2);
  site.runtime_breaks();
  site.runtime_comes_up("hot 900");
  const bool skippable = std::strcmp(route, "push") == 0;
  all_the_runtime_hears(site);
  if (skippable) site.runtime_says(ended(2, kId1));
  site.caller_hears(caller);
  how_often(site, "give");
  site.counters({"requests.read", "requests.succeeded", "requests.failed", "calls.made"});
}
void reply_lost_skippable() { reply_lost("push"); }
void reply_lost_needed() { reply_lost("pull"); }

// Guards against the same where the run goes on for a while on the new link.
void start_runs_on(const std::string& semantics) {
  Site site("", "", routes(semantics));
  site.comes_up();
  const int caller = started_then_cut(site, semantics);
  site.runtime_comes_up("hot 900");
  all_the_runtime_hears(site);
  site.runtime_says(ended(1, kId1));
  site.caller_hears(caller);
  if (semantics == kDedup) asks_again(site, caller);
  site.counters({"requests.read", "requests.succeeded", "runs.started", "runtime.resent"});
}
void runs_on_dedup() { start_runs_on(kDedup); }
void runs_on_fragile() { start_runs_on(kFragile); }
void runs_on_retryable() { start_runs_on(kRetryable); }

// Guards against a start that is taken for lost though it never was sent: it goes out once, on the new link,
// and not again when that breaks too.
void start_waits_for_link(const std::string& semantics) {
  Site site("", "", routes(semantics));
  site.comes_up();
  site.runtime_breaks();
  std::printf("the program knows: %s\n", site.expect_log("link lost").empty() ? "no" : "yes");
  const int caller = site.connect();
  site.send_request(caller, 1, "push", with_limit(3000, semantics).c_str());
  site.pause(kQuietSeconds);
  site.runtime_comes_up("hot 900");
  site.runtime_hears(2);
  site.runtime_breaks();
  site.runtime_says_after_gauges(ended(1, kId1));
  site.runtime_comes_up("hot 1900");
  site.caller_hears(caller);
  all_the_runtime_hears(site);
  site.counters({"requests.read", "requests.succeeded", "runs.started"});
}
void waits_dedup() { start_waits_for_link(kDedup); }
void waits_fragile() { start_waits_for_link(kFragile); }

// A paused run that is told to go on, as the link breaks.
int resumed_then_cut(Site& site) {
  const int caller = site.connect();
  site.send_request(caller, 1);
  site.runtime_hears(2);
  site.runtime_says("end 1 " + kId1 + " cancelled 20 0\r\n");
  site.runtime_hears();
  site.runtime_breaks();
  return caller;
}

// Guards against a second answer, or a failure, by a `cont` that comes a second time after the run's end.
void resumption_crosses_end() {
  Site site("", "", routes(kFragile));
  site.comes_up();
  const int caller = resumed_then_cut(site);
  site.runtime_says_after_gauges(ended(2, kId1));
  site.runtime_comes_up("hot 900");
  site.caller_hears(caller);
  all_the_runtime_hears(site);
  site.runtime_says("nack cont " + kId1);
  site.counters({"requests.read", "requests.succeeded", "requests.failed", "runs.started", "runs.resumed"});
}

// Guards against a request that is answered twice, or never, where its run was paused again: the `cont` that
// is sent a second time resumes it as well as the new one.
void resumption_crosses_pause() {
  Site site("", "", routes(kFragile));
  site.comes_up();
  const int caller = resumed_then_cut(site);
  site.runtime_says_after_gauges("end 2 " + kId1 + " cancelled 20 0\r\n");
  site.runtime_comes_up("hot 900");
  all_the_runtime_hears(site);
  site.runtime_says(ended(3, kId1));
  site.caller_hears(caller);
  site.counters({"requests.read", "requests.succeeded", "requests.failed", "runs.started", "runs.resumed"});
}

// Guards against a paused run that nobody resumes, as its `cont` was lost.
void resumption_lost() {
  Site site("", "", routes(kFragile));
  site.comes_up();
  const int caller = resumed_then_cut(site);
  site.runtime_comes_up("hot 900");
  all_the_runtime_hears(site);
  site.runtime_says(ended(2, kId1));
  site.caller_hears(caller);
  site.counters({"requests.read", "requests.succeeded", "requests.failed", "runs.started", "runs.resumed"});
}

// Guards against a run that begins anew as it has just been stopped: start and stop are both unproven.
void stop_crosses_end(const std::string& semantics, const std::string& halt) {
  Site site(R"(,"halt":")" + halt + "\"", "", routes(semantics));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", with_limit(150, semantics).c_str());
  site.runtime_hears(2);
  site.caller_hears(caller);
  site.runtime_hears();
  site.runtime_breaks();
  site.runtime_says_after_gauges("end 1 " + kId1 + " cancelled 20 0\r\n");
  site.runtime_comes_up("hot 900");
  all_the_runtime_hears(site);
  site.send_request(caller, 2, "pull");
  site.runtime_hears(2);
  site.runtime_says(ended(2, kId2));
  site.caller_hears(caller);
  site.counters({"requests.read", "requests.succeeded", "requests.failed", "runs.started", "runs.stopped"});
}
void stop_paused_fragile() { stop_crosses_end(kFragile, "pause"); }
void stop_dropped_fragile() { stop_crosses_end(kFragile, "drop"); }
void stop_dropped_retryable() { stop_crosses_end(kRetryable, "drop"); }

// Guards against a second run of a keyed request that is already answered; its run is not stopped then.
void overdue_dedup() {
  Site site("", "", routes(kDedup));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", with_limit(150, kDedup).c_str());
  site.runtime_hears(2);
  site.caller_hears(caller);
  site.runtime_breaks();
  site.runtime_says_after_gauges(ended(1, kId1));
  site.runtime_comes_up("hot 900");
  all_the_runtime_hears(site);
  asks_again(site, caller);
  site.counters({"requests.read", "requests.succeeded", "requests.failed", "runs.started", "runs.stopped"});
}

// Guards against a run that nobody stops, as its `stop` was lost.
void stop_lost() {
  Site site("", "", routes(kFragile));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", with_limit(600, kFragile).c_str());
  site.runtime_hears(2);
  site.caller_hears(caller);
  site.runtime_hears();
  site.runtime_breaks();
  site.runtime_comes_up("hot 900");
  all_the_runtime_hears(site);
  site.runtime_says("end 1 " + kId1 + " cancelled 20 0\r\n");
  site.counters({"requests.read", "requests.failed", "runs.started", "runs.stopped", "runs.cancelled"});
}

// Guards against a second run where the runtime's address changes right after a start, with the old link
// alive.
void start_moved(const std::string& semantics) {
  Site site("", "", routes(semantics));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", with_limit(3000, semantics).c_str());
  site.runtime_hears(2);
  site.reload();
  site.runtime_says_after_gauges_of_next_link(ended(1, kId1));
  site.runtime_comes_up("hot 900");
  site.caller_hears(caller);
  all_the_runtime_hears(site);
  site.counters({"requests.read", "requests.succeeded", "runs.started", "runtime.links", "runtime.resent"});
}
void moved_dedup() { start_moved(kDedup); }
void moved_fragile() { start_moved(kFragile); }

// Guards against a reply that goes to the next call, where the address changes right after a `give`.
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
  all_the_runtime_hears(site);
  site.runtime_says(ended(3, kId1));
  site.caller_hears(caller);
  site.counters({"requests.read", "requests.succeeded", "calls.made", "calls.ok"});
}
void reply_moved_skippable() { reply_moved("push"); }
void reply_moved_needed() { reply_moved("pull"); }

// Guards against a second run where a missing notice makes the program open the link anew right after a
// start.
void gap_dedup() {
  Site site("", "", routes(kDedup));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", R"("ram":10,"limit":3000,"key":"a")");
  site.runtime_hears(2);
  site.send_request(caller, 2, "push", R"("ram":10,"limit":3000,"key":"b")");
  site.runtime_hears(2);
  site.runtime_says(ended(2, kId1));
  site.runtime_says_after_gauges(ended(3, kId2));
  site.runtime_comes_up("hot 900");
  site.runtime_says("info 1 was missing\r\n" + ended(2, kId1));
  site.caller_hears(caller);
  site.caller_hears(caller);
  all_the_runtime_hears(site);
  site.counters({"requests.read", "requests.succeeded", "runs.started", "runtime.gaps", "runtime.resent"});
}

// Guards against a runtime that begins anew shortly after it was first heard of and passes for the first:
// what that ran is not started on the second and fails, and the second's notices, which count from 1, are
// heard.
void runtime_begins_anew(const std::string& semantics, double seconds_after_ready) {
  const bool keyed = semantics == kDedup;
  Site site("", "", routes(semantics));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", with_limit(3000, semantics).c_str());
  site.runtime_hears(2);
  site.runtime_says(ended(1, kId1));
  site.caller_hears(caller);
  site.send_request(caller, 2, "push",
                    keyed ? R"("ram":10,"limit":800,"key":"b")" : R"("ram":10,"limit":800)");
  site.runtime_hears(2);
  site.pause(seconds_after_ready);
  site.runtime_breaks();
  site.runtime_comes_up("chilly 0");
  how_often(site, "start " + kId2);
  caller_fails(site, caller);
  site.send_request(caller, 3, "push",
                    keyed ? R"("ram":10,"limit":3000,"key":"c")" : R"("ram":10,"limit":3000)");
  how_often(site, "start " + kId3, kQuietSeconds / 2);
  site.runtime_says(ended(1, kId3));
  site.caller_hears(caller);
  site.counters({"requests.read", "requests.succeeded", "requests.failed", "runtime.restarts"});
}
void anew_100ms_dedup() { runtime_begins_anew(kDedup, 0.1); }
void anew_300ms_dedup() { runtime_begins_anew(kDedup, 0.3); }
void anew_100ms_fragile() { runtime_begins_anew(kFragile, 0.1); }
void anew_300ms_fragile() { runtime_begins_anew(kFragile, 0.3); }

// Guards against the same runtime that is taken for another, as the program reads its `ready` late: it stands
// still while that comes. The run goes on and answers its request.
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
  site.runtime_says(ended(1, kId1));
  site.caller_hears(caller);
  site.counters({"requests.read", "requests.succeeded", "requests.failed", "runtime.restarts"});
}

// Guards against a start that is sent again though gauges, asked for after it, were answered before the
// break.
void start_proven(double seconds_before_break) {
  Site site("", "", routes(kDedup));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", with_limit(3000, kDedup).c_str());
  site.runtime_hears(2);
  const int answered = site.answered_gauges;
  for (int i = 0; i < kMostSteps && site.answered_gauges == answered; ++i) site.pause(kStepSeconds);
  std::printf("gauges answered since: %s\n", site.answered_gauges > answered ? "yes" : "no");
  site.answers_gauges = false;
  site.pause(seconds_before_break);
  site.runtime_breaks();
  site.answers_gauges = true;
  site.runtime_says_after_gauges(ended(1, kId1));
  site.runtime_comes_up("hot 900");
  site.caller_hears(caller);
  all_the_runtime_hears(site);
  site.counters({"requests.read", "requests.succeeded", "runs.started", "runtime.resent"});
}
void proven_50ms() { start_proven(0.05); }
void proven_100ms() { start_proven(0.1); }
void proven_200ms() { start_proven(0.2); }

// Guards against memory that is held for ever, where the reply to a call that a run needs was lost.
void reply_lost_frees_memory() {
  Site site("", "", routes(kDedup));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "pull", large(900, "a").c_str());
  site.runtime_hears(2);
  site.runtime_says("wants 1 " + kId1 + " 5\r\nfirst");
  site.below_hears(2);
  site.below_says(kId1 + " ok 9\r\nreply one");
  site.runtime_hears(2);
  site.runtime_breaks();
  site.runtime_comes_up("hot 900");
  how_often(site, "give");
  caller_fails(site, caller);
  site.pause(kReleaseSeconds);
  site.send_request(caller, 3, "push", large(1500, "b").c_str());
  how_often(site, "start " + kId3);
  site.counters({"requests.read", "requests.failed", "requests.rejected", "runs.given_up"});
}

// Guards against a key that starts anew, where its run was paused and could not be resumed: a part of it ran.
void resumption_refused(const std::string& answer) {
  Site site("", "", routes(kDedup));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", with_limit(3000, kDedup).c_str());
  site.runtime_hears(2);
  site.runtime_says("end 1 " + kId1 + " cancelled 20 0\r\n");
  site.runtime_hears();
  site.runtime_says(answer);
  caller_fails(site, caller);
  site.send_request(caller, 2, "push", with_limit(1500, kDedup).c_str());
  all_the_runtime_hears(site);
  site.counters({"requests.read", "requests.failed", "runs.started"});
}
void resumption_refused_nack() { resumption_refused("nack cont " + kId1); }
void resumption_refused_unknown() { resumption_refused("end 2 " + kId1 + " unknown 0 0\r\n"); }

// Guards against a runtime that takes the place of another at once, greets late, and passes for it: its
// notices, numbered from 1, were not heard.
void anew_greets_late() {
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
  caller_fails(site, caller);
  site.send_request(caller, 2, "push", with_limit(1500, kFragile).c_str());
  how_often(site, "start " + kId2);
  site.runtime_says(ended(1, kId2));
  site.caller_hears(caller);
  site.counters({"requests.read", "requests.succeeded", "requests.failed", "runtime.restarts"});
}

// Guards against memory that is held for ever, where the notice that is missing is the end of a run which
// started long before: nothing is in doubt, and no other notice of that run comes. What runs only
// beside nothing else starts after it.
void gap_old_run(const std::string& semantics, bool is_lost = true) {
  const bool keyed = semantics == kDedup;
  Site site("", "", routes(semantics));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", with_limit(1500, semantics).c_str());
  site.send_request(caller, 2, "push",
                    keyed ? R"("ram":10,"limit":3000,"key":"b")" : R"("ram":10,"limit":3000)");
  site.runtime_hears(4);
  site.pause(kReleaseSeconds);
  site.runtime_says(ended(2, kId2));
  site.runtime_comes_up("hot 2000");
  if (!is_lost) site.runtime_says(ended(1, kId1));
  site.runtime_says(ended(2, kId2));
  site.caller_hears(caller);
  is_lost ? caller_fails(site, caller) : site.caller_hears(caller);
  site.pause(kReleaseSeconds);
  site.send_request(caller, 3, "push", large(3000, keyed ? "c" : "").c_str());
  how_often(site, "start " + kId3);
  site.counters(
      {"requests.read", "requests.succeeded", "requests.failed", "requests.rejected", "runtime.gaps"});
}
void gap_old_run_dedup() { gap_old_run(kDedup); }
void gap_old_run_fragile() { gap_old_run(kFragile); }
void gap_old_run_comes() { gap_old_run(kFragile, false); }

// Guards against a runtime that takes the place of another and passes for it where the program reads its
// greeting late: the greeting was not looked for while the program stood still. The new process counts its
// notices from 1.
void anew_read_late() {
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
  how_often(site, "start " + kId2);
  site.runtime_says(ended(1, kId2));
  caller_hears_of_both(site, caller);
  site.send_request(caller, 3, "push", with_limit(1500, kFragile).c_str());
  how_often(site, "start " + kId3);
  site.runtime_says(ended(2, kId3));
  site.caller_hears(caller);
  site.counters({"requests.read", "requests.failed", "runtime.restarts"});
}

}  // namespace

int main(int argc, char** argv) {
  return run_scenario(argc, argv, binary,
                      {{"reply_lost_frees_memory", reply_lost_frees_memory},
                       {"resumption_refused_nack", resumption_refused_nack},
                       {"resumption_refused_unknown", resumption_refused_unknown},
                       {"anew_greets_late", anew_greets_late},
                       {"anew_read_late", anew_read_late},
                       {"gap_old_run_dedup", gap_old_run_dedup},
                       {"gap_old_run_fragile", gap_old_run_fragile},
                       {"gap_old_run_comes", gap_old_run_comes},
                       {"start_dedup", start_dedup},
                       {"start_fragile", start_fragile},
                       {"start_retryable", start_retryable},
                       {"lost_dedup", lost_dedup},
                       {"lost_fragile", lost_fragile},
                       {"reply_retryable_skippable", reply_retryable_skippable},
                       {"reply_retryable", reply_retryable},
                       {"reply_fragile_skippable", reply_fragile_skippable},
                       {"reply_fragile", reply_fragile},
                       {"reply_lost_skippable", reply_lost_skippable},
                       {"reply_lost_needed", reply_lost_needed},
                       {"runs_on_dedup", runs_on_dedup},
                       {"runs_on_fragile", runs_on_fragile},
                       {"runs_on_retryable", runs_on_retryable},
                       {"waits_dedup", waits_dedup},
                       {"waits_fragile", waits_fragile},
                       {"resumption_crosses_end", resumption_crosses_end},
                       {"resumption_crosses_pause", resumption_crosses_pause},
                       {"resumption_lost", resumption_lost},
                       {"stop_paused_fragile", stop_paused_fragile},
                       {"stop_dropped_fragile", stop_dropped_fragile},
                       {"stop_dropped_retryable", stop_dropped_retryable},
                       {"overdue_dedup", overdue_dedup},
                       {"stop_lost", stop_lost},
                       {"moved_dedup", moved_dedup},
                       {"moved_fragile", moved_fragile},
                       {"reply_moved_skippable", reply_moved_skippable},
                       {"reply_moved_needed", reply_moved_needed},
                       {"gap_dedup", gap_dedup},
                       {"anew_100ms_dedup", anew_100ms_dedup},
                       {"anew_300ms_dedup", anew_300ms_dedup},
                       {"anew_100ms_fragile", anew_100ms_fragile},
                       {"anew_300ms_fragile", anew_300ms_fragile},
                       {"ready_read_late", ready_read_late},
                       {"proven_50ms", proven_50ms},
                       {"proven_100ms", proven_100ms},
                       {"proven_200ms", proven_200ms}});
}
