// Demonstrates overload control in ten seconds: one backend with its stand-ins receives more requests than
// its cores can run, and every `close` request twice. Prints the outcomes and latencies by route and whether
// the four service rules were kept. usage: demo BINARY [SECONDS]
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

#include "fleet.h"

using namespace damsonspoke::standins;

namespace {

struct RouteStats {
  int attempts = 0, succeeded = 0, in_time = 0, rejected = 0, failed = 0;
  std::vector<double> latencies;
};

double quantile(std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    fmt::print(stderr, "usage: demo BINARY [SECONDS]\n");
    return 2;
  }
  const double seconds = argc > 2 ? std::atof(argv[2]) : 10;
  SiteSpec site;
  site.types = {{"read", "retryable", 0.5, 1, 0, 1},
                {"push", "retryable", 0.5, 1, 0, 1},
                {"close", "dedup", 0.5, 1, 10, 3}};
  site.operators = "results\n    enabled on\n    memory 16M\n    store STORE\n";
  Callers::Options load;
  Flow read{"read", 90, 1};
  Flow push{"push", 60, 1};
  Flow close{"close", 40, 1};
  close.has_key = true;
  close.copies = 2;
  close.retries = 2;
  load.flows = {read, push, close};
  Runtime::Options runtime;
  runtime.cores = 2;
  runtime.work = 0.012;
  Fleet fleet(argv[1], site, runtime, load);
  fmt::print(
      "A backend with 2 cores; 190 requests per second of 12 ms each, 1.14 times the capacity of the cores;\n"
      "every close request is sent twice. {:.0f} s of load, then a graceful shutdown.\n\n",
      seconds);
  if (!fleet.start()) {
    fmt::print("the program did not start\n");
    return 1;
  }
  fleet.loop.run_for(seconds);
  const auto counters = fleet.process->counters();
  const long resident_kb = fleet.process->resident_kb();
  fleet.settle(3);
  const bool has_shut_down = fleet.shut_down();
  std::map<std::string, RouteStats> stats_by_route;
  std::map<std::string, std::map<std::string, bool>> succeeded_keys;
  for (const auto& [request, attempt] : fleet.journal.attempts) {
    RouteStats& stats = stats_by_route[attempt.type];
    ++stats.attempts;
    for (const Answer& answer : attempt.answers) {
      stats.succeeded += answer.kind == AnswerKind::kSucceeded;
      stats.rejected += answer.kind == AnswerKind::kRejected;
      stats.failed += answer.kind != AnswerKind::kSucceeded && answer.kind != AnswerKind::kRejected;
      if (answer.kind != AnswerKind::kSucceeded) continue;
      stats.latencies.push_back(answer.at - attempt.sent);
      stats.in_time += answer.at - attempt.sent <= 0.5;
      succeeded_keys[attempt.type][attempt.key] = true;
    }
  }
  std::map<std::string, int> runs;
  for (const RecordedRun& run : fleet.journal.runs) ++runs[run.type];
  fmt::print("{:<8}{:>8}{:>8}{:>9}{:>8}{:>8}{:>8}{:>10}{:>10}\n", "route", "attempts", "ok", "in time",
             "rejected", "failed", "runs", "p50 ms", "p99 ms");
  for (auto& [type, stats] : stats_by_route) {
    fmt::print("{:<8}{:>8}{:>8}{:>9}{:>8}{:>8}{:>8}{:>10.1f}{:>10.1f}\n", type, stats.attempts,
               stats.succeeded, stats.in_time, stats.rejected, stats.failed, runs[type],
               quantile(stats.latencies, 0.5) * 1000, quantile(stats.latencies, 0.99) * 1000);
  }
  const auto count = [&](const char* name) {
    const auto found = counters.find(name);
    return found == counters.end() ? 0 : found->second;
  };
  fmt::print("\nkeys that succeeded {}, their runs {}; duplicates joined {}; {} KB resident\n",
             succeeded_keys["close"].size(), runs["close"], count("results.coalesced"), resident_kb);
  const Verdict verdict = check_rules(fleet.journal, fleet.limits());
  for (const std::string& line : verdict.broken) fmt::print("{}\n", line);
  const bool has_passed = verdict.kept() && has_shut_down && !fleet.journal.runs.empty();
  fmt::print("the four service rules: {}; graceful shutdown: {}\n", verdict.kept() ? "kept" : "BROKEN",
             has_shut_down ? "yes" : "no");
  return has_passed ? 0 : 1;
}
