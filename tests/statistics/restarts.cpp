// Kills a server under load and restarts it on the same address, many times, and checks how soon it answers a
// request. usage: restarts BINARY RESTARTS [times]; with `times`, the durations of each start are printed.
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>

#include "fleet.h"
#include "results/database.h"

using namespace damsonspoke::standins;

namespace {

constexpr double kMaxReadySeconds = 10;  // until a restarted process has answered a request with its result
constexpr double kMinReadyShare = 0.9;   // of all restarts

// Fills a store with completed requests and their results, like that of a server that has run for hours.
void fill(const std::string& path, int keys) {
  namespace results = damsonspoke::results;
  results::Database store(path, {});
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  store.begin();
  for (int i = 0; i < keys; ++i) {
    results::Row row;
    row.key = {0x1234, static_cast<std::uint64_t>(i)};
    row.request_id = 0x10000000u + static_cast<std::uint64_t>(i);
    row.route = "push";
    row.expires_at_ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count() + 600'000;
    store.put_intent(row);
    store.put_result(row.key, std::string(1024, 'r'));
  }
  store.commit();
}

// Returns the seconds until a request of this incarnation succeeded; negative: none succeeded in time.
double seconds_until_success(Fleet& fleet, double started_at) {
  const int incarnation = fleet.server.incarnation_number();
  double succeeded_at = -1;
  fleet.callers.on_answer = [&](const Attempt& one) {
    if (succeeded_at < 0 && one.incarnation == incarnation && !one.answers.empty() &&
        one.answers.back().kind == AnswerKind::kSucceeded)
      succeeded_at = one.answers.back().at;
  };
  fleet.loop.run_until([&] { return succeeded_at >= 0; }, kMaxReadySeconds + 5);
  fleet.callers.on_answer = nullptr;
  return succeeded_at < 0 ? -1 : succeeded_at - started_at;
}

SiteSpec restarted_site() {
  SiteSpec site;
  site.types = {{"push", "dedup", 1, 2, 600, 1}, {"pull", "retryable", 1, 2, 0, 1}};
  site.port = non_ephemeral_port();
  site.registry_is_down = true;
  site.operators =
      "results\n    enabled on\n    memory 32M\n    entries 100000\n    store STORE\n"
      "knowledge\n    enabled on\n    folder FOLDER\n";
  return site;
}

Callers::Options load_of_callers() {
  Callers::Options load;
  Flow push{"push", 80, 1.5};
  push.has_key = true;
  push.retries = 2;
  Flow pull = push;
  pull.type = "pull";
  pull.has_key = false;
  load.flows = {push, pull};
  load.connections = 24;
  return load;
}

Runtime::Options runtime_options() {
  Runtime::Options options;
  options.cores = 4;
  options.work = 0.004;
  options.result_bytes = 1024;
  return options;
}

struct RestartReport {
  int ready = 0;
  double slowest_seconds = 0;
};

// Returns nullopt if the program does not start.
std::optional<RestartReport> restart_repeatedly(Fleet& fleet, int restarts, bool prints_times) {
  RestartReport report;
  for (int i = 0; i < restarts; ++i) {
    fleet.kill();
    if (i % 3 == 2) fleet.runtime.options.link_delay_seconds = 0.7;  // the runtime is ready after the server
    const double started_at = now();
    if (!fleet.start()) {
      std::printf("the program does not start, restart %d\n", i + 1);
      return std::nullopt;
    }
    const double start_seconds = now() - started_at;
    const double success_seconds = seconds_until_success(fleet, started_at);
    const bool has_succeeded = success_seconds >= 0;
    if (has_succeeded && success_seconds <= kMaxReadySeconds) ++report.ready;
    report.slowest_seconds =
        std::max(report.slowest_seconds, has_succeeded ? success_seconds : kMaxReadySeconds + 5);
    if (prints_times) {
      std::fprintf(stderr, "restart %2d: listens %.3f s, first success %.3f s\n", i + 1, start_seconds,
                   success_seconds);
    }
    fleet.loop.run_for(0.1);
  }
  return report;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const int restarts = std::atoi(argv[2]);
  Fleet fleet(argv[1], restarted_site(), runtime_options(), load_of_callers());
  fill(fleet.store_path(), 40'000);
  if (!fleet.start()) {
    std::printf("the program does not start\n");
    return 1;
  }
  fleet.loop.run_for(3);  // creates state that the restarts recover
  const std::optional<RestartReport> report = restart_repeatedly(fleet, restarts, argc > 3);
  if (!report) return 1;
  const bool has_settled = fleet.settle(15);
  const bool has_shut_down = fleet.shut_down();
  // This test checks starts. On a busy machine the simulated peers themselves receive answers late, so the
  // slack for late answers is larger here; other tests, without repeated kills, check that answers arrive in
  // time.
  RuleLimits limits = fleet.limits();
  limits.deadline_slack_seconds = 2;
  const Verdict verdict = check_rules(fleet.journal, limits);
  for (const std::string& line : verdict.broken) std::printf("%s\n", line.c_str());
  std::fprintf(stderr, "restarts %d, ready within %.0f s %d, slowest %.2f s\n", restarts, kMaxReadySeconds,
               report->ready, report->slowest_seconds);
  std::printf("nine of ten restarts ready in time: %s\n",
              report->ready >= kMinReadyShare * restarts ? "yes" : "no");
  std::printf("the four rules: %s; settled: %s; shut down gracefully: %s\n",
              verdict.kept() ? "kept" : "broken", has_settled ? "yes" : "no", has_shut_down ? "yes" : "no");
  return verdict.kept() ? 0 : 1;
}
