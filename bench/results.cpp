// What remembering results costs and saves: runs a thing with and without, the time it adds to a request,
// kills, a cut of durable writes, and memory. All on loopback, real processes; both sides of each comparison
// in one run.
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

SiteSpec site_of(const std::string& idempotency, const std::string& operators) {
  SiteSpec site;
  site.types = {{"push", idempotency, 1, 2, 30, 1}, {"pull", idempotency, 1, 2, 30, 1}};
  site.cores = 4;
  site.operators = operators;
  return site;
}

Callers::Options load_of(double per_s, int copies, bool marked, std::uint64_t seed) {
  Flow push{"push", per_s, 1};
  push.has_key = marked;
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

Runtime::Options work_of(double work, std::size_t result_bytes = 64) {
  Runtime::Options o;
  o.cores = 4;
  o.work = work;
  o.result_bytes = result_bytes;
  return o;
}

std::string remembering(const char* more) {
  return fmt::format("results\n    enabled on\n    memory 8M\n    digest pull\n{}", more);
}

std::vector<double> success_times(const Journal& journal) {
  std::vector<double> times;
  for (const auto& [request, t] : journal.attempts) {
    for (const Answer& a : t.answers) {
      if (a.kind == AnswerKind::kSucceeded) times.push_back(a.at - t.sent);
    }
  }
  return times;
}

struct Sums {
  double calls_per_unique = 0;
  int double_runs = 0, wrong_results = 0, other = 0;
};

void add(Sums& sums, const Verdict& verdict) {
  sums.double_runs += verdict.double_runs;
  sums.wrong_results += verdict.wrong_results;
  sums.other += verdict.unanswered + verdict.late + verdict.answered_twice;
  for (const std::string& line : verdict.broken) fmt::print("  {}\n", line);
}

// Every thing is asked for three times; how often it runs.
Sums asked_thrice(bool remembered, double seconds, std::uint64_t seed) {
  const std::string operators = remembered ? remembering("    store STORE\n") : std::string();
  Fleet fleet(kBinary, site_of(remembered ? "dedup" : "retryable", operators), work_of(0.004),
              load_of(40, 3, remembered, seed));
  Sums sums;
  if (!fleet.start()) return sums;
  fleet.loop.run_for(seconds);
  fleet.settle(5);
  fleet.shut_down();
  std::set<std::string> unique;
  for (const RecordedRun& run : fleet.journal.runs) unique.insert(run.key);
  sums.calls_per_unique = static_cast<double>(fleet.journal.runs.size()) /
                          static_cast<double>(std::max<std::size_t>(1, unique.size()));
  add(sums, check_rules(fleet.journal, fleet.limits()));
  fmt::print("{:<34}{:>8} things, {:>6} tries, {:>6} runs: {:.3f} a thing\n",
             remembered ? "asked thrice, remembered" : "asked thrice, not remembered", unique.size(),
             fleet.journal.attempts.size(), fleet.journal.runs.size(), sums.calls_per_unique);
  return sums;
}

struct Cost {
  std::vector<double> with, without;
};

// The same load on two programs in turns of 0.3 s, so that the machine's moods fall on both.
Cost cost_of(const char* safety, double work, double seconds, std::uint64_t seed) {
  const std::string operators = remembering(fmt::format("    store STORE\n    safety {}\n", safety).c_str());
  Fleet with(kBinary, site_of("dedup", operators), work_of(work), load_of(60, 1, true, seed));
  Fleet without(kBinary, site_of("retryable", ""), work_of(work), load_of(60, 1, false, seed));
  Cost cost;
  if (!with.start() || !without.start()) return cost;
  for (double spent = 0; spent < seconds; spent += 0.6) {
    for (Fleet* fleet : {&with, &without}) {
      fleet->callers.set_load_enabled(true);
      fleet->loop.run_for(0.3);
      fleet->callers.set_load_enabled(false);
      fleet->loop.run_until([&] { return fleet->callers.attempts_in_flight() == 0; }, 0.3);
    }
  }
  with.settle(2), without.settle(2);
  with.shut_down(), without.shut_down();
  cost.with = success_times(with.journal), cost.without = success_times(without.journal);
  return cost;
}

Sums killed(int kills, std::uint64_t seed) {
  Fleet fleet(kBinary, site_of("dedup", remembering("    store STORE\n")), work_of(0.012),
              load_of(50, 3, true, seed));
  pcg64 random(seed);
  Sums sums;
  for (int i = 0; i < kills; ++i) {
    if (!fleet.start()) return sums;
    fleet.loop.run_for(0.06 + static_cast<double>(random() % 1000) / 1000 * 0.2);
    fleet.kill();
  }
  fleet.start();
  fleet.loop.run_for(0.5);
  fleet.settle(15);
  fleet.shut_down();
  add(sums, check_rules(fleet.journal, fleet.limits()));
  int unknown = 0;
  for (const auto& [request, t] : fleet.journal.attempts) {
    for (const Answer& a : t.answers) unknown += a.kind == AnswerKind::kUnknownOutcome;
  }
  fmt::print("{:<34}{:>8} kills, {:>6} tries, {:>6} runs, {} told that the outcome is unknown\n",
             "killed at random", kills, fleet.journal.attempts.size(), fleet.journal.runs.size(), unknown);
  return sums;
}

struct Memory {
  double rest_off = 0, rest_on = 0, full = 0, latest_wake_ms = 0, commit_ms = 0;
  std::uint64_t entries = 0;
};

// Results of 4 KiB by the ten thousand under a bound of 8 MB.
Memory memory_of(double seconds, std::uint64_t seed) {
  Memory memory;
  {
    Fleet off(kBinary, site_of("retryable", ""), work_of(0.002), load_of(1, 1, false, seed));
    off.callers.set_load_enabled(false);
    if (!off.start()) return memory;
    off.loop.run_for(0.5);
    memory.rest_off = static_cast<double>(off.process->resident_kb()) / 1024;
  }
  SiteSpec site = site_of("dedup", remembering("    store STORE\n"));
  site.cores = 8;
  Runtime::Options work = work_of(0.001, 4096);
  work.cores = 8;
  Callers::Options load = load_of(750, 1, true, seed);
  load.connections = 16;
  Fleet on(kBinary, site, work, load);
  on.callers.set_load_enabled(false);
  if (!on.start()) return memory;
  on.loop.run_for(0.5);
  memory.rest_on = static_cast<double>(on.process->resident_kb()) / 1024;
  on.callers.set_load_enabled(true);
  on.loop.run_for(seconds);
  on.settle(3);
  memory.full = static_cast<double>(on.process->resident_kb()) / 1024;
  const auto counters = on.process->counters();
  const auto count = [&](const char* name) { return counters.contains(name) ? counters.at(name) : 0; };
  memory.entries = count("results.entries");
  memory.latest_wake_ms = static_cast<double>(count("timers.max_delay_us")) / 1000;
  memory.commit_ms = static_cast<double>(count("results.max_commit_us")) / 1000;
  on.shut_down();
  return memory;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("results", "what remembering results costs and saves");
  options.add_options()("seconds", "of each part under load", cxxopts::value<double>()->default_value("10"))(
      "seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "kills", "at random moments", cxxopts::value<int>()->default_value("20"));
  const auto flags = options.parse(argc, argv);
  const double seconds = flags["seconds"].as<double>();
  const auto seed = flags["seed"].as<std::uint64_t>();
  const Sums with = asked_thrice(true, seconds, seed), without = asked_thrice(false, seconds, seed);
  const Cost process = cost_of("process", 0.010, seconds, seed),
             power = cost_of("power", 0.010, seconds, seed);
  const auto mean = [](const std::vector<double>& v) {
    double sum = 0;
    for (const double x : v) sum += x;
    return v.empty() ? 0 : sum / static_cast<double>(v.size());
  };
  for (const auto& [name, cost] : {std::pair{"process", &process}, std::pair{"power", &power}}) {
    fmt::print("{:<34}{:>8.2f} ms with, {:.2f} without (mean); p99 {:.2f} and {:.2f}; {} and {} ops\n",
               fmt::format("time an op of 10 ms, {}-safe", name), mean(cost->with) * 1000,
               mean(cost->without) * 1000, quantile(cost->with, 0.99) * 1000,
               quantile(cost->without, 0.99) * 1000, cost->with.size(), cost->without.size());
  }
  const Sums kills = killed(flags["kills"].as<int>(), seed);
  const Memory memory = memory_of(seconds, seed);
  fmt::print(
      "{:<34}{:>8} results of 4 KiB kept; {:.1f} MB resident, {:.1f} before, {:.1f} with results off\n",
      "memory under a bound of 8 MB", memory.entries, memory.full, memory.rest_on, memory.rest_off);
  fmt::print("{:<34}{:>8.2f} ms the latest wake of the reactor, {:.2f} ms the longest transaction\n",
             "stalls", memory.latest_wake_ms, memory.commit_ms);
  const double ratio = mean(process.without) > 0 ? mean(process.with) / mean(process.without) : 0;
  fmt::print(
      "figures: calls_per_unique={:.3f} calls_per_unique_without={:.3f} double_runs={} wrong_results={} "
      "other_rules={} kills={} ack_cost_ratio={:.3f} ack_cost_ratio_power={:.3f} p99_ms_power={:.2f} "
      "rss_mb={:.1f} "
      "rss_rest_on_mb={:.1f} rss_rest_off_mb={:.1f} entries={} wake_most_ms={:.2f}\n",
      with.calls_per_unique, without.calls_per_unique, with.double_runs + kills.double_runs,
      with.wrong_results + kills.wrong_results, with.other + kills.other, flags["kills"].as<int>(), ratio,
      mean(power.without) > 0 ? mean(power.with) / mean(power.without) : 0, quantile(power.with, 0.99) * 1000,
      memory.full, memory.rest_on, memory.rest_off, memory.entries, memory.latest_wake_ms);
  return 0;
}
