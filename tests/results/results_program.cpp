// Remembered results as observed by callers, runtime and operators: runs the program with scripted peers.
// CTest compares the output with tests/traces/results_NAME.txt. usage: results_program BINARY SCENARIO
#include <sqlite3.h>
#include <sys/stat.h>

#include "server_fixture.h"

using namespace damsonspoke::standins::scripted;

namespace {

const std::string kId1 = "0000000000000001", kId2 = "0000000000000002", kId3 = "0000000000000003";
constexpr const char* kKeyedRoutes =
    R"([{"name":"push","target":400,"give-up":3000,"semantics":"dedup","window":20000},)"
    R"({"name":"pull","target":400,"give-up":800}])";
constexpr const char* kInMemory = "results\n    enabled on\n";
constexpr const char* kStored = "results\n    enabled on\n    store STORE\n";
constexpr const char* kParamsWithKeyA = R"("ram":10,"limit":3000,"key":"a")";
constexpr const char* kOtherBody = "b3RoZXI=";

std::string last_printed_key;  // the last key in the output of the results command

ServerFixture::Configuration keyed(const char* operators) { return {kKeyedRoutes, operators}; }

// Waits until the store is open: before that, keyed requests do not run.
void wait_for_store(ServerFixture& fixture) {
  const std::string line = fixture.expect_log("store opened");
  std::printf("log: %s\n", line.empty() ? "(no store)" : "store opened");
}

// The caller's request 1 with key a runs, and its result is answered.
void complete_with_key_a(ServerFixture& fixture, int caller) {
  fixture.send_request(caller, 1, "push", kParamsWithKeyA);
  fixture.print_runtime_lines(2);
  fixture.send_from_runtime("end 1 " + kId1 + " complete 20 6\r\nresult");
  fixture.print_caller_message(caller);
}

// A duplicate while the original request runs, one after its end, one with another body, one without a key.
void duplicates() {
  ServerFixture fixture("", "", keyed(kInMemory));
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", kParamsWithKeyA);
  fixture.print_runtime_lines(2);
  fixture.send_request(caller, 2, "push", kParamsWithKeyA);
  fixture.send_request(caller, 3, "push", kParamsWithKeyA, kOtherBody);
  fixture.print_caller_message(caller);
  fixture.send_from_runtime("end 1 " + kId1 + " complete 20 6\r\nresult");
  fixture.print_caller_message(caller);
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 4, "push", kParamsWithKeyA);
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 5, "push");
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 6, "push", R"("ram":10,"limit":3000,"key":"")");
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 7, "push", R"("ram":10,"limit":3000,"key":7)");
  fixture.print_caller_message(caller);
  fixture.print_counters({"runs.started", "results.remembered", "results.coalesced", "results.from_memory",
                          "results.conflicts", "bad.params"});
}

// Guards against the rejection of a repeat whose key runs, because its connection has too many requests open.
void over_limit() {
  constexpr int kMaxOpenRequests = 32;
  ServerFixture fixture("", "", keyed(kInMemory));
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", kParamsWithKeyA);
  fixture.print_runtime_lines(2);
  for (int number = 2; number <= kMaxOpenRequests; ++number)
    fixture.send_request(caller, number, "push", kParamsWithKeyA);
  fixture.send_request(caller, kMaxOpenRequests + 1, "push", kParamsWithKeyA);
  fixture.print_caller_message(caller);
  fixture.send_request(caller, kMaxOpenRequests + 2, "push", R"("ram":10,"limit":3000,"key":"b")");
  fixture.print_caller_message(caller);
  fixture.send_from_runtime("end 1 " + kId1 + " complete 20 6\r\nresult");
  fixture.print_caller_message(caller);
  fixture.print_counters({"runs.started", "bad.too_many"});
}

// Each request fails at its own deadline: the original request fails, and its run continues for the
// duplicates.
void deadlines() {
  ServerFixture fixture("", "", keyed(kInMemory));
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", R"("ram":10,"limit":150,"key":"a")");
  fixture.print_runtime_lines(2);
  fixture.send_request(caller, 2, "push", R"("ram":10,"limit":300,"key":"a")");
  fixture.send_request(caller, 3, "push", kParamsWithKeyA);
  fixture.print_caller_message(caller);
  fixture.print_caller_message(caller);
  fixture.send_from_runtime("end 1 " + kId1 + " complete 400 6\r\nresult");
  fixture.print_caller_message(caller);
  fixture.print_counters(
      {"runs.started", "runs.stopped", "requests.failed", "requests.succeeded", "requests.overdue"});
}

