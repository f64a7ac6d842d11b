// A backend process whose routes and tenants change while it serves requests. CTest compares with
// tests/traces/catalog_program_NAME.txt. usage: catalog_program BINARY SCENARIO
#include "catalog/folder.h"
#include "catalog_fixtures.h"
#include "scenarios.h"
#include "server_fixture.h"

using namespace damsonspoke;
using namespace damsonspoke::catalog;
using namespace damsonspoke::catalog::testing;
using namespace damsonspoke::standins::scripted;

namespace {

constexpr CatalogLimits kLimits{1000, 10000, true};
const char* const kOperatorFile = "catalog\n    folder FOLDER\n";

std::string transaction_id(int id) {
  char text[20];
  std::snprintf(text, sizeof text, "%016x", id);
  return text;
}

// A fixture with a catalog folder that the test writes to.
struct CatalogFixture : ServerFixture {
  CatalogFixture() : ServerFixture("", "", {"", kOperatorFile}) {}

  void write(const std::string& lines) { append_changes(folder(), 1, lines, kLimits); }
  void reload() {
    signal(SIGHUP);
    const std::string line = expect_log("after the reload request");
    const std::size_t at = line.find("version");
    std::printf("log: %s\n", line.substr(at, line.find(" active") - at).c_str());
  }
  void change(std::initializer_list<Change> changes) {
    write(encode_changes(changes));
    reload();
  }
  // Prints the log lines of the given number of rejections, then waits until the files are read: an earlier
  // signal would cause another read, which would log the rejections again.
  void reload_with_rejections(int rejections) {
    signal(SIGHUP);
    for (int i = 0; i < rejections; ++i) {
      const std::string line = expect_log("catalog: ");
      std::printf("log: %s\n", line.substr(std::min(line.size(), line.find("catalog: "))).c_str());
    }
    const std::string line = expect_log("catalog: ");
    const bool is_read = line.find("after the reload request") != std::string::npos;
    if (!is_read) std::printf("NO: another message: %s\n", line.c_str());
  }
  void send_run_end(int id) {
    send_from_runtime("end " + std::to_string(++notices_) + " " + transaction_id(id) +
                      " complete 20 6\r\nresult");
  }
  void restart_process() {
    restart_and_print();
    notices_ = 0;
  }

 private:
  int notices_ = 0;
};

// A route and tenants that are added and removed while it serves.
void served() {
  CatalogFixture fixture;
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "extra");
  fixture.print_caller_message(caller);
  fixture.change({route("extra", 3), PutTenant{"acme", {7, 0}}});
  fixture.send_request(caller, 2, "extra", R"("ram":10,"limit":3000,"team":"acme")");
  fixture.print_runtime_lines(2);
  fixture.send_request(caller, 3, "extra");
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 4, "extra", R"("ram":10,"limit":3000,"team":"other")");
  fixture.print_caller_message(caller);
  fixture.change({RemoveTenant{"acme"}, PutTenant{"other", {1, 0}}});
  fixture.send_request(caller, 5, "extra", R"("ram":10,"limit":3000,"team":"acme")");
  fixture.print_caller_message(caller);
  fixture.send_run_end(2);  // its tenant was removed meanwhile
  fixture.print_caller_message(caller);
  fixture.change({PutTenant{"acme", {7, 0}}, RemoveRoute{"extra"}});
  fixture.send_request(caller, 6, "push", R"("ram":10,"limit":3000,"team":"acme")");
  fixture.print_runtime_lines();
  fixture.send_request(caller, 7, "extra", R"("ram":10,"limit":3000,"team":"acme")");
  fixture.print_caller_message(caller);
  fixture.print_counters({"requests.read", "requests.succeeded", "bad.routes", "bad.params",
                          "catalog.applied", "catalog.rejected"});
}

