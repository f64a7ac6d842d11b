// Remembered results as callers, runtime and operators see them: the program between scripted peers. CTest
// compares with tests/traces/results_NAME.txt. usage: results_program BINARY SCENARIO
#include <sqlite3.h>
#include <sys/stat.h>

#include "scripted_site.h"

using namespace damsonspoke::standins::scripted;

namespace {

const std::string kId1 = "0000000000000001", kId2 = "0000000000000002", kId3 = "0000000000000003";
constexpr const char* kKeyedTypes =
    R"([{"name":"push","target":400,"give-up":3000,"semantics":"dedup","window":20000},)"
    R"({"name":"pull","target":400,"give-up":800}])";
constexpr const char* kInMemory = "results\n    enabled on\n";
constexpr const char* kStored = "results\n    enabled on\n    store STORE\n";
constexpr const char* kA = R"("ram":10,"limit":3000,"key":"a")";
constexpr const char* kOtherBody = "b3RoZXI=";

std::string key_seen;  // in what the command printed last

Site::Remembering keyed(const char* operators) { return {kKeyedTypes, operators}; }

// Nothing new is answered before the store is open.
void opened(Site& site) {
  const std::string line = site.expect_log("store open");
  std::printf("log: %s\n", line.empty() ? "(no store)" : "store open");
}

// A repeat while the first try runs, one after its end, one with another body, one without a key.
void repeats() {
  Site site("", "", keyed(kInMemory));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", kA);
  site.runtime_hears(2);
  site.send_request(caller, 2, "push", kA);
  site.send_request(caller, 3, "push", kA, kOtherBody);
  site.caller_hears(caller);
  site.runtime_says("end 1 " + kId1 + " complete 20 6\r\nresult");
  site.caller_hears(caller);
  site.caller_hears(caller);
  site.send_request(caller, 4, "push", kA);
  site.caller_hears(caller);
  site.send_request(caller, 5, "push");
  site.caller_hears(caller);
  site.send_request(caller, 6, "push", R"("ram":10,"limit":3000,"key":"")");
  site.caller_hears(caller);
  site.send_request(caller, 7, "push", R"("ram":10,"limit":3000,"key":7)");
  site.caller_hears(caller);
  site.counters({"runs.started", "results.remembered", "results.coalesced", "results.from_memory",
                 "results.conflicts", "bad.params"});
}

// Each at its own due time: the first gives up and its run goes on for the second.
void due_times() {
  Site site("", "", keyed(kInMemory));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", R"("ram":10,"limit":150,"key":"a")");
  site.runtime_hears(2);
  site.send_request(caller, 2, "push", R"("ram":10,"limit":300,"key":"a")");
  site.send_request(caller, 3, "push", kA);
  site.caller_hears(caller);
  site.caller_hears(caller);
  site.runtime_says("end 1 " + kId1 + " complete 400 6\r\nresult");
  site.caller_hears(caller);
  site.counters(
      {"runs.started", "runs.stopped", "requests.failed", "requests.succeeded", "requests.overdue"});
}

// The first's caller goes; its run is not stopped, and the repeat gets what it came to.
void first_gone() {
  Site site("", "", keyed(kInMemory));
  site.comes_up();
  const int first = site.connect();
  const int second = site.connect();
  site.send_request(first, 1, "push", kA);
  site.runtime_hears(2);
  site.send_request(second, 2, "push", kA);
  site.pause(0.05);
  site.hang_up(first, true);
  site.pause(0.05);
  site.runtime_says("end 1 " + kId1 + " complete 20 6\r\nresult");
  site.caller_hears(second);
  site.counters({"runs.started", "runs.stopped", "requests.caller_gone", "requests.succeeded"});
}

// A run that fails has had its effect, or not: nobody knows, and nobody runs it again.
void failing() {
  Site site("", "", keyed(kStored));
  opened(site);
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", kA);
  site.runtime_hears(2);
  site.send_request(caller, 2, "push", kA);
  site.pause(0.05);
  site.runtime_says("end 1 " + kId1 + " error 20 0\r\n");
  site.caller_hears(caller);
  site.caller_hears(caller);
  site.send_request(caller, 3, "push", kA);
  site.caller_hears(caller);
  // What was never started is not remembered: it may run.
  site.send_request(caller, 4, "push", R"("ram":10,"limit":3000,"key":"b")");
  site.runtime_hears(2);
  site.runtime_says("nack start 0000000000000004");
  site.caller_hears(caller);
  site.send_request(caller, 5, "push", R"("ram":10,"limit":3000,"key":"b")");
  site.runtime_hears(2);
  site.counters({"runs.started", "results.unknown"});
}

// Guards against a second run of a key: a start that was sent again after a lost link is answered "unknown",
// or runs anew, as the first run's result is on its way to the store. The first end counts.
void ended_twice() {
  Site site("", "", keyed(kStored));
  opened(site);
  site.comes_up();
  const int caller = site.connect();
  const std::string first_end = "end 1 " + kId1 + " complete 20 6\r\nresult\r\n";
  site.send_request(caller, 1, "push", kA);
  site.runtime_hears(2);
  site.runtime_says(first_end + "end 2 " + kId1 + " unknown 0 0\r\n");
  site.caller_hears(caller);
  site.send_request(caller, 2, "push", kA);
  site.caller_hears(caller);
  const char* other = R"("ram":10,"limit":3000,"key":"b")";
  site.send_request(caller, 3, "push", other);
  site.runtime_hears(2);
  site.runtime_says("end 3 " + kId3 + " complete 20 6\r\nresult\r\nwants 4 " + kId3 + " 4\r\ncall\r\nend 5 " +
                    kId3 + " complete 20 5\r\nagain");
  site.caller_hears(caller);
  site.send_request(caller, 4, "push", other);
  site.caller_hears(caller);
  site.counters({"runs.started", "results.remembered", "calls.made"});
}

// A request that is given up before it started never ran: neither did the repeat that waits for it.
void given_up() {
  Site site("", "", keyed(kInMemory));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", kA);
  site.runtime_hears(2);
  site.pause(0.2);
  site.runtime_says("end 1 " + kId1 + " complete 200 6\r\nresult");
  site.caller_hears(caller);
  site.send_request(caller, 2, "push", R"("ram":10,"limit":3000,"key":"b")");
  site.runtime_hears(2);
  site.send_request(caller, 3, "push", R"("ram":10,"limit":3000,"key":"c")");
  site.runtime_hears(2);
  for (const int id : {4, 5}) site.send_request(caller, id, "push", R"("ram":10,"limit":3000,"key":"d")");
  site.pause(0.32);
  site.runtime_says("end 2 " + kId2 + " complete 320 6\r\nresult");
  for (int i = 0; i < 3; ++i) {
    const std::string answer = site.heard(caller);
    std::printf("caller hears: %s\n", answer.substr(0, answer.find(",\"data\"")).c_str());
  }
  site.counters({"runs.started", "requests.rejected", "results.entries"});
}

// Without a key, known by what is said; another caller's number or body is another request.
void unmarked() {
  Site site("", "", keyed("results\n    enabled on\n    digest push\n"));
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1);
  site.runtime_hears(2);
  site.send_request(caller, 2);
  site.send_request(caller, 3, "push", R"("ram":10,"limit":3000,"lb":2)");
  site.runtime_hears(2);
  site.runtime_says("end 1 " + kId1 + " complete 20 3\r\none");
  site.caller_hears(caller);
  site.caller_hears(caller);
  site.send_request(caller, 4, "push", kA, kOtherBody);
  site.runtime_hears(2);
  site.counters({"runs.started", "results.coalesced"});
}