// The caller of the original request disconnects: the run is not stopped, and the duplicate gets its result.
void original_disconnected() {
  ServerFixture fixture("", "", keyed(kInMemory));
  fixture.complete_startup();
  const int first = fixture.connect();
  const int second = fixture.connect();
  fixture.send_request(first, 1, "push", kParamsWithKeyA);
  fixture.print_runtime_lines(2);
  fixture.send_request(second, 2, "push", kParamsWithKeyA);
  fixture.pause(0.05);
  fixture.disconnect(first, true);
  fixture.pause(0.05);
  fixture.send_from_runtime("end 1 " + kId1 + " complete 20 6\r\nresult");
  fixture.print_caller_message(second);
  fixture.print_counters({"runs.started", "runs.stopped", "requests.caller_gone", "requests.succeeded"});
}

// A run that fails may have had its effect: duplicates fail with "outcome unknown" and do not run.
void failing() {
  ServerFixture fixture("", "", keyed(kStored));
  wait_for_store(fixture);
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", kParamsWithKeyA);
  fixture.print_runtime_lines(2);
  fixture.send_request(caller, 2, "push", kParamsWithKeyA);
  fixture.pause(0.05);
  fixture.send_from_runtime("end 1 " + kId1 + " error 20 0\r\n");
  fixture.print_caller_message(caller);
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 3, "push", kParamsWithKeyA);
  fixture.print_caller_message(caller);
  // A request that was never started is not remembered, so its duplicate may run.
  fixture.send_request(caller, 4, "push", R"("ram":10,"limit":3000,"key":"b")");
  fixture.print_runtime_lines(2);
  fixture.send_from_runtime("nack start 0000000000000004");
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 5, "push", R"("ram":10,"limit":3000,"key":"b")");
  fixture.print_runtime_lines(2);
  fixture.print_counters({"runs.started", "results.unknown"});
}

// Guards against a second run of a key. A start that is sent again after a lost link is answered with
// "unknown" or runs a second time, while the result of the first run is being written to the store. The first
// end counts.
void ended_twice() {
  ServerFixture fixture("", "", keyed(kStored));
  wait_for_store(fixture);
  fixture.complete_startup();
  const int caller = fixture.connect();
  const std::string first_end = "end 1 " + kId1 + " complete 20 6\r\nresult\r\n";
  fixture.send_request(caller, 1, "push", kParamsWithKeyA);
  fixture.print_runtime_lines(2);
  fixture.send_from_runtime(first_end + "end 2 " + kId1 + " unknown 0 0\r\n");
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 2, "push", kParamsWithKeyA);
  fixture.print_caller_message(caller);
  const char* other = R"("ram":10,"limit":3000,"key":"b")";
  fixture.send_request(caller, 3, "push", other);
  fixture.print_runtime_lines(2);
  fixture.send_from_runtime("end 3 " + kId3 + " complete 20 6\r\nresult\r\nwants 4 " + kId3 +
                            " 4\r\ncall\r\nend 5 " + kId3 + " complete 20 5\r\nagain");
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 4, "push", other);
  fixture.print_caller_message(caller);
  fixture.print_counters({"runs.started", "results.remembered", "calls.made"});
}

// A request that is given up before it has started is rejected, and so is the duplicate that waits for it.
void given_up() {
  ServerFixture fixture("", "", keyed(kInMemory));
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", kParamsWithKeyA);
  fixture.print_runtime_lines(2);
  fixture.pause(0.2);
  fixture.send_from_runtime("end 1 " + kId1 + " complete 200 6\r\nresult");
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 2, "push", R"("ram":10,"limit":3000,"key":"b")");
  fixture.print_runtime_lines(2);
  fixture.send_request(caller, 3, "push", R"("ram":10,"limit":3000,"key":"c")");
  fixture.print_runtime_lines(2);
  for (const int id : {4, 5}) fixture.send_request(caller, id, "push", R"("ram":10,"limit":3000,"key":"d")");
  fixture.pause(0.32);
  fixture.send_from_runtime("end 2 " + kId2 + " complete 320 6\r\nresult");
  for (int i = 0; i < 3; ++i) {
    const std::string answer = fixture.next_message(caller);
    std::printf("caller received: %s\n", answer.substr(0, answer.find(",\"data\"")).c_str());
  }
  fixture.print_counters({"runs.started", "requests.rejected", "results.entries"});
}