// Requests in flight keep the settings with which they started if a timeout is lowered, a route is removed,
// or its name is reused for another route.
void in_flight() {
  CatalogFixture fixture;
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.change({route("extra", 3)});
  for (int id = 1; id <= 3; ++id)
    fixture.send_request(caller, id, "extra", R"("ram":10)");  // two run, one is queued
  fixture.print_runtime_lines(3);
  fixture.change({route("extra", 0.3)});
  fixture.pause(0.6);
  fixture.send_run_end(1);
  fixture.print_caller_message(caller);
  fixture.print_runtime_lines();  // the queued one
  fixture.change({RemoveRoute{"extra"}, route("other", 0.2)});
  fixture.send_run_end(2);
  fixture.print_caller_message(caller);
  fixture.change({route("extra", 0.3)});
  fixture.send_request(caller, 4, "extra", R"("ram":10)");
  fixture.print_runtime_lines();
  const bool rejected = fixture.next_message(caller).find("-32001") != std::string::npos;
  std::printf("by the new timeout, before a request that started earlier: %s\n",
              rejected ? "rejected" : "NO");
  fixture.send_run_end(3);
  fixture.print_caller_message(caller);
  fixture.print_counters(
      {"requests.read", "requests.succeeded", "requests.rejected", "requests.failed", "requests.overdue"});
}

// Invalid changes among valid ones, a sequence gap and a torn file are logged in one line each; requests are
// served.
void rejected() {
  CatalogFixture fixture;
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.write(encode_changes({route("one", 3)}) + "{\"route\":\"two\",\"target\":1}\n" +
                encode_changes({route("three", 3), RemoveTenant{"nobody"}}));
  fixture.reload_with_rejections(2);
  fixture.send_request(caller, 1, "three");
  fixture.print_runtime_lines(2);
  PutRoute keyed = route("keyed", 3);
  keyed.settings.idempotency = Idempotency::kWithKey;
  fixture.write(encode_changes({keyed}));
  fixture.reload_with_rejections(1);
  HistoryDigest history = 1;
  std::ofstream(fixture.folder() + "/" + kChangesFile, std::ios::app)
      << encode_batch(1, 90, history, encode_changes({route("four", 3)}));
  fixture.reload_with_rejections(1);
  std::ofstream(fixture.folder() + "/" + kSnapshotFile) << "DSPKFILE and then nothing of use";
  fixture.reload_with_rejections(2);  // and the gap again
  fixture.send_run_end(1);
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 2, "four");
  fixture.print_caller_message(caller);
  fixture.restart_process();
  fixture.complete_startup();
  fixture.print_counters({"catalog.epoch", "catalog.sequence", "catalog.routes", "catalog.rejected"});
  const int again = fixture.connect();
  fixture.send_request(again, 3, "three");
  fixture.print_runtime_lines(2);
}

// Signals while it reads: everything that was written before the last signal becomes active.
void repeated_polls() {
  CatalogFixture fixture;
  fixture.complete_startup();
  std::string lines;
  for (int i = 0; i < 5000; ++i) lines += encode_change(PutTenant{"tenant-" + std::to_string(i), {1, 0}});
  fixture.write(lines);
  for (int round = 0; round < 20; ++round) {
    fixture.write(encode_changes({PutTenant{"late-" + std::to_string(round), {1, 0}}}));
    fixture.signal(SIGHUP);
    fixture.pause(0.005);
  }
  bool is_active = false;
  for (int i = 0; i < 50 && !is_active; ++i) is_active = !fixture.expect_log("1.5020 active").empty();
  std::printf("all changes active: %s\n", is_active ? "yes" : "NO");
  fixture.print_counters({"catalog.sequence", "catalog.tenants", "catalog.applied", "catalog.rejected"});
}

// Thousands of changes are read during a graceful shutdown: requests are answered, and the process ends in
// time.
void drained() {
  CatalogFixture fixture;
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push");
  fixture.print_runtime_lines(2);
  std::string lines;
  for (int i = 0; i < 9000; ++i) lines += encode_change(PutTenant{"tenant-" + std::to_string(i), {1, 0}});
  fixture.write(lines);
  fixture.signal(SIGHUP);
  fixture.signal(SIGTERM);
  fixture.print_caller_message(caller);  // the request to send no more
  fixture.signal(SIGHUP);
  fixture.send_run_end(1);
  fixture.print_caller_message(caller);
  fixture.disconnect(caller);
  fixture.print_exit_status();
}