// Reads of one subject share one run while it goes on and for `fresh` after it.
void shared() {
  Site site(R"(,"fresh":300)", "", {"", kInMemory});
  site.comes_up();
  const int caller = site.connect();
  constexpr const char* item = R"("ram":10,"limit":3000,"item":"00000000000000aa")";
  site.send_request(caller, 1, "push", item);
  site.runtime_hears(2);
  site.send_request(caller, 2, "push", item);
  site.pause(0.05);
  site.runtime_says("end 1 " + kId1 + " complete 20 3\r\none");
  site.caller_hears(caller);
  site.caller_hears(caller);
  site.send_request(caller, 3, "push", item);
  site.caller_hears(caller);
  site.pause(0.5);
  site.send_request(caller, 4, "push", item);
  site.runtime_hears(2);
  site.counters({"runs.started", "results.coalesced"});
}

// Killed after the run's end, and in the middle of a run: the first is answered from the store, the second is
// never run again.
void restart() {
  Site site("", "", keyed(kStored));
  opened(site);
  site.comes_up();
  int caller = site.connect();
  site.send_request(caller, 1, "push", kA);
  site.runtime_hears(2);
  site.runtime_says("end 1 " + kId1 + " complete 20 6\r\nresult");
  site.caller_hears(caller);
  site.send_request(caller, 2, "push", R"("ram":10,"limit":3000,"key":"b")");
  site.runtime_hears(2);
  site.kill_and_start();
  opened(site);
  site.comes_up();
  caller = site.connect();
  site.send_request(caller, 3, "push", kA);
  site.caller_hears(caller);
  site.send_request(caller, 4, "push", kA, kOtherBody);
  site.caller_hears(caller);
  site.send_request(caller, 5, "push", R"("ram":10,"limit":3000,"key":"b")");
  site.caller_hears(caller);
  site.counters({"runs.started", "results.recovered", "results.from_store", "results.unknown"});
}

