// Two levels against one: 4 forwarders before 3 planners, and 3 single relays, on the same stand-in runtimes
// and under the same load, in turns, at 0.8, 1.0 and 1.2 of the capacity; then two levels with planners
// killed in mid-surge. Importance served within target over that asked for; what a dead planner held is
// counted apart.
#include <fmt/format.h>

#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>

#include "two_level.h"

using namespace damsonspoke;
using namespace damsonspoke::standins;

namespace {

const char* const kBinary = DAMSONSPOKE_BINARY;
constexpr int kForwarders = 4, kPlanners = 3, kCores = 2;

struct TypePlan {
  const char* name;
  double work, target, timeout, share, priority_weight;
};
constexpr TypePlan kTypes[] = {
    {"read", 0.010, 0.25, 0.6, 0.45, 1}, {"push", 0.016, 0.4, 1, 0.38, 1}, {"close", 0.016, 0.4, 1, 0.17, 3}};

SiteSpec site() {
  SiteSpec s;
  for (const TypePlan& t : kTypes)
    s.types.push_back({t.name, "retryable", t.target, t.timeout, 0, t.priority_weight});
  s.cores = kCores;
  return s;
}

Runtime::Options runtime() {
  Runtime::Options o;
  o.cores = kCores;
  for (const TypePlan& t : kTypes) o.work_by_type[t.name] = t.work;
  return o;
}

Callers::Options load_of(double share, std::uint64_t seed) {
  double work = 0;
  for (const TypePlan& t : kTypes) work += t.work * t.share;
  Callers::Options load;
  for (const TypePlan& t : kTypes) {
    Flow flow{t.name, share * kPlanners * kCores / work * t.share, t.timeout};
    flow.retries = 2;
    flow.pause = 0.1;
    load.flows.push_back(flow);
  }
  load.connections = 6;
  load.seed = seed;
  return load;
}

struct Played {
  double asked = 0, served = 0,
         held = 0;            // importance; held: of failed tries, in hand at a planner that died
  std::vector<double> waits;  // s, of acked tries
  int double_answers = 0, lost = 0, double_runs = 0, broken = 0;
  double forwarder_cpu = 0;  // s
  long forwarder_kb = 0;
  std::uint64_t forwarded = 0;
  double worth() const { return asked > 0 ? served / asked : 0; }
  double worth_but_held() const { return asked > held ? served / (asked - held) : 0; }
};

// `kills`: when a planner died. A try in hand at that moment that failed was held by it.
void judge(Played& out, const Journal& journal, const RuleLimits& limits, const std::vector<double>& kills) {
  std::map<std::string, std::pair<double, bool>> things;  // importance, served
  std::map<std::string, bool> held;
  for (const auto& [request, t] : journal.attempts) {
    const TypePlan& type = *std::find_if(std::begin(kTypes), std::end(kTypes),
                                         [&](const TypePlan& p) { return t.type == p.name; });
    auto& [priority_weight, served] = things[t.key];
    priority_weight = type.priority_weight;
    for (const Answer& a : t.answers) {
      if (a.kind == AnswerKind::kSucceeded) out.waits.push_back(a.at - t.sent);
      served |= a.kind == AnswerKind::kSucceeded && a.at - t.sent <= type.target;
      for (const double at : kills)
        held[t.key] |= a.kind == AnswerKind::kFailed && t.sent <= at && a.at >= at;
    }
  }
  for (const auto& [key, thing] : things) {
    out.asked += thing.first;
    if (thing.second) out.served += thing.first;
    if (!thing.second && held[key]) out.held += thing.first;
  }
  const Verdict verdict = check_rules(journal, limits);
  for (const std::string& line : verdict.broken) fmt::print("  {}\n", line);
  out.broken += static_cast<int>(verdict.broken.size());
  out.double_answers += verdict.answered_twice;
  out.lost += verdict.unanswered;
  out.double_runs += verdict.double_runs;
}

// Each server in turn dies and is back within a second; `kills` tells when.
template <class Servers>
bool kill_in_turn(Loop& loop, Servers& servers, double seconds, std::vector<double>& kills) {
  for (const auto& server : servers) {
    loop.run_for(seconds / (kPlanners + 1));
    kills.push_back(now());
    server->kill();
    loop.run_for(0.4);
    if (!server->start()) return false;
  }
  loop.run_for(seconds / (kPlanners + 1));
  return true;
}

Played one_level(double share, double seconds, std::uint64_t seed, bool with_kills) {
  Played out;
  Loop loop;
  Journal journal;
  Callers callers(loop, journal, load_of(share, seed));
  std::vector<std::unique_ptr<Server>> relays;
  for (int i = 0; i < kPlanners; ++i) {
    relays.push_back(std::make_unique<Server>(loop, journal, callers, kBinary, site(), runtime(), i));
    if (!relays.back()->start()) return out.broken = 1, out;
  }
  std::vector<double> kills;
  if (!with_kills) {
    loop.run_for(seconds);
  } else if (!kill_in_turn(loop, relays, seconds, kills)) {
    return out.broken = 1, out;
  }
  callers.set_load_enabled(false);
  loop.run_until([&] { return callers.attempts_in_flight() == 0 && callers.unfinished_tasks() == 0; }, 4);
  for (const auto& relay : relays) relay->shut_down();
  RuleLimits limits = Fleet::limits_of(site());
  limits.survivable_concurrency *= kPlanners;
  judge(out, journal, limits, kills);
  return out;
}

Played two_levels(double share, double seconds, std::uint64_t seed, bool with_kills) {
  Played out;
  TwoLevel fleet(kBinary, site(), runtime(), load_of(share, seed), kForwarders, kPlanners);
  if (!fleet.start()) return out.broken = 1, out;
  std::vector<double> kills;
  for (const auto& forwarder : fleet.forwarders) out.forwarder_cpu -= forwarder->process->processor_time();
  if (!with_kills) {
    fleet.loop.run_for(seconds);
  } else if (!kill_in_turn(fleet.loop, fleet.planners, seconds, kills)) {
    return out.broken = 1, out;
  }
  fleet.settle(4);
  for (const auto& forwarder : fleet.forwarders) {
    const auto counters = forwarder->process->counters();
    out.forwarded += counters.contains("requests.read") ? counters.at("requests.read") : 0;
    out.forwarder_cpu += forwarder->process->processor_time();
    out.forwarder_kb = std::max(out.forwarder_kb, forwarder->process->resident_kb());
  }
  if (!fleet.shut_down()) fmt::print("  did not leave in time\n"), ++out.broken;
  judge(out, fleet.journal, fleet.limits(), kills);
  return out;
}

// One forwarder alone with a thousand requests a second: what a request costs where wakes are shared.
double busy_cpu_us(double seconds, std::uint64_t seed) {
  Runtime::Options quick;
  quick.cores = kCores, quick.work = 0.001;
  Callers::Options load;
  load.flows = {{"read", 1000, 0.6}};
  load.connections = 24, load.seed = seed;
  TwoLevel fleet(kBinary, site(), quick, load, 1, kPlanners);
  if (!fleet.start()) return -1;
  const Process& process = *fleet.forwarders[0]->process;
  const double begin = process.processor_time();
  fleet.loop.run_for(seconds);
  const double spent = process.processor_time() - begin;
  const auto counters = fleet.forwarders[0]->process->counters();
  fleet.settle(2);
  fleet.shut_down();
  return spent / static_cast<double>(std::max<std::uint64_t>(1, counters.at("requests.read"))) * 1e6;
}

// What a hop adds of itself: the same light load, which nothing waits for, on the same runtime, through one
// relay and through one forwarder before one planner, by turns.
std::pair<std::vector<double>, std::vector<double>> hop(double seconds, std::uint64_t seed) {
  Runtime::Options quick;
  quick.cores = kCores, quick.work = 0.002;
  std::pair<std::vector<double>, std::vector<double>> waits;
  const auto collect = [](const Journal& journal, std::vector<double>& into) {
    for (const auto& [request, t] : journal.attempts) {
      if (t.answers.size() == 1 && t.answers[0].kind == AnswerKind::kSucceeded)
        into.push_back(t.answers[0].at - t.sent);
    }
  };
  constexpr int kTurns = 4;
  for (int turn = 0; turn < kTurns; ++turn) {
    Callers::Options load;
    load.flows = {{"read", 60, 0.6}};
    load.connections = 4, load.seed = seed + static_cast<std::uint64_t>(turn);
    {
      Fleet fleet(kBinary, site(), quick, load);
      if (!fleet.server.start()) return waits;
      fleet.loop.run_for(seconds / kTurns);
      fleet.settle(2);
      fleet.server.shut_down();
      collect(fleet.journal, waits.first);
    }
    TwoLevel fleet(kBinary, site(), quick, load, 1, 1);
    if (!fleet.start()) return waits;
    fleet.loop.run_for(seconds / kTurns);
    fleet.settle(2);
    fleet.shut_down();
    collect(fleet.journal, waits.second);
  }
  return waits;
}

double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

void add(Played& to, const Played& from) {
  to.asked += from.asked, to.served += from.served, to.held += from.held;
  to.waits.insert(to.waits.end(), from.waits.begin(), from.waits.end());
  to.double_answers += from.double_answers, to.lost += from.lost, to.double_runs += from.double_runs;
  to.broken += from.broken, to.forwarder_cpu += from.forwarder_cpu, to.forwarded += from.forwarded;
  to.forwarder_kb = std::max(to.forwarder_kb, from.forwarder_kb);
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("tier", "two levels against one");
  options.add_options()("seconds", "of each play", cxxopts::value<double>()->default_value("10"))(
      "seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "rounds", "", cxxopts::value<int>()->default_value("2"));
  const auto flags = options.parse(argc, argv);
  const double seconds = flags["seconds"].as<double>();
  const auto seed = flags["seed"].as<std::uint64_t>();
  constexpr double kShares[] = {0.8, 1.0, 1.2};
  Played single[3], two[3], killed[3], single_killed[3];
  for (int round = 0; round < flags["rounds"].as<int>(); ++round) {
    const std::uint64_t of = seed + static_cast<std::uint64_t>(round);
    for (std::size_t i = 0; i < 3; ++i) {
      add(single[i], one_level(kShares[i], seconds, of, false));
      add(single_killed[i], one_level(kShares[i], seconds, of, true));
      add(two[i], two_levels(kShares[i], seconds, of, false));
      add(killed[i], two_levels(kShares[i], seconds, of, true));
    }
  }
  fmt::print("{:<8}{:>9}{:>9}{:>13}{:>9}{:>12}{:>10}{:>10}{:>10}{:>10}\n", "load", "single", "two",
             "single kills", "kills", "but held", "p50 one", "p50 two", "p99 one", "p99 two");
  Played all_single, all_two, all_killed, all_single_killed;
  for (std::size_t i = 0; i < 3; ++i) {
    const Played &a = single[i], &b = two[i], &c = killed[i];
    fmt::print("{:<8}{:>9.4f}{:>9.4f}{:>13.4f}{:>9.4f}{:>12.4f}{:>10.2f}{:>10.2f}{:>10.2f}{:>10.2f}\n",
               kShares[i], a.worth(), b.worth(), single_killed[i].worth(), c.worth(), c.worth_but_held(),
               quantile(a.waits, 0.5) * 1000, quantile(b.waits, 0.5) * 1000, quantile(a.waits, 0.99) * 1000,
               quantile(b.waits, 0.99) * 1000);
    add(all_single, a), add(all_two, b), add(all_killed, c);
    add(all_single_killed, single_killed[i]);
  }
  const auto sum = [&](int Played::*of) { return all_two.*of + all_killed.*of; };
  const auto [through_one, through_two] = hop(seconds, seed);
  fmt::print("a hop alone, {} and {} ops: p50 {:.2f} and {:.2f} ms, p99 {:.2f} and {:.2f} ms\n",
             through_one.size(), through_two.size(), quantile(through_one, 0.5) * 1000,
             quantile(through_two, 0.5) * 1000, quantile(through_one, 0.99) * 1000,
             quantile(through_two, 0.99) * 1000);
  fmt::print(
      "figures: worth_two_level={:.4f} worth_single={:.4f} worth_kills={:.4f} worth_kills_but_held={:.4f} "
      "worth_single_kills={:.4f} "
      "double_answers={} lost={} double_runs={} rule_breaks={} forwarder_cpu_us_per_op={:.1f} "
      "forwarder_cpu_us_per_op_busy={:.1f} added_p50_ms={:.3f} added_p99_ms={:.3f} rss_mb_forwarder={:.1f}\n",
      all_two.worth(), all_single.worth(), all_killed.worth(), all_killed.worth_but_held(),
      all_single_killed.worth(), sum(&Played::double_answers), sum(&Played::lost), sum(&Played::double_runs),
      sum(&Played::broken),
      all_two.forwarder_cpu / static_cast<double>(std::max<std::uint64_t>(1, all_two.forwarded)) * 1e6,
      busy_cpu_us(seconds, seed), (quantile(through_two, 0.5) - quantile(through_one, 0.5)) * 1000,
      (quantile(through_two, 0.99) - quantile(through_one, 0.99)) * 1000,
      static_cast<double>(all_two.forwarder_kb) / 1024);
  return 0;
}