// The process is killed at a different moment of each read; every second time the writer was also killed
// within its last batch. After each restart all complete batches are active, nothing is rejected, and
// requests are served.
void kills() {
  constexpr int kill_count = 16;
  constexpr int changes_per_batch = 200;
  constexpr double kill_delay_step = 0.0004;  // seconds by which each kill is later after its signal
  CatalogFixture fixture;
  fixture.complete_startup();
  const std::string file = fixture.folder() + "/" + kChangesFile;
  std::uint64_t complete_changes = 0;
  bool all_active = true;
  for (int kill = 0; kill < kill_count; ++kill) {
    std::string lines;
    for (int i = 0; i < changes_per_batch; ++i)
      lines += encode_change(PutTenant{"tenant-" + std::to_string(kill * changes_per_batch + i), {1, 0}});
    const std::uintmax_t before = kill == 0 ? 0 : std::filesystem::file_size(file);
    fixture.write(lines);
    const bool is_torn = kill % 2 == 1;
    if (is_torn)
      std::filesystem::resize_file(file,
                                   before + (std::filesystem::file_size(file) - before) * kill / kill_count);
    else
      complete_changes += changes_per_batch;
    fixture.signal(SIGHUP);
    fixture.pause(kill * kill_delay_step);
    fixture.restart();
    std::map<std::string, std::string> counters = fixture.counter_values();
    all_active = all_active && counters["catalog.sequence"] == std::to_string(complete_changes) &&
                 counters["catalog.rejected"] == "0" && counters["invariants.broken"] == "0";
    if (is_torn) std::filesystem::resize_file(file, before);  // like the next writer
  }
  say("all complete batches active after each of 16 kills, nothing rejected", all_active);
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", R"("ram":10,"limit":3000,"team":"tenant-2900")");
  fixture.print_runtime_lines(2);
  fixture.send_request(caller, 2, "push", R"("ram":10,"limit":3000,"team":"tenant-3100")");
  fixture.print_caller_message(caller);
}

// The log line of each answer names the catalog version that decided it.
void versions() {
  logs_at_debug_level = true;
  CatalogFixture fixture;
  fixture.complete_startup();
  const int caller = fixture.connect();
  const auto end_and_print = [&](int id) {
    fixture.send_run_end(id);
    fixture.print_caller_message(caller);
    const std::string line = fixture.expect_log("request: " + transaction_id(id));
    std::printf("log: %s\n", line.substr(std::min(line.size(), line.find("request: "))).c_str());
  };
  fixture.send_request(caller, 1, "push");
  fixture.print_runtime_lines(2);
  fixture.change({route("extra", 3)});
  fixture.send_request(caller, 2, "extra");
  fixture.print_runtime_lines();
  fixture.change({route("extra", 2)});
  end_and_print(1);
  end_and_print(2);
}

// A start with a torn snapshot loads the previous one; without that, the routes of the settings are served.
void startup() {
  CatalogFixture fixture;
  fixture.complete_startup();
  write_snapshot(fixture.folder(), {1, 7}, 3, encode_changes({route("push", 3), route("extra", 3)}));
  fixture.restart_process();
  fixture.complete_startup();
  fixture.print_counters({"catalog.epoch", "catalog.sequence", "catalog.routes", "catalog.rejected"});
  write_snapshot(fixture.folder(), {1, 9}, 4, encode_changes({route("push", 3), route("more", 3)}));
  const std::string file = fixture.folder() + "/" + kSnapshotFile;
  std::filesystem::resize_file(file, std::filesystem::file_size(file) - 1);
  fixture.restart_process();
  fixture.complete_startup();
  fixture.print_counters({"catalog.epoch", "catalog.sequence", "catalog.routes", "catalog.rejected"});
  std::filesystem::remove(file + ".1");
  fixture.restart_process();
  fixture.complete_startup();
  fixture.print_counters({"catalog.epoch", "catalog.sequence", "catalog.routes", "catalog.rejected"});
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "extra");
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 2, "pull");
  fixture.print_runtime_lines(2);
}

}  // namespace

int main(int argc, char** argv) {
  return run_scenario(argc, argv, damsonspoke::standins::scripted::binary,
                      {{"served", served},
                       {"in_flight", in_flight},
                       {"rejected", rejected},
                       {"repeated_polls", repeated_polls},
                       {"drained", drained},
                       {"versions", versions},
                       {"startup", startup},
                       {"kills", kills}});
}
