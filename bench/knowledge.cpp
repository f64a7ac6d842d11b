// What knowledge is worth to relays that are restarted under load. First a rolling deploy over a fleet of
// relays whose callers go elsewhere: with what the life before learned, without, with what is no longer true
// (the runtimes are three times slower than remembered) and with what a bad spell taught. Then, on single
// relays, why: how much is decided wrongly while nothing is known, by the load that meets the start. Fleets
// of a round run side by side, each among stand-ins of its own; rounds are pairs. Beside them one relay is
// killed at random and its folder read after each kill.
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
// As at a site of the operators': work, target and request timeout of its routes, and how cold a life begins.
struct TypePlan {
  const char* name;
  double work, target, timeout, share, priority_weight;
};
constexpr TypePlan kTypes[] = {
    {"read", 0.22, 1.3, 3.3, 0.43, 1}, {"push", 0.36, 2.2, 5.4, 0.40, 1}, {"close", 0.36, 2.2, 5.4, 0.17, 3}};
constexpr int kCores = 4;
constexpr double kColdFrom = 0.2, kColdTime = 17;

constexpr int kRelays = 3;
constexpr double kBefore = 6, kBetween = 4;  // s: before the first restart, between two

struct Plan {
  const char* name;
  double slower;  // x the remembered work, from the restart on
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
    site.types.push_back({t.name, "retryable", t.target, t.timeout, 0, t.priority_weight});
  site.cores = kCores;
  site.slow_start_speed = kColdFrom;
  site.slow_start_seconds = kColdTime;
  site.operators = operators;
  return site;
}

// A share of what the cores do when they are warm; rejected requests come back twice.
Callers::Options load_of(double share, int relays, std::uint64_t seed) {
  double work = 0;
  for (const TypePlan& t : kTypes) work += t.work * t.share;
  const double all = share * kCores * relays / work;
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
  o.slow_start_speed = cold ? kColdFrom : 1;
  o.slow_start_seconds = cold ? kColdTime : 0;
  return o;
}

const std::string kOn = "knowledge\n    enabled on\n    folder FOLDER\n    interval 1s\n";

// A warm life at full load teaches; its record is what the rounds begin with.
std::optional<statistics::StatisticsRecord> taught(double seconds, std::uint64_t seed) {
  Fleet fleet(kBinary, site_of(kOn), runtime_of(1, false), load_of(1.1, 1, seed));
  if (!fleet.start()) return std::nullopt;
  fleet.loop.run_for(seconds);
  fleet.settle(2);
  fleet.shut_down();
  const auto disk = store::open_folder(fleet.folder());
  return statistics::StatisticsFolder(*disk).read().record;
}

void leave_behind(const std::string& folder, statistics::StatisticsRecord record, bool bad_spell) {
  record.written_at = unix_now();
  record.under_pressure = bad_spell;
  for (auto& type : record.routes) {
    if (!bad_spell) break;
    type.run.bins.assign(13, 0);
    type.run.bins[11] = 20, type.run.sum = 20 * 8;
  }
  const auto disk = store::open_folder(folder);
  statistics::StatisticsFolder(*disk).write(record);
}

// What became of the things that were first asked for in a span of time.
struct Fate {
  double asked = 0, served = 0;                            // importance
  int things = 0, late = 0, failed = 0, rejected_all = 0;  // of things: served late, or not at all
  double worth() const { return asked > 0 ? served / asked : 0; }
};

Fate fate_of(const Journal& journal, double from, double until) {
  struct Thing {
    double priority_weight = 0;
    bool served = false, late = false, failed = false;
  };
  std::map<std::string, Thing> things;
  std::map<double, const Attempt*> by_time;
  for (const auto& [request, t] : journal.attempts) by_time[t.sent] = &t;
  std::map<std::string, bool> before;
  for (const auto& [sent, t] : by_time) {
    if (sent < from) before[t->key] = true;
    if (sent < from || before.contains(t->key)) continue;
    if (sent > until && !things.contains(t->key)) continue;
    const auto type = std::find_if(std::begin(kTypes), std::end(kTypes),
                                   [&](const TypePlan& p) { return t->type == p.name; });
    Thing& thing = things[t->key];
    thing.priority_weight = type->priority_weight;
    for (const Answer& a : t->answers) {
      const bool succeeded = a.kind == AnswerKind::kSucceeded;
      thing.served |= succeeded && a.at - t->sent <= type->target;
      thing.late |= succeeded && a.at - t->sent > type->target;
      thing.failed |= a.kind == AnswerKind::kFailed;
    }
  }
  Fate fate;
  for (const auto& [key, thing] : things) {
    ++fate.things;
    fate.asked += thing.priority_weight;
    if (thing.served)
      fate.served += thing.priority_weight;
    else if (thing.late)
      ++fate.late;
    else if (thing.failed)
      ++fate.failed;
    else
      ++fate.rejected_all;
  }
  return fate;
}

