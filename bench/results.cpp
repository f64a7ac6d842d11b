// Benchmark of the results store, on real processes over loopback. Measures the runs per idempotency key with
// and without it, the latency that it adds to a request at both levels of safety, the service rules under
// kills, and its memory. Both sides of a comparison are measured in one run.
#include <fmt/format.h>

#include <algorithm>
#include <cxxopts.hpp>
#include <set>

#include "fleet.h"

using namespace damsonspoke::standins;

namespace {

const char* const kBinary = DAMSONSPOKE_BINARY;

double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

SiteSpec site_spec(const std::string& idempotency, const std::string& operators) {
  SiteSpec site;
  site.types = {{"push", idempotency, 1, 2, 30, 1}, {"pull", idempotency, 1, 2, 30, 1}};
  site.cores = 4;
  site.operators = operators;
  return site;
}

Callers::Options caller_options(double per_s, int copies, bool has_key, std::uint64_t seed) {
  Flow push{"push", per_s, 1};
  push.has_key = has_key;
  push.copies = copies;
  push.spread = 0.1;
  push.retries = 2;
  Flow pull = push;
  pull.type = "pull";
  pull.has_key = false;
  Callers::Options load;
  load.flows = {push, pull};
  load.seed = seed;
  return load;
}

Runtime::Options runtime_options(double work, std::size_t result_bytes = 64) {
  Runtime::Options options;
  options.cores = 4;
  options.work = work;
  options.result_bytes = result_bytes;
  return options;
}

std::string results_settings(const char* more_settings) {
  return fmt::format("results\n    enabled on\n    memory 8M\n    digest pull\n{}", more_settings);
}

std::vector<double> success_latencies(const Journal& journal) {
  std::vector<double> latencies;
  for (const auto& [request, attempt] : journal.attempts) {
    for (const Answer& answer : attempt.answers) {
      if (answer.kind == AnswerKind::kSucceeded) latencies.push_back(answer.at - attempt.sent);
    }
  }
  return latencies;
}

struct RuleCounts {
  double runs_per_key = 0;
  int double_runs = 0, wrong_results = 0, other = 0;
};

void add(RuleCounts& counts, const Verdict& verdict) {
  counts.double_runs += verdict.double_runs;
  counts.wrong_results += verdict.wrong_results;
  counts.other += verdict.unanswered + verdict.late + verdict.answered_twice;
  for (const std::string& line : verdict.broken) fmt::print("  {}\n", line);
}

// Sends every request three times and counts its runs.
RuleCounts run_with_duplicates(bool has_results, double seconds, std::uint64_t seed) {
  const std::string operators = has_results ? results_settings("    store STORE\n") : std::string();
  Fleet fleet(kBinary, site_spec(has_results ? "dedup" : "retryable", operators), runtime_options(0.004),
              caller_options(40, 3, has_results, seed));
  RuleCounts counts;
  if (!fleet.start()) return counts;
  fleet.loop.run_for(seconds);
  fleet.settle(5);
  fleet.shut_down();
  std::set<std::string> keys;
  for (const RecordedRun& run : fleet.journal.runs) keys.insert(run.key);
  counts.runs_per_key = static_cast<double>(fleet.journal.runs.size()) /
                        static_cast<double>(std::max<std::size_t>(1, keys.size()));
  add(counts, check_rules(fleet.journal, fleet.limits()));
  fmt::print("{:<34}{:>8} keys, {:>6} attempts, {:>6} runs: {:.3f} per key\n",
             has_results ? "sent three times, with results" : "sent three times, without results",
             keys.size(), fleet.journal.attempts.size(), fleet.journal.runs.size(), counts.runs_per_key);
  return counts;
}

struct Latencies {
  std::vector<double> with, without;
};

// The same load on two programs alternately, 0.3 s each, so that disturbances of the machine affect both.
Latencies compare_latencies(const char* safety, double work, double seconds, std::uint64_t seed) {
  const std::string operators =
      results_settings(fmt::format("    store STORE\n    safety {}\n", safety).c_str());
  Fleet with(kBinary, site_spec("dedup", operators), runtime_options(work),
             caller_options(60, 1, true, seed));
  Fleet without(kBinary, site_spec("retryable", ""), runtime_options(work),
                caller_options(60, 1, false, seed));
  Latencies latencies;
  if (!with.start() || !without.start()) return latencies;
  for (double elapsed = 0; elapsed < seconds; elapsed += 0.6) {
    for (Fleet* fleet : {&with, &without}) {
      fleet->callers.set_load_enabled(true);
      fleet->loop.run_for(0.3);
      fleet->callers.set_load_enabled(false);
      fleet->loop.run_until([&] { return fleet->callers.attempts_in_flight() == 0; }, 0.3);
    }
  }
  with.settle(2), without.settle(2);
  with.shut_down(), without.shut_down();
  latencies.with = success_latencies(with.journal), latencies.without = success_latencies(without.journal);
  return latencies;
}

RuleCounts run_with_kills(int kills, std::uint64_t seed) {
  Fleet fleet(kBinary, site_spec("dedup", results_settings("    store STORE\n")), runtime_options(0.012),
              caller_options(50, 3, true, seed));
  pcg64 random(seed);
  RuleCounts counts;
  for (int i = 0; i < kills; ++i) {
    if (!fleet.start()) return counts;
    fleet.loop.run_for(0.06 + static_cast<double>(random() % 1000) / 1000 * 0.2);
    fleet.kill();
  }
  fleet.start();
  fleet.loop.run_for(0.5);
  fleet.settle(15);
  fleet.shut_down();
  add(counts, check_rules(fleet.journal, fleet.limits()));
  int unknown = 0;
  for (const auto& [request, attempt] : fleet.journal.attempts) {
    for (const Answer& answer : attempt.answers) unknown += answer.kind == AnswerKind::kUnknownOutcome;
  }
  fmt::print("{:<34}{:>8} kills, {:>6} attempts, {:>6} runs, {} answers with an unknown outcome\n",
             "killed at random", kills, fleet.journal.attempts.size(), fleet.journal.runs.size(), unknown);
  return counts;
}

struct MemoryUse {
  double idle_mb_off = 0, idle_mb_on = 0, full_mb = 0, max_timer_delay_ms = 0, max_commit_ms = 0;
  std::uint64_t entries = 0;
};

// Stores tens of thousands of results of 4 KiB in a results store limited to 8 MB of memory.
MemoryUse measure_memory(double seconds, std::uint64_t seed) {
  MemoryUse memory;
  {
    Fleet off(kBinary, site_spec("retryable", ""), runtime_options(0.002), caller_options(1, 1, false, seed));
    off.callers.set_load_enabled(false);
    if (!off.start()) return memory;
    off.loop.run_for(0.5);
    memory.idle_mb_off = static_cast<double>(off.process->resident_kb()) / 1024;
  }
  SiteSpec site = site_spec("dedup", results_settings("    store STORE\n"));
  site.cores = 8;
  Runtime::Options work = runtime_options(0.001, 4096);
  work.cores = 8;
  Callers::Options load = caller_options(750, 1, true, seed);
  load.connections = 16;
  Fleet on(kBinary, site, work, load);
  on.callers.set_load_enabled(false);
  if (!on.start()) return memory;
  on.loop.run_for(0.5);
  memory.idle_mb_on = static_cast<double>(on.process->resident_kb()) / 1024;
  on.callers.set_load_enabled(true);
  on.loop.run_for(seconds);
  on.settle(3);
  memory.full_mb = static_cast<double>(on.process->resident_kb()) / 1024;
  const auto counters = on.process->counters();
  const auto count = [&](const char* name) { return counters.contains(name) ? counters.at(name) : 0; };
  memory.entries = count("results.entries");
  memory.max_timer_delay_ms = static_cast<double>(count("timers.max_delay_us")) / 1000;
  memory.max_commit_ms = static_cast<double>(count("results.max_commit_us")) / 1000;
  on.shut_down();
  return memory;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("results", "costs and savings of the results store");
  options.add_options()("seconds", "duration of each part under load",
                        cxxopts::value<double>()->default_value("10"))(
      "seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "kills", "number of kills at random times", cxxopts::value<int>()->default_value("20"));
  const auto flags = options.parse(argc, argv);
  const double seconds = flags["seconds"].as<double>();
  const auto seed = flags["seed"].as<std::uint64_t>();
  const RuleCounts with = run_with_duplicates(true, seconds, seed),
                   without = run_with_duplicates(false, seconds, seed);
  const Latencies process = compare_latencies("process", 0.010, seconds, seed),
                  power = compare_latencies("power", 0.010, seconds, seed);
  const auto mean = [](const std::vector<double>& v) {
    double sum = 0;
    for (const double x : v) sum += x;
    return v.empty() ? 0 : sum / static_cast<double>(v.size());
  };
  for (const auto& [name, latencies] : {std::pair{"process", &process}, std::pair{"power", &power}}) {
    fmt::print("{:<34}{:>8.2f} ms with, {:.2f} without (mean); p99 {:.2f} and {:.2f}; {} and {} requests\n",
               fmt::format("latency of 10 ms of work, {}-safe", name), mean(latencies->with) * 1000,
               mean(latencies->without) * 1000, quantile(latencies->with, 0.99) * 1000,
               quantile(latencies->without, 0.99) * 1000, latencies->with.size(), latencies->without.size());
  }
  const RuleCounts kills = run_with_kills(flags["kills"].as<int>(), seed);
  const MemoryUse memory = measure_memory(seconds, seed);
  fmt::print(
      "{:<34}{:>8} results of 4 KiB stored; {:.1f} MB resident, {:.1f} before, {:.1f} with results off\n",
      "memory with a limit of 8 MB", memory.entries, memory.full_mb, memory.idle_mb_on, memory.idle_mb_off);
  fmt::print("{:<34}{:>8.2f} ms largest timer delay of the reactor, {:.2f} ms longest transaction\n",
             "stalls", memory.max_timer_delay_ms, memory.max_commit_ms);
  const double ratio = mean(process.without) > 0 ? mean(process.with) / mean(process.without) : 0;
  fmt::print(
      "figures: calls_per_unique={:.3f} calls_per_unique_without={:.3f} double_runs={} wrong_results={} "
      "other_rules={} kills={} ack_cost_ratio={:.3f} ack_cost_ratio_power={:.3f} p99_ms_power={:.2f} "
      "rss_mb={:.1f} "
      "rss_rest_on_mb={:.1f} rss_rest_off_mb={:.1f} entries={} wake_most_ms={:.2f}\n",
      with.runs_per_key, without.runs_per_key, with.double_runs + kills.double_runs,
      with.wrong_results + kills.wrong_results, with.other + kills.other, flags["kills"].as<int>(), ratio,
      mean(power.without) > 0 ? mean(power.with) / mean(power.without) : 0, quantile(power.with, 0.99) * 1000,
      memory.full_mb, memory.idle_mb_on, memory.idle_mb_off, memory.entries, memory.max_timer_delay_ms);
  return 0;
}
