// The runtime's link is lost while something that was sent on it takes effect: each scenario forces the order
// of events in which sending it again would be wrong. The program between scripted peers; the runtime ends a
// run, or asks for its next call, right behind the gauges whose answer lets the program send again. CTest
// compares with tests/traces/link_crossings_NAME.txt. usage: link_crossings BINARY SCENARIO
#include "scripted_site.h"

using namespace damsonspoke::standins::scripted;

namespace {

const std::string kId1 = "0000000000000001", kId2 = "0000000000000002", kId3 = "0000000000000003";
constexpr double kQuietSeconds = 0.3;  // in which a second command would come
constexpr double kReleaseSeconds = 1;  // after a request is due, until nothing of it is left
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

}  // namespace

int main(int argc, char** argv) {
  const std::pair<const char*, void (*)()> kScenarios[] = {
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
      {"reply_lost_needed", reply_lost_needed}};
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::signal(SIGPIPE, SIG_IGN);
  if (argc == 3) binary = argv[1];
  for (const auto& [name, play] : kScenarios) {
    if (argc == 3 && std::strcmp(argv[2], name) == 0) return play(), 0;
  }
  std::fprintf(stderr, "usage: link_crossings BINARY SCENARIO\n");
  return 2;
}