// Duplicates without an idempotency key are recognised by their body. Another body or another caller's number
// makes another request.
void without_key() {
  ServerFixture fixture("", "", keyed("results\n    enabled on\n    digest push\n"));
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1);
  fixture.print_runtime_lines(2);
  fixture.send_request(caller, 2);
  fixture.send_request(caller, 3, "push", R"("ram":10,"limit":3000,"lb":2)");
  fixture.print_runtime_lines(2);
  fixture.send_from_runtime("end 1 " + kId1 + " complete 20 3\r\none");
  fixture.print_caller_message(caller);
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 4, "push", kParamsWithKeyA, kOtherBody);
  fixture.print_runtime_lines(2);
  fixture.print_counters({"runs.started", "results.coalesced"});
}

constexpr double kPastWindowSeconds = 1.4;
constexpr const char* kShortWindowRoutes =
    R"([{"name":"push","target":400,"give-up":3000,"semantics":"dedup","window":1200}])";

// Guards against a second run of a key whose repeat arrives inside the window and is read after its end: it
// gets the result of the first run. One that arrives after the window runs.
void read_late() {
  ServerFixture fixture("", "", {kShortWindowRoutes, kInMemory});
  fixture.complete_startup();
  const int caller = fixture.connect();
  complete_with_key_a(fixture, caller);
  const std::string repeat = fixture.request_message(2, "push", kParamsWithKeyA);
  fixture.pause(kPastWindowSeconds);
  send_all(caller, repeat);
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 3, "push", kParamsWithKeyA);
  fixture.print_runtime_lines(2);
  fixture.print_counters({"runs.started", "results.from_memory"});
}

// Guards against the rejection of a repeat that arrives inside the window and is read after it: it waits for
// a new request with its key, which never runs.
void read_late_behind_new_request() {
  ServerFixture fixture("", "", {kShortWindowRoutes, kInMemory});
  fixture.complete_startup();
  const int caller = fixture.connect();
  complete_with_key_a(fixture, caller);
  const std::string repeat = fixture.request_message(2, "push", kParamsWithKeyA);
  fixture.pause(kPastWindowSeconds);
  fixture.send_request(caller, 3, "push", kParamsWithKeyA);
  fixture.print_runtime_lines(2);
  send_all(caller, repeat);
  fixture.pause(0.05);
  fixture.send_from_runtime("nack start " + kId3);
  fixture.print_caller_message(caller);
  fixture.print_caller_message(caller);
  fixture.print_counters({"runs.started"});
}

// Guards against a second run after a restart: the window of the stored result has ended when the repeat is
// read.
void read_late_after_restart() {
  ServerFixture fixture("", "", {kShortWindowRoutes, kStored});
  wait_for_store(fixture);
  fixture.complete_startup();
  fixture.send_request(fixture.connect(), 1, "push", kParamsWithKeyA);
  fixture.print_runtime_lines(2);
  const std::string repeat = fixture.request_message(2, "push", kParamsWithKeyA);
  fixture.send_from_runtime("end 1 " + kId1 + " complete 20 6\r\nresult");
  fixture.pause(kPastWindowSeconds);
  fixture.restart_and_print();
  wait_for_store(fixture);
  fixture.complete_startup();
  const int caller = fixture.connect();
  send_all(caller, repeat);
  fixture.print_caller_message(caller);
  fixture.print_counters({"runs.started", "results.from_store"});
}

// Guards against the rejection of a repeat that comes after a restart and before the runtime is ready. A key
// that the recovered store does not have is rejected.
void repeat_before_runtime() {
  ServerFixture fixture("", "", keyed(kStored));
  wait_for_store(fixture);
  fixture.complete_startup();
  complete_with_key_a(fixture, fixture.connect());
  fixture.restart_and_print();
  wait_for_store(fixture);
  const int caller = fixture.connect();
  fixture.send_request(caller, 2, "push", kParamsWithKeyA);
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 3, "push", R"("ram":10,"limit":3000,"key":"b")");
  fixture.print_caller_message(caller);
}