// A store that holds as much as it may: newcomers are rejected with a time to come back, what is remembered
// is still answered, and room comes back as windows end.
void full() {
  Site site("", "",
            {R"([{"name":"push","target":400,"give-up":3000,"semantics":"dedup","window":1500}])",
             "results\n    enabled on\n    entries 16\n"});
  site.comes_up();
  const int caller = site.connect();
  for (int i = 1; i <= 17; ++i) {
    char more[64], id[17], number[24];
    std::snprintf(more, sizeof more, R"("ram":10,"limit":3000,"key":"k%d")", i);
    std::snprintf(id, sizeof id, "%016x", i);
    std::snprintf(number, sizeof number, "end %d ", i);
    site.send_request(caller, i, "push", more);
    if (i > 16) break;
    site.runtime_hears(2);
    site.runtime_says(number + std::string(id) + " complete 1 2\r\nok");
    site.caller_hears(caller);
  }
  const std::string answer = site.heard(caller);
  std::printf("caller hears: %s\n", answer.substr(0, answer.find("\"later\":") + 8).c_str());
  site.send_request(caller, 18, "push", R"("ram":10,"limit":3000,"key":"k16")");
  site.caller_hears(caller);
  site.pause(1.6);
  site.send_request(caller, 19, "push", R"("ram":10,"limit":3000,"key":"k17")");
  site.runtime_hears(2);
  site.counters({"results.no_capacity", "runs.started", "results.entries"});
}

// Smaller bounds on SIGHUP: what must be remembered stays, newcomers wait until it has aged; a bad file
// changes nothing.
void shrink() {
  Site site("", "",
            {R"([{"name":"push","target":400,"give-up":3000,"semantics":"dedup","window":900}])", kInMemory});
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", kA);
  site.runtime_hears(2);
  site.runtime_says("end 1 " + kId1 + " complete 20 6\r\nresult");
  site.caller_hears(caller);
  site.write_operators("results\n    enabled on\n    entries 5\n    memry 1M\n");
  site.signal(SIGHUP);
  std::string line = site.expect_log("configuration rejected");
  std::printf("log: %s\n", line.substr(line.find("new conf"), 47).c_str());
  std::printf("log: both errors are told: %s\n",
              line.find("'entries' expects") != std::string::npos && line.find("'memry'") != std::string::npos
                  ? "yes"
                  : "no");
  site.write_operators("results\n    enabled on\n    memory 64K\n    entries 16\n    store /nowhere\n");
  site.signal(SIGHUP);
  line = site.expect_log("only memory");
  std::printf("log: %s\n", line.substr(line.find("only")).c_str());
  line = site.expect_log("new limits");
  std::printf("log: %s\n", line.substr(line.find("new limits"), 35).c_str());
  site.send_request(caller, 2, "push", kA);
  site.caller_hears(caller);
  site.counters({"results.entries", "runs.started"});
}

// At the notice to leave a repeat that waits is answered with its original, or fails before the stop.
void drain() {
  Site site("", "", keyed(kStored));
  opened(site);
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", kA);
  site.runtime_hears(2);
  site.send_request(caller, 2, "push", kA);
  site.send_request(caller, 3, "push", R"("ram":10,"limit":3000,"key":"b")");
  site.runtime_hears(2);
  site.send_request(caller, 4, "push", R"("ram":10,"limit":3000,"key":"b")");
  site.pause(0.05);
  site.signal(SIGTERM);
  site.caller_hears(caller);  // no more
  site.runtime_says("end 1 " + kId1 + " complete 20 6\r\nresult");
  site.caller_hears(caller);
  site.caller_hears(caller);
  site.caller_hears(caller);
  site.caller_hears(caller);
  site.hang_up(caller);
  site.ends();
}

