// What a restarted relay serves in its first seconds at 110% load, beginning with what an earlier life
// learned, without, with what is no longer true (the runtime is three times slower than remembered), and with
// what a bad spell taught. Relays of a round run side by side, each among stand-ins of its own with a runtime
// that starts cold; rounds are pairs. Beside them one relay is killed at random and its folder read after
// each kill.
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cxxopts.hpp>
#include <thread>

#include "fleet.h"
#include "knowledge/keeper.h"

using namespace damsonspoke;
using namespace damsonspoke::standins;

namespace {

const char* const kBinary = DAMSONSPOKE_BINARY;
// As at a site of the operators': work, target and op timeout of its op types, and how cold a life begins.
struct TypePlan {
  const char* name;
  double work, target, timeout, share, importance;
};
constexpr TypePlan kTypes[] = {
    {"read", 0.22, 1.3, 3.3, 0.43, 1}, {"push", 0.36, 2.2, 5.4, 0.40, 1}, {"close", 0.36, 2.2, 5.4, 0.17, 3}};
constexpr int kCores = 4;
constexpr double kColdFrom = 0.2, kColdTime = 17;

struct Plan {
  const char* name;
  double slower;  // x the remembered work
  bool remembers;
  bool bad_spell;
};
constexpr Plan kPlans[] = {{"with", 1, true, false},
                           {"without", 1, false, false},
                           {"stale", 3, true, false},
                           {"without, slower", 3, false, false},
                           {"poisoned", 1, true, true}};
constexpr std::size_t kPlanCount = std::size(kPlans);

SiteSpec site_of(const std::string& operators) {
  SiteSpec site;
  for (const TypePlan& t : kTypes)
    site.types.push_back({t.name, "retryable", t.target, t.timeout, 0, t.importance});
  site.cores = kCores;
  site.cold_from = kColdFrom;
  site.cold_time = kColdTime;
  site.operators = operators;
  return site;
}

// 110% of what the cores do when they are warm; rejected ops come back twice.
Callers::Options load_of(double slower, std::uint64_t seed) {
  double work = 0;
  for (const TypePlan& t : kTypes) work += t.work * t.share;
  const double all = 1.1 * kCores / (work * slower);
  Callers::Options load;
  for (const TypePlan& t : kTypes) {
    Flow flow{t.name, all * t.share, t.timeout};
    flow.retries = 2;
    flow.pause = 0.3;
    load.flows.push_back(flow);
  }
  load.connections = 12;
  load.seed = seed;
  return load;
}

Runtime::Options runtime_of(double slower, bool cold) {
  Runtime::Options o;
  o.cores = kCores;
  for (const TypePlan& t : kTypes) o.work_by_type[t.name] = t.work * slower;
  o.cold_from = cold ? kColdFrom : 1;
  o.cold_time = cold ? kColdTime : 0;
  return o;
}

const std::string kOn = "knowledge\n    enabled on\n    folder FOLDER\n    interval 1s\n";

// A warm life at full load teaches; its record is what the rounds begin with.
std::optional<knowledge::Record> taught(double seconds, std::uint64_t seed) {
  Fleet fleet(kBinary, site_of(kOn), runtime_of(1, false), load_of(1, seed));
  if (!fleet.start()) return std::nullopt;
  fleet.loop.run_for(seconds);
  fleet.settle(2);
  fleet.leave();
  const auto disk = store::open_folder(fleet.folder());
  return knowledge::Folder(*disk).read().record;
}

struct Played {
  double worth = 0;
  int broken = 0;
  double reactor_ms = 0;
  bool used = false;
};

Played play(const Plan& plan, const knowledge::Record& record, double seconds, std::uint64_t seed) {
  Played out;
  Fleet fleet(kBinary, site_of(kOn), runtime_of(plan.slower, true), load_of(plan.slower, seed));
  if (plan.remembers) {
    knowledge::Record mine = record;
    mine.written = unix_now();
    mine.troubled = plan.bad_spell;
    if (plan.bad_spell) {
      for (auto& type : mine.types) {
        type.run.bins.assign(13, 0);
        type.run.bins[11] = 20, type.run.sum = 20 * 8;
      }
    }
    const auto disk = store::open_folder(fleet.folder());
    knowledge::Folder(*disk).write(mine);
  }
  if (!fleet.start()) return out.broken = 1, out;
  fleet.loop.run_for(seconds);
  const double until = now();
  fleet.callers.want_more(false);
  const auto counters = fleet.process->counters();
  fleet.settle(6);
  fleet.leave();
  double asked = 0, served = 0;
  std::map<std::string, bool> seen;
  for (const auto& [op, t] : fleet.journal.tries) {
    const auto type = std::find_if(std::begin(kTypes), std::end(kTypes),
                                   [&](const TypePlan& p) { return t.type == p.name; });
    const double importance = type->importance, target = type->target;
    if (t.sent > until) continue;
    if (!seen.contains(t.key)) asked += importance, seen[t.key] = false;
    for (const Answer& a : t.answers) {
      if (a.kind == AnswerKind::kAcked && a.at - t.sent <= target && !seen[t.key])
        served += importance, seen[t.key] = true;
    }
  }
  out.worth = asked > 0 ? served / asked : 0;
  const Verdict verdict = check_rules(fleet.journal, fleet.limits());
  for (const std::string& line : verdict.broken) fmt::print("  {}: {}\n", plan.name, line);
  out.broken = static_cast<int>(verdict.broken.size());
  const auto count = [&](const char* name) { return counters.contains(name) ? counters.at(name) : 0; };
  out.reactor_ms = static_cast<double>(count("knowledge.most_us")) / 1000;
  out.used = count("knowledge.used") > 0;
  return out;
}

// Kills at random, a record every fifth of a second; what is in the folder after each must be whole or
// nothing.
int garbage_after(int kills, std::uint64_t seed) {
  Fleet fleet(kBinary, site_of("knowledge\n    enabled on\n    folder FOLDER\n    interval 200ms\n"),
              runtime_of(1, false), load_of(2, seed));
  pcg64 random(seed);
  int garbage = 0;
  for (int i = 0; i < kills; ++i) {
    if (!fleet.start()) return garbage + 1;
    fleet.loop.run_for(0.05 + static_cast<double>(random() % 1000) / 1000 * 0.4);
    fleet.kill();
    const auto disk = store::open_folder(fleet.folder());
    const knowledge::Reading read = knowledge::Folder(*disk).read();
    garbage += !read.record && read.problem != "nothing is there";
  }
  return garbage;
}

double mean(const std::vector<double>& v) {
  double sum = 0;
  for (const double x : v) sum += x;
  return v.empty() ? 0 : sum / static_cast<double>(v.size());
}
// Half the width of the 95% interval of the mean of paired differences (Student's t for ten pairs and more).
double interval(const std::vector<double>& v) {
  if (v.size() < 2) return 1;
  const double m = mean(v), t = v.size() < 10 ? 2.8 : 2.262;
  double squares = 0;
  for (const double x : v) squares += (x - m) * (x - m);
  return t * std::sqrt(squares / static_cast<double>(v.size() - 1) / static_cast<double>(v.size()));
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("knowledge", "what learning that survives a restart is worth");
  options.add_options()("seconds", "after each restart", cxxopts::value<double>()->default_value("10"))(
      "seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "pairs", "", cxxopts::value<int>()->default_value("3"))("kills", "",
                                                              cxxopts::value<int>()->default_value("20"));
  const auto flags = options.parse(argc, argv);
  const double seconds = flags["seconds"].as<double>();
  const auto seed = flags["seed"].as<std::uint64_t>();
  const std::optional<knowledge::Record> record = taught(12, seed);
  if (!record) return fmt::print("nothing was learned\n"), 1;
  std::atomic<int> garbage{0};
  std::thread killer([&] { garbage = garbage_after(flags["kills"].as<int>(), seed); });
  std::vector<double> worth[kPlanCount];
  int broken = 0, used = 0;
  double reactor_ms = 0;
  for (int pair = 0; pair < flags["pairs"].as<int>(); ++pair) {
    Played outcomes[kPlanCount];
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < kPlanCount; ++i) {
      threads.emplace_back([&, i] {
        outcomes[i] = play(kPlans[i], *record, seconds, seed + static_cast<std::uint64_t>(pair));
      });
    }
    for (std::thread& thread : threads) thread.join();
    fmt::print("pair {:>2}:", pair + 1);
    for (std::size_t i = 0; i < kPlanCount; ++i) {
      worth[i].push_back(outcomes[i].worth);
      broken += outcomes[i].broken;
      reactor_ms = std::max(reactor_ms, outcomes[i].reactor_ms);
      used += outcomes[i].used;
      fmt::print("  {} {:.3f}", kPlans[i].name, outcomes[i].worth);
    }
    fmt::print("\n");
  }
  killer.join();
  const auto difference = [&](std::size_t a, std::size_t b) {
    std::vector<double> out;
    for (std::size_t i = 0; i < worth[a].size(); ++i) out.push_back(worth[a][i] - worth[b][i]);
    return out;
  };
  const auto gain = difference(0, 1), stale = difference(2, 3), poisoned = difference(4, 1);
  fmt::print(
      "against without, mean and half of the 95% interval: with {:+.4f} +- {:.4f}, stale {:+.4f} +- {:.4f}, "
      "poisoned {:+.4f} +- {:.4f}; {} lives began with knowledge\n",
      mean(gain), interval(gain), mean(stale), interval(stale), mean(poisoned), interval(poisoned), used);
  fmt::print(
      "figures: worth20_with={:.4f} worth20_without={:.4f} worth20_stale={:.4f} worth20_stale_without={:.4f} "
      "worth20_poisoned={:.4f} gain_with={:.4f} gain_with_ci={:.4f} loss_stale={:.4f} loss_stale_ci={:.4f} "
      "loss_poisoned={:.4f} loss_poisoned_ci={:.4f} garbage_starts={} kills={} rule_breaks={} "
      "write_reactor_ms_max={:.3f} pairs={} seconds={:.0f}\n",
      mean(worth[0]), mean(worth[1]), mean(worth[2]), mean(worth[3]), mean(worth[4]), mean(gain),
      interval(gain), -mean(stale), interval(stale), -mean(poisoned), interval(poisoned), garbage.load(),
      flags["kills"].as<int>(), broken, reactor_ms, worth[0].size(), seconds);
  return 0;
}