// Guards against the rejection of a repeat that cannot wait for the runtime, while its original waits and may
// run. A new key is rejected, and so is the original when it has waited for too long.
void repeat_of_waiting_request() {
  constexpr const char* too_short_to_wait = R"("ram":10,"limit":300,"key":"a")";
  ServerFixture fixture("", "", keyed(kInMemory));
  const int caller = fixture.connect();
  const std::string original = fixture.request_message(1, "push", kParamsWithKeyA);
  const std::string repeat = fixture.request_message(2, "push", too_short_to_wait);
  const std::string other = fixture.request_message(3, "push", R"("ram":10,"limit":300,"key":"b")");
  send_all(caller, original + repeat + other);
  for (int i = 0; i < 3; ++i) fixture.print_caller_message(caller);
}

// Reads of a subject share one run while it is in progress and for the duration `fresh` after its end.
void shared() {
  ServerFixture fixture(R"(,"fresh":300)", "", {"", kInMemory});
  fixture.complete_startup();
  const int caller = fixture.connect();
  constexpr const char* item = R"("ram":10,"limit":3000,"item":"00000000000000aa")";
  fixture.send_request(caller, 1, "push", item);
  fixture.print_runtime_lines(2);
  fixture.send_request(caller, 2, "push", item);
  fixture.pause(0.05);
  fixture.send_from_runtime("end 1 " + kId1 + " complete 20 3\r\none");
  fixture.print_caller_message(caller);
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 3, "push", item);
  fixture.print_caller_message(caller);
  fixture.pause(0.5);
  fixture.send_request(caller, 4, "push", item);
  fixture.print_runtime_lines(2);
  fixture.print_counters({"runs.started", "results.coalesced"});
}

// The program is killed after one run has ended and during another run. A duplicate of the first is answered
// from the store; a duplicate of the second is not run again.
void restart() {
  ServerFixture fixture("", "", keyed(kStored));
  wait_for_store(fixture);
  fixture.complete_startup();
  int caller = fixture.connect();
  complete_with_key_a(fixture, caller);
  fixture.send_request(caller, 2, "push", R"("ram":10,"limit":3000,"key":"b")");
  fixture.print_runtime_lines(2);
  fixture.restart_and_print();
  wait_for_store(fixture);
  fixture.complete_startup();
  caller = fixture.connect();
  fixture.send_request(caller, 3, "push", kParamsWithKeyA);
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 4, "push", kParamsWithKeyA, kOtherBody);
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 5, "push", R"("ram":10,"limit":3000,"key":"b")");
  fixture.print_caller_message(caller);
  fixture.print_counters({"runs.started", "results.recovered", "results.from_store", "results.unknown"});
}

// At the limit of entries, new requests are rejected with retry advice, duplicates are still answered, and
// capacity becomes available as windows end.
void full() {
  ServerFixture fixture("", "",
                        {R"([{"name":"push","target":400,"give-up":3000,"semantics":"dedup","window":1500}])",
                         "results\n    enabled on\n    entries 16\n"});
  fixture.complete_startup();
  const int caller = fixture.connect();
  for (int i = 1; i <= 17; ++i) {
    char more[64], id[17], number[24];
    std::snprintf(more, sizeof more, R"("ram":10,"limit":3000,"key":"k%d")", i);
    std::snprintf(id, sizeof id, "%016x", i);
    std::snprintf(number, sizeof number, "end %d ", i);
    fixture.send_request(caller, i, "push", more);
    if (i > 16) break;
    fixture.print_runtime_lines(2);
    fixture.send_from_runtime(number + std::string(id) + " complete 1 2\r\nok");
    fixture.print_caller_message(caller);
  }
  const std::string answer = fixture.next_message(caller);
  std::printf("caller received: %s\n", answer.substr(0, answer.find("\"later\":") + 8).c_str());
  fixture.send_request(caller, 18, "push", R"("ram":10,"limit":3000,"key":"k16")");
  fixture.print_caller_message(caller);
  fixture.pause(1.6);
  fixture.send_request(caller, 19, "push", R"("ram":10,"limit":3000,"key":"k17")");
  fixture.print_runtime_lines(2);
  fixture.print_counters({"results.no_capacity", "runs.started", "results.entries"});
}

