// Benchmark of learned statistics that survive a restart. First, a rolling deploy over a fleet of backends,
// whose callers use the other backends meanwhile: with the statistics of the former process, without, with
// stale ones (the runtimes are three times slower than recorded) and with ones that were learned under
// overload. Then, single backends that start under a given load, to show how many requests are decided
// wrongly without statistics. The trials of a round run at the same time, each with its own stand-ins, and
// are compared in pairs. Meanwhile one backend is killed at random times, and its record is read after each
// kill.
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cxxopts.hpp>
#include <thread>

#include "fleet.h"
#include "statistics/statistics_store.h"

using namespace damsonspoke;
using namespace damsonspoke::standins;

namespace {

const char* const kBinary = DAMSONSPOKE_BINARY;
// The values of the routes (work, latency objective and timeout in s) and of the slow start are taken from an
// operator's settings.
struct RouteProfile {
  const char* name;
  double work, target, timeout, share, priority_weight;
};
constexpr RouteProfile kRoutes[] = {
    {"read", 0.22, 1.3, 3.3, 0.43, 1}, {"push", 0.36, 2.2, 5.4, 0.40, 1}, {"close", 0.36, 2.2, 5.4, 0.17, 3}};
constexpr int kCores = 4;
constexpr double kSlowStartSpeed = 0.2, kSlowStartSeconds = 17;

constexpr int kBackends = 3;
constexpr double kWarmUpSeconds = 6, kRestartIntervalSeconds = 4;

struct Variant {
  const char* name;
  double slowdown;  // factor of a run's work after the restart
  bool restores_statistics;
  bool has_overload_record;  // its record was learned under overload
};
constexpr Variant kVariants[] = {{"with", 1, true, false},
                                 {"without", 1, false, false},
                                 {"stale", 3, true, false},
                                 {"without, slower", 3, false, false},
                                 {"poisoned", 1, true, true}};
constexpr std::size_t kVariantCount = std::size(kVariants);

SiteSpec site_of(const std::string& operators) {
  SiteSpec site;
  for (const RouteProfile& route : kRoutes)
    site.types.push_back({route.name, "retryable", route.target, route.timeout, 0, route.priority_weight});
  site.cores = kCores;
  site.slow_start_speed = kSlowStartSpeed;
  site.slow_start_seconds = kSlowStartSeconds;
  site.operators = operators;
  return site;
}

// Load as a share of the capacity of warm cores. Rejected requests are retried twice.
Callers::Options load_of(double share, int backends, std::uint64_t seed) {
  double work = 0;
  for (const RouteProfile& route : kRoutes) work += route.work * route.share;
  const double total_rate = share * kCores * backends / work;
  Callers::Options load;
  for (const RouteProfile& route : kRoutes) {
    Flow flow{route.name, total_rate * route.share, route.timeout};
    flow.retries = 2;
    flow.pause = 0.3;
    load.flows.push_back(flow);
  }
  load.connections = 12;
  load.seed = seed;
  return load;
}

Runtime::Options runtime_of(double slowdown, bool starts_cold) {
  Runtime::Options options;
  options.cores = kCores;
  for (const RouteProfile& route : kRoutes) options.work_by_type[route.name] = route.work * slowdown;
  options.slow_start_speed = starts_cold ? kSlowStartSpeed : 1;
  options.slow_start_seconds = starts_cold ? kSlowStartSeconds : 0;
  return options;
}

const std::string kStatisticsSettings = "knowledge\n    enabled on\n    folder FOLDER\n    interval 1s\n";

// Returns the record that a warm process learned under full load. The rounds begin with it.
std::optional<statistics::StatisticsRecord> learn_statistics(double seconds, std::uint64_t seed) {
  Fleet fleet(kBinary, site_of(kStatisticsSettings), runtime_of(1, false), load_of(1.1, 1, seed));
  if (!fleet.start()) return std::nullopt;
  fleet.loop.run_for(seconds);
  fleet.settle(2);
  fleet.shut_down();
  const auto folder_access = store::open_folder(fleet.folder());
  return statistics::StatisticsFolder(*folder_access).read().record;
}

void write_record(const std::string& folder, statistics::StatisticsRecord record, bool has_overload_record) {
  record.written_at = unix_now();
  record.under_pressure = has_overload_record;
  for (auto& type : record.routes) {
    if (!has_overload_record) break;
    type.run.bins.assign(13, 0);
    type.run.bins[11] = 20, type.run.sum = 20 * 8;
  }
  const auto folder_access = store::open_folder(folder);
  statistics::StatisticsFolder(*folder_access).write(record);
}

// Outcomes of the requests whose first attempt was sent in a span of time.
struct ServiceOutcome {
  double requested_weight = 0, served_weight = 0;  // sums of priority weights
  int requests = 0, late = 0, failed = 0,
      rejected_all = 0;  // requests that were not served within their objective, by cause
  double served_share() const { return requested_weight > 0 ? served_weight / requested_weight : 0; }
};

ServiceOutcome outcome_between(const Journal& journal, double from, double until) {
  struct RequestOutcome {
    double priority_weight = 0;
    bool served = false, late = false, failed = false;
  };
  std::map<std::string, RequestOutcome> requests;
  std::map<double, const Attempt*> by_time;
  for (const auto& [number, attempt] : journal.attempts) by_time[attempt.sent] = &attempt;
  std::map<std::string, bool> before;
  for (const auto& [sent, attempt] : by_time) {
    if (sent < from) before[attempt->key] = true;
    if (sent < from || before.contains(attempt->key)) continue;
    if (sent > until && !requests.contains(attempt->key)) continue;
    const auto type = std::find_if(std::begin(kRoutes), std::end(kRoutes), [&](const RouteProfile& profile) {
      return attempt->type == profile.name;
    });
    RequestOutcome& request = requests[attempt->key];
    request.priority_weight = type->priority_weight;
    for (const Answer& answer : attempt->answers) {
      const bool succeeded = answer.kind == AnswerKind::kSucceeded;
      request.served |= succeeded && answer.at - attempt->sent <= type->target;
      request.late |= succeeded && answer.at - attempt->sent > type->target;
      request.failed |= answer.kind == AnswerKind::kFailed;
    }
  }
  ServiceOutcome outcome;
  for (const auto& [key, request] : requests) {
    ++outcome.requests;
    outcome.requested_weight += request.priority_weight;
    if (request.served)
      outcome.served_weight += request.priority_weight;
    else if (request.late)
      ++outcome.late;
    else if (request.failed)
      ++outcome.failed;
    else
      ++outcome.rejected_all;
  }
  return outcome;
}

struct TrialResult {
  ServiceOutcome first_seconds, all;  // the first 5 s and the whole time after the (first) restart
  int violations = 0;
  double max_write_ms = 0;
  int restored = 0;
};

void read_counters(TrialResult& out, Server& server) {
  const auto counters = server.process->counters();
  const auto count = [&](const char* name) { return counters.contains(name) ? counters.at(name) : 0; };
  out.max_write_ms = std::max(out.max_write_ms, static_cast<double>(count("statistics.max_write_us")) / 1000);
  out.restored += count("statistics.restored") > 0;
}

void evaluate(TrialResult& out, const char* name, const Journal& journal, double from, double until) {
  out.first_seconds = outcome_between(journal, from, std::min(until, from + 5));
  out.all = outcome_between(journal, from, until);
  RuleLimits limits = Fleet::limits_of(site_of(""));
  limits.survivable_concurrency *= kBackends;  // the journal counts all runtimes together
  const Verdict verdict = check_rules(journal, limits);
  for (const std::string& line : verdict.broken) fmt::print("  {}: {}\n", name, line);
  out.violations = static_cast<int>(verdict.broken.size());
}

// Warm backends serve; then each in turn shuts down, is removed from the registry, and starts cold.
TrialResult run_rolling_deploy(const Variant& variant, const statistics::StatisticsRecord& record,
                               double seconds, std::uint64_t seed) {
  TrialResult out;
  Loop loop;
  Journal journal;
  Callers callers(loop, journal, load_of(1.1 / variant.slowdown, kBackends, seed));
  std::vector<std::unique_ptr<Server>> backends;
  for (int i = 0; i < kBackends; ++i) {
    backends.push_back(std::make_unique<Server>(
        loop, journal, callers, kBinary,
        site_of(variant.restores_statistics ? kStatisticsSettings : std::string()), runtime_of(1, false), i));
    if (variant.restores_statistics) write_record(backends.back()->folder(), record, false);
    if (!backends.back()->start()) return out.violations = 1, out;
  }
  loop.run_for(kWarmUpSeconds);
  const double from = now();
  for (int i = 0; i < kBackends; ++i) {
    Server& backend = *backends[static_cast<std::size_t>(i)];
    const double restart_began = now();
    backend.send_shutdown_notice();
    loop.run_for(0.2);  // until callers have read the registry
    callers.avoid(i);
    if (!backend.wait_for_end()) return out.violations = 1, out;
    if (variant.has_overload_record) write_record(backend.folder(), record, true);
    backend.runtime.options = runtime_of(variant.slowdown, true);
    if (!backend.start()) return out.violations = 1, out;
    if (i + 1 < kBackends) loop.run_for(std::max(0.0, restart_began + kRestartIntervalSeconds - now()));
  }
  loop.run_for(std::max(0.0, from + seconds - now()));
  const double until = now();
  callers.set_load_enabled(false);
  for (const auto& backend : backends) read_counters(out, *backend);
  loop.run_until([&] { return callers.attempts_in_flight() == 0 && callers.unfinished_tasks() == 0; }, 6);
  for (const auto& backend : backends) backend->shut_down();
  evaluate(out, variant.name, journal, from, until);
  return out;
}

// One backend that starts under load.
TrialResult run_single_start(const Variant& variant, const statistics::StatisticsRecord& record, double load,
                             bool starts_cold, double seconds, std::uint64_t seed) {
  TrialResult out;
  Fleet fleet(kBinary, site_of(variant.restores_statistics ? kStatisticsSettings : std::string()),
              runtime_of(variant.slowdown, starts_cold), load_of(load / variant.slowdown, 1, seed));
  if (variant.restores_statistics) write_record(fleet.folder(), record, variant.has_overload_record);
  const double from = now();
  if (!fleet.start()) return out.violations = 1, out;
  fleet.loop.run_for(seconds);
  const double until = now();
  fleet.callers.set_load_enabled(false);
  read_counters(out, fleet.server);
  fleet.settle(6);
  fleet.shut_down();
  evaluate(out, variant.name, fleet.journal, from, until);
  return out;
}

// Kills a backend, which writes a record every 200 ms, at random times. After each kill, the folder must hold
// an intact record or none. Returns how often it did not.
int count_corrupt_records_after_kills(int kills, std::uint64_t seed) {
  Fleet fleet(kBinary, site_of("knowledge\n    enabled on\n    folder FOLDER\n    interval 200ms\n"),
              runtime_of(1, false), load_of(0.55, 1, seed));
  pcg64 random(seed);
  int corrupt_records = 0;
  for (int i = 0; i < kills; ++i) {
    if (!fleet.start()) return corrupt_records + 1;
    fleet.loop.run_for(0.05 + static_cast<double>(random() % 1000) / 1000 * 0.4);
    fleet.kill();
    const auto folder_access = store::open_folder(fleet.folder());
    const statistics::RecordReadResult read = statistics::StatisticsFolder(*folder_access).read();
    corrupt_records += !read.record && read.problem != statistics::ReadProblem::kMissing;
  }
  return corrupt_records;
}

double mean(const std::vector<double>& v) {
  double sum = 0;
  for (const double x : v) sum += x;
  return v.empty() ? 0 : sum / static_cast<double>(v.size());
}
// Half the width of the 95% confidence interval of the mean of paired differences (Student's t, approximated
// by three ranges of the number of pairs).
double half_interval(const std::vector<double>& v) {
  if (v.size() < 2) return 1;
  const double m = mean(v), t = v.size() < 10 ? 2.8 : v.size() < 20 ? 2.262 : 2.093;
  double squares = 0;
  for (const double x : v) squares += (x - m) * (x - m);
  return t * std::sqrt(squares / static_cast<double>(v.size() - 1) / static_cast<double>(v.size()));
}

// The trials of a comparison, one column per variant.
struct Table {
  std::vector<TrialResult> trials[kVariantCount];
  std::vector<double> difference(std::size_t a, std::size_t b, bool is_first_seconds) const {
    std::vector<double> out;
    for (std::size_t i = 0; i < trials[a].size(); ++i) {
      const TrialResult &of_a = trials[a][i], &of_b = trials[b][i];
      out.push_back(is_first_seconds ? of_a.first_seconds.served_share() - of_b.first_seconds.served_share()
                                     : of_a.all.served_share() - of_b.all.served_share());
    }
    return out;
  }
  double mean_served_share(std::size_t variant, bool is_first_seconds) const {
    std::vector<double> out;
    for (const TrialResult& trial : trials[variant])
      out.push_back(is_first_seconds ? trial.first_seconds.served_share() : trial.all.served_share());
    return mean(out);
  }
  void print(const char* title, std::size_t variants) const {
    fmt::print("{}\n{:<18}{:>9}{:>9}{:>9}{:>9}{:>9}{:>12}\n", title, "", "served5", "served", "late",
               "failed", "rejected", "requests");
    for (std::size_t i = 0; i < variants; ++i) {
      int requests = 0, late = 0, failed = 0, rejected = 0;
      for (const TrialResult& trial : trials[i]) {
        requests += trial.first_seconds.requests, late += trial.first_seconds.late,
            failed += trial.first_seconds.failed;
        rejected += trial.first_seconds.rejected_all;
      }
      const auto share = [&](int n) { return requests > 0 ? static_cast<double>(n) / requests : 0; };
      fmt::print("{:<18}{:>9.3f}{:>9.3f}{:>9.3f}{:>9.3f}{:>9.3f}{:>12}\n", kVariants[i].name,
                 mean_served_share(i, true), mean_served_share(i, false), share(late), share(failed),
                 share(rejected), requests);
    }
    const auto gain5 = difference(0, 1, true), gain = difference(0, 1, false);
    fmt::print("  with minus without: first 5 s {:+.4f} +- {:.4f}, all {:+.4f} +- {:.4f}, {} pairs\n",
               mean(gain5), half_interval(gain5), mean(gain), half_interval(gain), gain.size());
  }
};

// Runs rounds of `pairs_at_once` pairs, with one thread per trial.
template <class Trial>
Table run_rounds(int pairs, int pairs_at_once, std::size_t variants, std::uint64_t seed,
                 const Trial& run_trial) {
  Table table;
  for (int first_pair = 0; first_pair < pairs; first_pair += pairs_at_once) {
    const int round_pairs = std::min(pairs_at_once, pairs - first_pair);
    std::vector<TrialResult> outcomes(static_cast<std::size_t>(round_pairs) * variants);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
      threads.emplace_back([&, i] {
        outcomes[i] =
            run_trial(kVariants[i % variants], seed + static_cast<std::uint64_t>(first_pair) + i / variants);
      });
    }
    for (std::thread& thread : threads) thread.join();
    for (std::size_t i = 0; i < outcomes.size(); ++i) table.trials[i % variants].push_back(outcomes[i]);
  }
  return table;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("knowledge", "service with and without statistics that survive a restart");
  options.add_options()("seconds", "duration after the first restart",
                        cxxopts::value<double>()->default_value("20"))(
      "seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "pairs", "", cxxopts::value<int>()->default_value("3"))("side", "pairs that run at the same time",
                                                              cxxopts::value<int>()->default_value("3"))(
      "loads", "loads of single backends, as shares of the warm capacity; empty: none",
      cxxopts::value<std::vector<double>>()->default_value("1.1,3,8"))(
      "kills", "", cxxopts::value<int>()->default_value("20"));
  const auto flags = options.parse(argc, argv);
  const double seconds = flags["seconds"].as<double>();
  const auto seed = flags["seed"].as<std::uint64_t>();
  const int pairs = flags["pairs"].as<int>(), pairs_at_once = flags["side"].as<int>();
  const std::optional<statistics::StatisticsRecord> record = learn_statistics(12, seed);
  if (!record) return fmt::print("the warm backend left no record of statistics\n"), 1;
  std::atomic<int> corrupt_records{0};
  std::thread killer(
      [&] { corrupt_records = count_corrupt_records_after_kills(flags["kills"].as<int>(), seed); });
  int violations = 0, restored = 0;
  double max_write_ms = 0;
  const auto add = [&](const Table& table) {
    for (const auto& trials : table.trials) {
      for (const TrialResult& trial : trials) {
        violations += trial.violations, restored += trial.restored;
        max_write_ms = std::max(max_write_ms, trial.max_write_ms);
      }
    }
  };
  const Table rolled = run_rounds(pairs, pairs_at_once, kVariantCount, seed,
                                  [&](const Variant& variant, std::uint64_t pair_seed) {
                                    return run_rolling_deploy(variant, *record, seconds, pair_seed);
                                  });
  add(rolled);
  rolled.print(
      "rolling deploy over three backends at 110% of the capacity, first 5 s and all after the first restart",
      kVariantCount);
  std::string loads;
  for (const double load : flags["loads"].as<std::vector<double>>()) {
    for (const bool starts_cold : {true, false}) {
      const Table started =
          run_rounds(pairs, pairs_at_once, 2, seed, [&](const Variant& variant, std::uint64_t pair_seed) {
            return run_single_start(variant, *record, load, starts_cold, seconds / 2, pair_seed);
          });
      add(started);
      started.print(fmt::format("one backend starts {} at {:.1f} times its capacity",
                                starts_cold ? "cold" : "warm", load)
                        .c_str(),
                    2);
      const auto gain = started.difference(0, 1, true);
      loads += fmt::format("gain5_{}_{:.1f}={:.4f} gain5_{}_{:.1f}_ci={:.4f} ", starts_cold ? "cold" : "warm",
                           load, mean(gain), starts_cold ? "cold" : "warm", load, half_interval(gain));
    }
  }
  killer.join();
  const auto gain = rolled.difference(0, 1, false), stale = rolled.difference(2, 3, false),
             poisoned = rolled.difference(4, 1, false);
  fmt::print(
      "difference to without, mean and half of the 95% interval: with {:+.4f} +- {:.4f}, stale {:+.4f} +- "
      "{:.4f}, "
      "poisoned {:+.4f} +- {:.4f}; {} backends restored statistics\n",
      mean(gain), half_interval(gain), mean(stale), half_interval(stale), mean(poisoned),
      half_interval(poisoned), restored);
  fmt::print(
      "figures: worth20_with={:.4f} worth20_without={:.4f} worth20_stale={:.4f} worth20_stale_without={:.4f} "
      "worth20_poisoned={:.4f} gain_with={:.4f} gain_with_ci={:.4f} loss_stale={:.4f} loss_stale_ci={:.4f} "
      "loss_poisoned={:.4f} loss_poisoned_ci={:.4f} {}garbage_starts={} kills={} rule_breaks={} "
      "write_reactor_ms_max={:.3f} pairs={} seconds={:.0f}\n",
      rolled.mean_served_share(0, false), rolled.mean_served_share(1, false),
      rolled.mean_served_share(2, false), rolled.mean_served_share(3, false),
      rolled.mean_served_share(4, false), mean(gain), half_interval(gain), -mean(stale), half_interval(stale),
      -mean(poisoned), half_interval(poisoned), loads, corrupt_records.load(), flags["kills"].as<int>(),
      violations, max_write_ms, gain.size(), seconds);
  return 0;
}