struct Played {
  Fate first, all;  // of the first 5 s, and of the whole time after the (first) restart
  int broken = 0;
  double reactor_ms = 0;
  int used = 0;
};

void look_at(Played& out, Server& server) {
  const auto counters = server.process->counters();
  const auto count = [&](const char* name) { return counters.contains(name) ? counters.at(name) : 0; };
  out.reactor_ms = std::max(out.reactor_ms, static_cast<double>(count("statistics.max_write_us")) / 1000);
  out.used += count("statistics.restored") > 0;
}

void judge(Played& out, const char* name, const Journal& journal, double from, double until) {
  out.first = fate_of(journal, from, std::min(until, from + 5));
  out.all = fate_of(journal, from, until);
  RuleLimits limits = Fleet::limits_of(site_of(""));
  limits.survivable_concurrency *= kRelays;  // the journal counts all runtimes together
  const Verdict verdict = check_rules(journal, limits);
  for (const std::string& line : verdict.broken) fmt::print("  {}: {}\n", name, line);
  out.broken = static_cast<int>(verdict.broken.size());
}

// Warm relays serve; then one after another leaves, is off the list, and comes back cold.
Played roll(const Plan& plan, const statistics::StatisticsRecord& record, double seconds,
            std::uint64_t seed) {
  Played out;
  Loop loop;
  Journal journal;
  Callers callers(loop, journal, load_of(1.1 / plan.slower, kRelays, seed));
  std::vector<std::unique_ptr<Server>> relays;
  for (int i = 0; i < kRelays; ++i) {
    relays.push_back(std::make_unique<Server>(loop, journal, callers, kBinary,
                                              site_of(plan.remembers ? kOn : std::string()),
                                              runtime_of(1, false), i));
    if (plan.remembers) leave_behind(relays.back()->folder(), record, false);
    if (!relays.back()->start()) return out.broken = 1, out;
  }
  loop.run_for(kBefore);
  const double from = now();
  for (int i = 0; i < kRelays; ++i) {
    Server& relay = *relays[static_cast<std::size_t>(i)];
    const double turn = now();
    relay.send_shutdown_notice();
    loop.run_for(0.2);  // the list is read by then
    callers.avoid(i);
    if (!relay.wait_for_end()) return out.broken = 1, out;
    if (plan.bad_spell) leave_behind(relay.folder(), record, true);
    relay.runtime.options = runtime_of(plan.slower, true);
    if (!relay.start()) return out.broken = 1, out;
    if (i + 1 < kRelays) loop.run_for(std::max(0.0, turn + kBetween - now()));
  }
  loop.run_for(std::max(0.0, from + seconds - now()));
  const double until = now();
  callers.set_load_enabled(false);
  for (const auto& relay : relays) look_at(out, *relay);
  loop.run_until([&] { return callers.attempts_in_flight() == 0 && callers.unfinished_tasks() == 0; }, 6);
  for (const auto& relay : relays) relay->shut_down();
  judge(out, plan.name, journal, from, until);
  return out;
}

// One relay that starts in the middle of a load.
Played meet(const Plan& plan, const statistics::StatisticsRecord& record, double load, bool cold,
            double seconds, std::uint64_t seed) {
  Played out;
  Fleet fleet(kBinary, site_of(plan.remembers ? kOn : std::string()), runtime_of(plan.slower, cold),
              load_of(load / plan.slower, 1, seed));
  if (plan.remembers) leave_behind(fleet.folder(), record, plan.bad_spell);
  const double from = now();
  if (!fleet.start()) return out.broken = 1, out;
  fleet.loop.run_for(seconds);
  const double until = now();
  fleet.callers.set_load_enabled(false);
  look_at(out, fleet.server);
  fleet.settle(6);
  fleet.shut_down();
  judge(out, plan.name, fleet.journal, from, until);
  return out;
}