// Lower limits on SIGHUP: entries that must be remembered remain until they expire. An invalid file changes
// nothing.
void shrink() {
  ServerFixture fixture(
      "", "",
      {R"([{"name":"push","target":400,"give-up":3000,"semantics":"dedup","window":900}])", kInMemory});
  fixture.complete_startup();
  const int caller = fixture.connect();
  complete_with_key_a(fixture, caller);
  fixture.write_operators("results\n    enabled on\n    entries 5\n    memry 1M\n");
  fixture.signal(SIGHUP);
  std::string line = fixture.expect_log("configuration rejected");
  std::printf("log: %s\n", line.substr(line.find("new conf"), 47).c_str());
  std::printf("log: both errors are reported: %s\n",
              line.find("'entries' expects") != std::string::npos && line.find("'memry'") != std::string::npos
                  ? "yes"
                  : "no");
  fixture.write_operators("results\n    enabled on\n    memory 64K\n    entries 16\n    store /nowhere\n");
  fixture.signal(SIGHUP);
  line = fixture.expect_log("only 'memory'");
  std::printf("log: %s\n", line.substr(line.find("only")).c_str());
  line = fixture.expect_log("changed cache limits");
  std::printf("log: %s\n", line.substr(line.find("changed cache limits"), 45).c_str());
  fixture.send_request(caller, 2, "push", kParamsWithKeyA);
  fixture.print_caller_message(caller);
  fixture.print_counters({"results.entries", "runs.started"});
}

// During graceful shutdown, a waiting duplicate is answered together with its original request, or fails
// before the process ends.
void drain() {
  ServerFixture fixture("", "", keyed(kStored));
  wait_for_store(fixture);
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", kParamsWithKeyA);
  fixture.print_runtime_lines(2);
  fixture.send_request(caller, 2, "push", kParamsWithKeyA);
  fixture.send_request(caller, 3, "push", R"("ram":10,"limit":3000,"key":"b")");
  fixture.print_runtime_lines(2);
  fixture.send_request(caller, 4, "push", R"("ram":10,"limit":3000,"key":"b")");
  fixture.pause(0.05);
  fixture.signal(SIGTERM);
  fixture.print_caller_message(caller);  // the drain announcement
  fixture.send_from_runtime("end 1 " + kId1 + " complete 20 6\r\nresult");
  fixture.print_caller_message(caller);
  fixture.print_caller_message(caller);
  fixture.print_caller_message(caller);
  fixture.print_caller_message(caller);
  fixture.disconnect(caller);
  fixture.print_exit_status();
}

struct stat status_of(const std::string& path) {
  struct stat status {};
  ::stat(path.c_str(), &status);
  return status;
}

// The store's file is corrupted between two incarnations of the program.
void damaged() {
  ServerFixture fixture("", "", keyed(kStored));
  wait_for_store(fixture);
  fixture.complete_startup();
  int caller = fixture.connect();
  complete_with_key_a(fixture, caller);
  for (const std::string& noise : {std::string(8192, 'x'), std::string("short")}) {
    std::remove((fixture.store_path() + "-wal").c_str());
    std::ofstream(fixture.store_path(), std::ios::binary) << noise;
    std::remove((fixture.store_path() + "-wal").c_str());
    fixture.restart_and_print();
    const std::string line = fixture.expect_log("rejected until");
    std::printf("log: %s\n", line.empty() ? "(nothing)" : line.substr(line.find("; ") + 2).c_str());
    fixture.complete_startup();
    caller = fixture.connect();
    fixture.send_request(caller, 2, "push", kParamsWithKeyA);
    const std::string answer = fixture.next_message(caller);
    std::printf("caller received: %s\n", answer.substr(0, answer.find(",\"data\"")).c_str());
    fixture.send_request(caller, 3, "pull", R"("ram":10,"limit":700)");
    fixture.print_runtime_lines(2);
    fixture.send_from_runtime("end 1 " + kId3 + " complete 20 5\r\nthree");
    fixture.print_caller_message(caller);
    std::printf("the file is unchanged: %s\n",
                status_of(fixture.store_path()).st_size == static_cast<off_t>(noise.size()) ? "yes" : "no");
  }
}