struct stat status_of(const std::string& path) {
  struct stat status {};
  ::stat(path.c_str(), &status);
  return status;
}

// The file is spoilt between two lives.
void damaged() {
  Site site("", "", keyed(kStored));
  opened(site);
  site.comes_up();
  int caller = site.connect();
  site.send_request(caller, 1, "push", kA);
  site.runtime_hears(2);
  site.runtime_says("end 1 " + kId1 + " complete 20 6\r\nresult");
  site.caller_hears(caller);
  for (const std::string& noise : {std::string(8192, 'x'), std::string("short")}) {
    std::remove((site.store_path() + "-wal").c_str());
    std::ofstream(site.store_path(), std::ios::binary) << noise;
    std::remove((site.store_path() + "-wal").c_str());
    site.kill_and_start();
    const std::string line = site.expect_log("rejected until");
    std::printf("log: %s\n", line.empty() ? "(nothing)" : line.substr(line.find("; ") + 2).c_str());
    site.comes_up();
    caller = site.connect();
    site.send_request(caller, 2, "push", kA);
    const std::string answer = site.heard(caller);
    std::printf("caller hears: %s\n", answer.substr(0, answer.find(",\"data\"")).c_str());
    site.send_request(caller, 3, "pull", R"("ram":10,"limit":700)");
    site.runtime_hears(2);
    site.runtime_says("end 1 " + kId3 + " complete 20 5\r\nthree");
    site.caller_hears(caller);
    std::printf("the file is as it was: %s\n",
                status_of(site.store_path()).st_size == static_cast<off_t>(noise.size()) ? "yes" : "no");
  }
}

// No folder for the store, and then there is one: served again without a restart.
void mended() {
  Site site("", "", keyed("results\n    enabled on\n    store STORE.d/file\n"));
  const std::string folder = site.store_path() + ".d";
  const std::string line = site.expect_log("rejected until");
  std::printf("log: %s\n", line.empty() ? "(nothing)" : line.substr(line.find("; ") + 2).c_str());
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", kA);
  const std::string answer = site.heard(caller);
  std::printf("caller hears: %s\n", answer.substr(0, answer.find(",\"data\"")).c_str());
  ::mkdir(folder.c_str(), 0755);
  opened(site);
  site.send_request(caller, 2, "push", kA);
  site.runtime_hears(2);
  for (const char* name : {"/file", "/file-wal", "/file-shm", "/file.lock"})
    std::remove((folder + name).c_str());
  ::rmdir(folder.c_str());
}

// What the command prints about the store, without what differs from play to play.
void command(Site& site, const std::string& words) {
  std::printf("$ results %s\n", words.c_str());
  const std::string line = binary + " results " + words + " --operator " + site.operators_path() + " 2>&1";
  FILE* out = ::popen(line.c_str(), "r");
  char text[400];
  while (out != nullptr && std::fgets(text, sizeof text, out) != nullptr) {
    std::string shown = replaced(text, site.store_path(), "STORE");
    if (shown.rfind("bytes", 0) == 0 || shown.rfind("windows", 0) == 0) continue;
    if (shown.size() > 32 && shown.find_first_not_of("0123456789abcdef") == 32) {
      key_seen = shown.substr(0, 32);
      shown = "KEY" + shown.substr(32, shown.rfind("  ") - 32) + "\n";
    }
    std::printf("%s", shown.c_str());
  }
  if (out != nullptr) std::printf("exit %d\n", WEXITSTATUS(::pclose(out)));
  site.pause(
      0.05);  // the runtime answers what was asked meanwhile: silent for a second, its link is made anew
}

