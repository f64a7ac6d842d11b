// Remembered results under load: runs a server with a simulated runtime and simulated callers that retry, and
// checks the four service rules over the recorded events. CTest compares the output with
// tests/traces/results_fleet_NAME.txt. usage: results_fleet BINARY SCENARIO
#include <csignal>
#include <cstdio>
#include <cstring>
#include <set>

#include "fleet.h"

using namespace damsonspoke::standins;

namespace {

const char* binary = "";

SiteSpec site_of(const std::string& operators, double window = 60) {
  SiteSpec site;
  site.types = {{"push", "dedup", 1, 2, window, 1}, {"pull", "dedup", 1, 2, window, 1}};
  site.cores = 4;
  site.operators = "results\n    enabled on\n    digest pull\n" + operators;
  return site;
}

// Requests on "push" have a key, requests on "pull" are recognised by their body. `copies` attempts are made
// at each request, whatever their outcome.
Callers::Options load_of(double per_s, int copies) {
  Flow push{"push", per_s, 1.5};
  push.has_key = true;
  push.copies = copies;
  push.spread = 0.1;
  push.retries = 2;
  Flow pull = push;
  pull.type = "pull";
  pull.has_key = false;
  return {{push, pull}, 8, 3};
}

Runtime::Options work_of(double work, std::size_t result_bytes = 64) {
  Runtime::Options options;
  options.cores = 4;
  options.work = work;
  options.result_bytes = result_bytes;
  return options;
}

int count_answers(const Journal& journal, AnswerKind kind) {
  int count = 0;
  for (const auto& [request, attempt] : journal.attempts) {
    for (const Answer& answer : attempt.answers) count += answer.kind == kind;
  }
  return count;
}

void print_verdict(Fleet& fleet) {
  const Verdict verdict = check_rules(fleet.journal, fleet.limits());
  for (const std::string& line : verdict.broken) std::printf("%s\n", line.c_str());
  std::printf("the four rules: %s\n", verdict.kept() ? "kept" : "broken");
}

const char* yes_or_no(bool value) { return value ? "yes" : "no"; }

// Waits for all attempts to end, then shuts the server down gracefully.
void end(Fleet& fleet, double timeout_seconds) {
  std::printf("settles: %s\n", yes_or_no(fleet.settle(timeout_seconds)));
  std::printf("shuts down: %s\n", yes_or_no(fleet.shut_down()));
}

// Three attempts at each request: each request runs once, and all its attempts are answered.
void surge() {
  Fleet fleet(binary, site_of("    store STORE\n"), work_of(0.005), load_of(60, 3));
  std::printf("starts: %s\n", yes_or_no(fleet.start()));
  fleet.loop.run_for(2);
  end(fleet, 5);
  std::set<std::string> unique;
  for (const RecordedRun& run : fleet.journal.runs) unique.insert(run.key);
  const auto attempts = static_cast<int>(fleet.journal.attempts.size());
  std::printf("runs per request: %.2f; nearly all attempts succeeded: %s; enough attempts: %s\n",
              static_cast<double>(fleet.journal.runs.size()) / static_cast<double>(unique.size()),
              yes_or_no(count_answers(fleet.journal, AnswerKind::kSucceeded) > attempts * 9 / 10),
              yes_or_no(attempts > 300));
  print_verdict(fleet);
}

// Offers twice the load that the cores can process, with three attempts at each request, and shuts the server
// down under this load.
void drain() {
  Fleet fleet(binary, site_of("    store STORE\n    safety power\n"), work_of(0.02), load_of(200, 3));
  std::printf("starts: %s\n", yes_or_no(fleet.start()));
  fleet.loop.run_for(1.5);
  std::printf("shuts down gracefully: %s\n", yes_or_no(fleet.shut_down()));
  const int succeeded = count_answers(fleet.journal, AnswerKind::kSucceeded),
            rejected = count_answers(fleet.journal, AnswerKind::kRejected);
  std::printf("some succeeded: %s, some were rejected: %s\n", yes_or_no(succeeded > 100),
              yes_or_no(rejected > 100));
  print_verdict(fleet);
}

// The size limit of the store is reached within a second: the server keeps running, no key runs twice, and
// requests whose intents cannot be written do not run.
void full_disk() {
  Fleet fleet(binary, site_of("    store STORE\n    disk 1M\n"), work_of(0.003, 4096), load_of(150, 2));
  std::printf("starts: %s\n", yes_or_no(fleet.start()));
  fleet.loop.run_for(2.5);
  auto counters = fleet.process->counters();
  std::printf("rejected because of the store: %s\n",
              yes_or_no(counters["results.store_unavailable"] + counters["results.not_durable"] > 50));
  end(fleet, 8);
  print_verdict(fleet);
}

// Limits are lowered and raised under load. Windows are short, so that entries expire continually.
void bounds() {
  const std::string head = "results\n    enabled on\n    digest pull\n    store STORE\n";
  Fleet fleet(binary, site_of("    store STORE\n", 1), work_of(0.005), load_of(80, 2));
  std::printf("starts: %s\n", yes_or_no(fleet.start()));
  for (const char* more : {"    entries 40\n", "    memory 64K\n", "    entries 5000\n    memory 4M\n",
                           "    entries nonsense\n"}) {
    fleet.loop.run_for(0.6);
    fleet.write_operators(head + more);
    fleet.process->signal(SIGHUP);
  }
  fleet.loop.run_for(0.6);
  auto counters = fleet.process->counters();
  std::printf("rejected for lack of capacity: %s\n", yes_or_no(counters["results.no_capacity"] > 20));
  end(fleet, 8);
  print_verdict(fleet);
}

// Many results of 4 KiB with half a MiB of memory: results that were evicted are read from the store.
void large() {
  Callers::Options load = load_of(300, 2);
  for (Flow& flow : load.flows) flow.spread = 1.5;
  Fleet fleet(binary, site_of("    store STORE\n    memory 512K\n"), work_of(0.001, 4096), load);
  std::printf("starts: %s\n", yes_or_no(fleet.start()));
  fleet.loop.run_for(3);
  auto counters = fleet.process->counters();
  std::printf("many entries: %s, within the limit: %s, some answered from the store: %s\n",
              yes_or_no(counters["results.entries"] > 150),
              yes_or_no(counters["results.bytes"] <= 512 * 1024),
              yes_or_no(counters["results.from_store"] > 5));
  end(fleet, 8);
  print_verdict(fleet);
}

}  // namespace

int main(int argc, char** argv) {
  const std::pair<const char*, void (*)()> scenarios[] = {
      {"surge", surge}, {"drain", drain}, {"full_disk", full_disk}, {"bounds", bounds}, {"large", large}};
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  if (argc == 3) binary = argv[1];
  for (const auto& [name, run] : scenarios) {
    if (argc == 3 && std::strcmp(argv[2], name) == 0) {
      run();
      return 0;
    }
  }
  std::fprintf(stderr, "usage: results_fleet BINARY SCENARIO\n");
  return 2;
}