// Guards against the rejection of a key that an earlier process may have run, while the store cannot be
// opened. After the longest window keys are rejected.
void unavailable_past_window() {
  ServerFixture fixture("", "", {kShortWindowRoutes, "results\n    enabled on\n    store STORE.d/file\n"});
  const std::string line = fixture.expect_log("rejected until");
  std::printf("log: %s\n", line.empty() ? "(nothing)" : line.substr(line.find("; ") + 2).c_str());
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", kParamsWithKeyA);
  fixture.print_caller_message(caller);
  fixture.pause(kPastWindowSeconds);
  fixture.send_request(caller, 2, "push", kParamsWithKeyA);
  const std::string answer = fixture.next_message(caller);
  std::printf("caller received: %s\n", answer.substr(0, answer.find(",\"data\"")).c_str());
}

// The store's folder is created only after the program has started: the store is opened without a restart.
void store_folder_created() {
  ServerFixture fixture("", "", keyed("results\n    enabled on\n    store STORE.d/file\n"));
  const std::string folder = fixture.store_path() + ".d";
  const std::string line = fixture.expect_log("rejected until");
  std::printf("log: %s\n", line.empty() ? "(nothing)" : line.substr(line.find("; ") + 2).c_str());
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", kParamsWithKeyA);
  const std::string answer = fixture.next_message(caller);
  std::printf("caller received: %s\n", answer.substr(0, answer.find(",\"data\"")).c_str());
  ::mkdir(folder.c_str(), 0755);
  wait_for_store(fixture);
  fixture.send_request(caller, 2, "push", kParamsWithKeyA);
  fixture.print_runtime_lines(2);
  for (const char* name : {"/file", "/file-wal", "/file-shm", "/file.lock"})
    std::remove((folder + name).c_str());
  ::rmdir(folder.c_str());
}

// Prints the output of the results command, without the parts that differ between runs of the test.
void run_command(ServerFixture& fixture, const std::string& arguments) {
  std::printf("$ results %s\n", arguments.c_str());
  const std::string line =
      binary + " results " + arguments + " --operator " + fixture.operators_path() + " 2>&1";
  FILE* out = ::popen(line.c_str(), "r");
  char text[400];
  while (out != nullptr && std::fgets(text, sizeof text, out) != nullptr) {
    std::string shown = replaced(text, fixture.store_path(), "STORE");
    if (shown.rfind("bytes", 0) == 0 || shown.rfind("windows", 0) == 0) continue;
    if (shown.size() > 32 && shown.find_first_not_of("0123456789abcdef") == 32) {
      last_printed_key = shown.substr(0, 32);
      shown = "KEY" + shown.substr(32, shown.rfind("  ") - 32) + "\n";
    }
    std::printf("%s", shown.c_str());
  }
  if (out != nullptr) std::printf("exit %d\n", WEXITSTATUS(::pclose(out)));
  // The scripted runtime answers pending queries here: after a second without answers, its link is
  // reconnected.
  fixture.pause(0.05);
}

// The results command while the store is in use, and a key that an operator drops.
void operators() {
  ServerFixture fixture("", "", keyed(kStored));
  wait_for_store(fixture);
  fixture.complete_startup();
  const int caller = fixture.connect();
  complete_with_key_a(fixture, caller);
  run_command(fixture, "stat");
  run_command(fixture, "list");
  run_command(fixture, "verify");
  run_command(fixture, "drop");
  run_command(fixture, "drop --key 1234");
  const std::string key = last_printed_key;
  run_command(fixture, "drop --key " + std::string(32, '0'));
  std::printf("(the key from the list)\n");
  const std::string line =
      binary + " results drop --operator " + fixture.operators_path() + " --key " + key + " 2>&1";
  std::fflush(stdout);
  if (std::system(line.c_str()) != 0) std::printf("(failed)\n");
  const std::string log = fixture.expect_log("dropped keys");
  std::printf("log: %s\n", log.empty() ? "(nothing)" : log.substr(log.find("dropped keys")).c_str());
  fixture.send_request(caller, 2, "push", kParamsWithKeyA);
  fixture.print_runtime_lines(2);
  fixture.send_from_runtime("end 2 " + kId2 + " complete 20 6\r\nsecond");
  fixture.print_caller_message(caller);
  fixture.signal(SIGTERM);
  fixture.disconnect(caller);
  fixture.print_exit_status();
  run_command(fixture, "stat");
  run_command(fixture, "drop --all");
  run_command(fixture, "stat");
  std::ofstream(fixture.store_path()) << "not a database, although the path is that of the store";
  run_command(fixture, "verify");
}