// Kills at random, a record every fifth of a second; what is in the folder after each must be whole or
// nothing.
int garbage_after(int kills, std::uint64_t seed) {
  Fleet fleet(kBinary, site_of("knowledge\n    enabled on\n    folder FOLDER\n    interval 200ms\n"),
              runtime_of(1, false), load_of(0.55, 1, seed));
  pcg64 random(seed);
  int garbage = 0;
  for (int i = 0; i < kills; ++i) {
    if (!fleet.start()) return garbage + 1;
    fleet.loop.run_for(0.05 + static_cast<double>(random() % 1000) / 1000 * 0.4);
    fleet.kill();
    const auto disk = store::open_folder(fleet.folder());
    const statistics::RecordReadResult read = statistics::StatisticsFolder(*disk).read();
    garbage += !read.record && read.problem != statistics::ReadProblem::kMissing;
  }
  return garbage;
}

double mean(const std::vector<double>& v) {
  double sum = 0;
  for (const double x : v) sum += x;
  return v.empty() ? 0 : sum / static_cast<double>(v.size());
}
// Half the width of the 95% interval of the mean of paired differences (Student's t, from below).
double interval(const std::vector<double>& v) {
  if (v.size() < 2) return 1;
  const double m = mean(v), t = v.size() < 10 ? 2.8 : v.size() < 20 ? 2.262 : 2.093;
  double squares = 0;
  for (const double x : v) squares += (x - m) * (x - m);
  return t * std::sqrt(squares / static_cast<double>(v.size() - 1) / static_cast<double>(v.size()));
}

// Plays of one kind, a column a plan.
struct Table {
  std::vector<Played> plays[kPlanCount];
  std::vector<double> difference(std::size_t a, std::size_t b, bool first) const {
    std::vector<double> out;
    for (std::size_t i = 0; i < plays[a].size(); ++i) {
      const Played &of_a = plays[a][i], &of_b = plays[b][i];
      out.push_back(first ? of_a.first.worth() - of_b.first.worth() : of_a.all.worth() - of_b.all.worth());
    }
    return out;
  }
  double worth(std::size_t plan, bool first) const {
    std::vector<double> out;
    for (const Played& p : plays[plan]) out.push_back(first ? p.first.worth() : p.all.worth());
    return mean(out);
  }
  void print(const char* title, std::size_t plans) const {
    fmt::print("{}\n{:<18}{:>9}{:>9}{:>9}{:>9}{:>9}{:>12}\n", title, "", "worth5", "worth", "late", "failed",
               "nacked", "of things");
    for (std::size_t i = 0; i < plans; ++i) {
      int things = 0, late = 0, failed = 0, rejected = 0;
      for (const Played& p : plays[i]) {
        things += p.first.things, late += p.first.late, failed += p.first.failed;
        rejected += p.first.rejected_all;
      }
      const auto share = [&](int n) { return things > 0 ? static_cast<double>(n) / things : 0; };
      fmt::print("{:<18}{:>9.3f}{:>9.3f}{:>9.3f}{:>9.3f}{:>9.3f}{:>12}\n", kPlans[i].name, worth(i, true),
                 worth(i, false), share(late), share(failed), share(rejected), things);
    }
    const auto gain5 = difference(0, 1, true), gain = difference(0, 1, false);
    fmt::print("  with against without: first 5 s {:+.4f} +- {:.4f}, whole {:+.4f} +- {:.4f}, {} pairs\n",
               mean(gain5), interval(gain5), mean(gain), interval(gain), gain.size());
  }
};