// The store looked at while it is in use, and a key that an operator drops.
void operators() {
  Site site("", "", keyed(kStored));
  opened(site);
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", kA);
  site.runtime_hears(2);
  site.runtime_says("end 1 " + kId1 + " complete 20 6\r\nresult");
  site.caller_hears(caller);
  command(site, "stat");
  command(site, "list");
  command(site, "verify");
  command(site, "drop");
  command(site, "drop --key 1234");
  const std::string key = key_seen;
  command(site, "drop --key " + std::string(32, '0'));
  std::printf("(and now the key of the list)\n");
  const std::string line =
      binary + " results drop --operator " + site.operators_path() + " --key " + key + " 2>&1";
  std::fflush(stdout);
  if (std::system(line.c_str()) != 0) std::printf("(failed)\n");
  const std::string log = site.expect_log("dropped keys");
  std::printf("log: %s\n", log.empty() ? "(nothing)" : log.substr(log.find("dropped keys")).c_str());
  site.send_request(caller, 2, "push", kA);
  site.runtime_hears(2);
  site.runtime_says("end 2 " + kId2 + " complete 20 6\r\nsecond");
  site.caller_hears(caller);
  site.signal(SIGTERM);
  site.hang_up(caller);
  site.ends();
  command(site, "stat");
  command(site, "drop --all");
  command(site, "stat");
  std::ofstream(site.store_path()) << "no database at all, whatever it says it is";
  command(site, "verify");
}

// Somebody else holds the file: shorter than the store waits, and longer.
void held() {
  Site site("", "", keyed(kStored));
  opened(site);
  site.comes_up();
  const int caller = site.connect();
  sqlite3* db = nullptr;
  sqlite3_open(site.store_path().c_str(), &db);
  sqlite3_exec(db, "begin immediate", nullptr, nullptr, nullptr);
  site.send_request(caller, 1, "push", kA);
  site.pause(0.1);
  sqlite3_exec(db, "rollback", nullptr, nullptr, nullptr);
  site.runtime_hears(2);
  sqlite3_exec(db, "begin immediate", nullptr, nullptr, nullptr);
  site.runtime_says("end 1 " + kId1 + " complete 20 6\r\nresult");  // can't be written: answered all the same
  site.caller_hears(caller);
  const std::string line = site.expect_log("rejected until");
  std::printf("log: %s\n", line.empty() ? "(nothing)" : line.substr(line.find("; ") + 2).c_str());
  site.send_request(caller, 2, "push", R"("ram":10,"limit":3000,"key":"b")");
  const std::string answer = site.heard(caller);
  std::printf("caller hears: %s\n", answer.substr(0, answer.find(",\"data\"")).c_str());
  site.send_request(caller, 3, "push", kA);  // from memory
  site.caller_hears(caller);
  sqlite3_exec(db, "rollback", nullptr, nullptr, nullptr);
  sqlite3_close(db);
  opened(site);
  site.send_request(caller, 4, "push", R"("ram":10,"limit":3000,"key":"b")");
  site.runtime_hears(2);
  site.counters({"results.not_durable", "runs.started"});
}

// Guards against a request that was read and gets no answer as the process ends: its run ends shortly before
// the stop, and its result can't be written until after it.
void held_at_exit() {
  constexpr double kUntilEndOfRun = 1.6;  // s, of the two until the stop
  Site site("", "", keyed(kStored));
  opened(site);
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", kA);
  site.runtime_hears(2);
  site.signal(SIGTERM);
  site.caller_hears(caller);  // no more
  site.pause(kUntilEndOfRun);
  sqlite3* db = nullptr;
  sqlite3_open(site.store_path().c_str(), &db);
  sqlite3_exec(db, "begin immediate", nullptr, nullptr, nullptr);
  site.runtime_says("end 1 " + kId1 + " complete 20 6\r\nresult");
  site.caller_hears(caller);
  sqlite3_exec(db, "rollback", nullptr, nullptr, nullptr);
  sqlite3_close(db);
  site.ends();
}

}  // namespace

int main(int argc, char** argv) {
  const std::pair<const char*, void (*)()> scenarios[] = {{"repeats", repeats},
                                                          {"due_times", due_times},
                                                          {"first_gone", first_gone},
                                                          {"failing", failing},
                                                          {"ended_twice", ended_twice},
                                                          {"given_up", given_up},
                                                          {"unmarked", unmarked},
                                                          {"shared", shared},
                                                          {"restart", restart},
                                                          {"full", full},
                                                          {"shrink", shrink},
                                                          {"drain", drain},
                                                          {"damaged", damaged},
                                                          {"operators", operators},
                                                          {"held", held},
                                                          {"mended", mended},
                                                          {"held_at_exit", held_at_exit}};
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::signal(SIGPIPE, SIG_IGN);
  if (argc == 3) binary = argv[1];
  for (const auto& [name, play] : scenarios) {
    if (argc == 3 && std::strcmp(argv[2], name) == 0) {
      play();
      return 0;
    }
  }
  std::fprintf(stderr, "usage: results_program BINARY SCENARIO\n");
  return 2;
}