// Another process locks the database: for less than the store's busy timeout, and for longer.
void store_locked() {
  ServerFixture fixture("", "", keyed(kStored));
  wait_for_store(fixture);
  fixture.complete_startup();
  const int caller = fixture.connect();
  sqlite3* db = nullptr;
  sqlite3_open(fixture.store_path().c_str(), &db);
  sqlite3_exec(db, "begin immediate", nullptr, nullptr, nullptr);
  fixture.send_request(caller, 1, "push", kParamsWithKeyA);
  fixture.pause(0.1);
  sqlite3_exec(db, "rollback", nullptr, nullptr, nullptr);
  fixture.print_runtime_lines(2);
  sqlite3_exec(db, "begin immediate", nullptr, nullptr, nullptr);
  // The result cannot be written, but is still sent to the caller.
  fixture.send_from_runtime("end 1 " + kId1 + " complete 20 6\r\nresult");
  fixture.print_caller_message(caller);
  const std::string line = fixture.expect_log("rejected until");
  std::printf("log: %s\n", line.empty() ? "(nothing)" : line.substr(line.find("; ") + 2).c_str());
  fixture.send_request(caller, 2, "push", R"("ram":10,"limit":3000,"key":"b")");
  const std::string answer = fixture.next_message(caller);
  std::printf("caller received: %s\n", answer.substr(0, answer.find(",\"data\"")).c_str());
  fixture.send_request(caller, 3, "push", kParamsWithKeyA);  // answered from memory
  fixture.print_caller_message(caller);
  sqlite3_exec(db, "rollback", nullptr, nullptr, nullptr);
  sqlite3_close(db);
  wait_for_store(fixture);
  fixture.send_request(caller, 4, "push", R"("ram":10,"limit":3000,"key":"b")");
  fixture.print_runtime_lines(2);
  fixture.print_counters({"results.not_durable", "runs.started"});
}

// Guards against a request that gets no answer when the process ends: its run ends shortly before the stop of
// the process, and its result cannot be written before that.
void store_locked_at_exit() {
  constexpr double kSecondsUntilRunEnds = 1.6;  // the process stops 2 s after the shutdown notice
  ServerFixture fixture("", "", keyed(kStored));
  wait_for_store(fixture);
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", kParamsWithKeyA);
  fixture.print_runtime_lines(2);
  fixture.signal(SIGTERM);
  fixture.print_caller_message(caller);  // the drain announcement
  fixture.pause(kSecondsUntilRunEnds);
  sqlite3* db = nullptr;
  sqlite3_open(fixture.store_path().c_str(), &db);
  sqlite3_exec(db, "begin immediate", nullptr, nullptr, nullptr);
  fixture.send_from_runtime("end 1 " + kId1 + " complete 20 6\r\nresult");
  fixture.print_caller_message(caller);
  sqlite3_exec(db, "rollback", nullptr, nullptr, nullptr);
  sqlite3_close(db);
  fixture.print_exit_status();
}

}  // namespace

int main(int argc, char** argv) {
  const std::pair<const char*, void (*)()> scenarios[] = {
      {"duplicates", duplicates},
      {"deadlines", deadlines},
      {"original_disconnected", original_disconnected},
      {"failing", failing},
      {"ended_twice", ended_twice},
      {"given_up", given_up},
      {"without_key", without_key},
      {"shared", shared},
      {"over_limit", over_limit},
      {"read_late", read_late},
      {"read_late_after_restart", read_late_after_restart},
      {"read_late_behind_new_request", read_late_behind_new_request},
      {"restart", restart},
      {"repeat_before_runtime", repeat_before_runtime},
      {"repeat_of_waiting_request", repeat_of_waiting_request},
      {"unavailable_past_window", unavailable_past_window},
      {"full", full},
      {"shrink", shrink},
      {"drain", drain},
      {"damaged", damaged},
      {"operators", operators},
      {"store_locked", store_locked},
      {"store_folder_created", store_folder_created},
      {"store_locked_at_exit", store_locked_at_exit}};
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::signal(SIGPIPE, SIG_IGN);
  if (argc == 3) binary = argv[1];
  for (const auto& [name, run] : scenarios) {
    if (argc == 3 && std::strcmp(argv[2], name) == 0) {
      run();
      return 0;
    }
  }
  std::fprintf(stderr, "usage: results_program BINARY SCENARIO\n");
  return 2;
}