// Rounds of `side` pairs at once; a thread a play.
template <class Play>
Table rounds(int pairs, int side, std::size_t plans, std::uint64_t seed, const Play& play) {
  Table table;
  for (int done = 0; done < pairs; done += side) {
    const int now_many = std::min(side, pairs - done);
    std::vector<Played> outcomes(static_cast<std::size_t>(now_many) * plans);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
      threads.emplace_back([&, i] {
        outcomes[i] = play(kPlans[i % plans], seed + static_cast<std::uint64_t>(done) + i / plans);
      });
    }
    for (std::thread& thread : threads) thread.join();
    for (std::size_t i = 0; i < outcomes.size(); ++i) table.plays[i % plans].push_back(outcomes[i]);
  }
  return table;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("knowledge", "what learning that survives a restart is worth");
  options.add_options()("seconds", "after the first restart", cxxopts::value<double>()->default_value("20"))(
      "seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "pairs", "", cxxopts::value<int>()->default_value("3"))("side", "pairs played side by side",
                                                              cxxopts::value<int>()->default_value("3"))(
      "loads", "that meet single relays, as shares of the warm capacity; empty: none",
      cxxopts::value<std::vector<double>>()->default_value("1.1,3,8"))(
      "kills", "", cxxopts::value<int>()->default_value("20"));
  const auto flags = options.parse(argc, argv);
  const double seconds = flags["seconds"].as<double>();
  const auto seed = flags["seed"].as<std::uint64_t>();
  const int pairs = flags["pairs"].as<int>(), side = flags["side"].as<int>();
  const std::optional<statistics::StatisticsRecord> record = taught(12, seed);
  if (!record) return fmt::print("nothing was learned\n"), 1;
  std::atomic<int> garbage{0};
  std::thread killer([&] { garbage = garbage_after(flags["kills"].as<int>(), seed); });
  int broken = 0, used = 0;
  double reactor_ms = 0;
  const auto add = [&](const Table& table) {
    for (const auto& plays : table.plays) {
      for (const Played& p : plays) {
        broken += p.broken, used += p.used;
        reactor_ms = std::max(reactor_ms, p.reactor_ms);
      }
    }
  };
  const Table rolled = rounds(pairs, side, kPlanCount, seed, [&](const Plan& plan, std::uint64_t of) {
    return roll(plan, *record, seconds, of);
  });
  add(rolled);
  rolled.print("rolling deploy over three relays at 110%, first 5 s and all after the first restart",
               kPlanCount);
  std::string loads;
  for (const double load : flags["loads"].as<std::vector<double>>()) {
    for (const bool cold : {true, false}) {
      const Table met = rounds(pairs, side, 2, seed, [&](const Plan& plan, std::uint64_t of) {
        return meet(plan, *record, load, cold, seconds / 2, of);
      });
      add(met);
      met.print(fmt::format("one relay starts {} at {:.1f} times its capacity", cold ? "cold" : "warm", load)
                    .c_str(),
                2);
      const auto gain = met.difference(0, 1, true);
      loads += fmt::format("gain5_{}_{:.1f}={:.4f} gain5_{}_{:.1f}_ci={:.4f} ", cold ? "cold" : "warm", load,
                           mean(gain), cold ? "cold" : "warm", load, interval(gain));
    }
  }
  killer.join();
  const auto gain = rolled.difference(0, 1, false), stale = rolled.difference(2, 3, false),
             poisoned = rolled.difference(4, 1, false);
  fmt::print(
      "against without, mean and half of the 95% interval: with {:+.4f} +- {:.4f}, stale {:+.4f} +- {:.4f}, "
      "poisoned {:+.4f} +- {:.4f}; {} lives began with knowledge\n",
      mean(gain), interval(gain), mean(stale), interval(stale), mean(poisoned), interval(poisoned), used);
  fmt::print(
      "figures: worth20_with={:.4f} worth20_without={:.4f} worth20_stale={:.4f} worth20_stale_without={:.4f} "
      "worth20_poisoned={:.4f} gain_with={:.4f} gain_with_ci={:.4f} loss_stale={:.4f} loss_stale_ci={:.4f} "
      "loss_poisoned={:.4f} loss_poisoned_ci={:.4f} {}garbage_starts={} kills={} rule_breaks={} "
      "write_reactor_ms_max={:.3f} pairs={} seconds={:.0f}\n",
      rolled.worth(0, false), rolled.worth(1, false), rolled.worth(2, false), rolled.worth(3, false),
      rolled.worth(4, false), mean(gain), interval(gain), -mean(stale), interval(stale), -mean(poisoned),
      interval(poisoned), loads, garbage.load(), flags["kills"].as<int>(), broken, reactor_ms, gain.size(),
      seconds);
  return 0;
}
