// A server that is killed under load and restarted on the same address, many times: how soon it answers a
// request. usage: restarts BINARY RESTARTS [times]; with `times` each part of each start is
// printed.
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>

#include "fleet.h"
#include "results/database.h"

using namespace damsonspoke::standins;

namespace {

constexpr double kReadyInSeconds = 10;  // until a restarted process has answered a request with its result
constexpr double kMinReadyShare = 0.9;  // of all restarts

// Fills a store like that of a server that has run for hours: completed requests with their results.
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

// Seconds until a request of this life was acked; < 0: none was in time.
double first_success(Fleet& fleet, double began) {
  const int life = fleet.server.life_number();
  double at = -1;
  fleet.callers.on_answer = [&](const Attempt& one) {
    if (at < 0 && one.life == life && !one.answers.empty() &&
        one.answers.back().kind == AnswerKind::kSucceeded)
      at = one.answers.back().at;
  };
  fleet.loop.run_until([&] { return at >= 0; }, kReadyInSeconds + 5);
  fleet.callers.on_answer = nullptr;
  return at < 0 ? -1 : at - began;
}

SiteSpec restarted_site() {
  SiteSpec site;
  site.types = {{"push", "dedup", 1, 2, 600, 1}, {"pull", "retryable", 1, 2, 0, 1}};
  site.port = lasting_port();
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

// Nothing where the program does not start again.
std::optional<RestartReport> restart_often(Fleet& fleet, int restarts, bool prints_times) {
  RestartReport report;
  for (int i = 0; i < restarts; ++i) {
    fleet.kill();
    if (i % 3 == 2) fleet.runtime.options.link_delay_seconds = 0.7;  // the runtime comes up after it
    const double began = now();
    if (!fleet.start()) {
      std::printf("it does not start again, restart %d\n", i + 1);
      return std::nullopt;
    }
    const double start_seconds = now() - began;
    const double success_seconds = first_success(fleet, began);
    const bool has_succeeded = success_seconds >= 0;
    if (has_succeeded && success_seconds <= kReadyInSeconds) ++report.ready;
    report.slowest_seconds =
        std::max(report.slowest_seconds, has_succeeded ? success_seconds : kReadyInSeconds + 5);
    if (prints_times) {
      std::fprintf(stderr, "restart %2d: listens %.3f s, first ack %.3f s\n", i + 1, start_seconds,
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
    std::printf("it does not start\n");
    return 1;
  }
  fleet.loop.run_for(3);  // a state to come back to
  const std::optional<RestartReport> report = restart_often(fleet, restarts, argc > 3);
  if (!report) return 1;
  const bool settled = fleet.settle(15);
  const bool left = fleet.leave();
  // Starts are judged here: on a crowded machine the stand-ins themselves see answers late. That answers come
  // in time is judged where nothing is killed twenty times.
  RuleLimits limits = fleet.limits();
  limits.slack = 2;
  const Verdict verdict = check_rules(fleet.journal, limits);
  for (const std::string& line : verdict.broken) std::printf("%s\n", line.c_str());
  std::fprintf(stderr, "restarts %d, ready within %.0f s %d, slowest %.2f s\n", restarts, kReadyInSeconds,
               report->ready, report->slowest_seconds);
  std::printf("nine in ten of the restarts ready in time: %s\n",
              report->ready >= kMinReadyShare * restarts ? "yes" : "no");
  std::printf("the four rules: %s; settled: %s; left in order: %s\n", verdict.kept() ? "kept" : "broken",
              settled ? "yes" : "no", left ? "yes" : "no");
  return verdict.kept() ? 0 : 1;
}
