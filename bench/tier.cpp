// Benchmark of two-level fleets against single backends: 4 forwarders in front of 3 planners, and 3 backends,
// with the same stand-in runtimes and the same load, alternately, at 0.8, 1.0 and 1.2 times the capacity;
// each also with servers killed under load. Measures the share of the priority weight that is served within
// the latency objective. Requests in flight at a planner when it was killed are counted separately.
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

struct RouteProfile {
  const char* name;
  double work, target, timeout, share, priority_weight;
};
constexpr RouteProfile kRoutes[] = {
    {"read", 0.010, 0.25, 0.6, 0.45, 1}, {"push", 0.016, 0.4, 1, 0.38, 1}, {"close", 0.016, 0.4, 1, 0.17, 3}};

SiteSpec site_spec() {
  SiteSpec site;
  for (const RouteProfile& route : kRoutes)
    site.types.push_back({route.name, "retryable", route.target, route.timeout, 0, route.priority_weight});
  site.cores = kCores;
  return site;
}

Runtime::Options runtime_options() {
  Runtime::Options options;
  options.cores = kCores;
  for (const RouteProfile& route : kRoutes) options.work_by_type[route.name] = route.work;
  return options;
}

Callers::Options caller_options(double load_share, std::uint64_t seed) {
  double work = 0;
  for (const RouteProfile& route : kRoutes) work += route.work * route.share;
  Callers::Options load;
  for (const RouteProfile& route : kRoutes) {
    Flow flow{route.name, load_share * kPlanners * kCores / work * route.share, route.timeout};
    flow.retries = 2;
    flow.pause = 0.1;
    load.flows.push_back(flow);
  }
  load.connections = 6;
  load.seed = seed;
  return load;
}

struct TrialResult {
  // Sums of priority weights; lost: of requests with a failed attempt that was in flight at a kill.
  double requested_weight = 0, served_weight = 0, lost_weight = 0;
  std::vector<double> latencies;  // s, of attempts that succeeded
  int duplicate_answers = 0, unanswered = 0, double_runs = 0, violations = 0;
  double forwarder_cpu_seconds = 0;
  long forwarder_resident_kb = 0;
  std::uint64_t forwarded = 0;
  double served_share() const { return requested_weight > 0 ? served_weight / requested_weight : 0; }
  double served_share_without_lost() const {
    return requested_weight > lost_weight ? served_weight / (requested_weight - lost_weight) : 0;
  }
};

// `kills`: the times of the kills. A failed attempt that was in flight at one of them counts as lost with the
// server.
void evaluate(TrialResult& out, const Journal& journal, const RuleLimits& limits,
              const std::vector<double>& kills) {
  std::map<std::string, std::pair<double, bool>> requests;  // priority weight, served
  std::map<std::string, bool> lost_with_planner;
  for (const auto& [number, attempt] : journal.attempts) {
    const RouteProfile& route =
        *std::find_if(std::begin(kRoutes), std::end(kRoutes),
                      [&](const RouteProfile& profile) { return attempt.type == profile.name; });
    auto& [priority_weight, is_served] = requests[attempt.key];
    priority_weight = route.priority_weight;
    for (const Answer& answer : attempt.answers) {
      if (answer.kind == AnswerKind::kSucceeded) out.latencies.push_back(answer.at - attempt.sent);
      is_served |= answer.kind == AnswerKind::kSucceeded && answer.at - attempt.sent <= route.target;
      for (const double at : kills)
        lost_with_planner[attempt.key] |=
            answer.kind == AnswerKind::kFailed && attempt.sent <= at && answer.at >= at;
    }
  }
  for (const auto& [key, request] : requests) {
    out.requested_weight += request.first;
    if (request.second) out.served_weight += request.first;
    if (!request.second && lost_with_planner[key]) out.lost_weight += request.first;
  }
  const Verdict verdict = check_rules(journal, limits);
  for (const std::string& line : verdict.broken) fmt::print("  {}\n", line);
  out.violations += static_cast<int>(verdict.broken.size());
  out.duplicate_answers += verdict.answered_twice;
  out.unanswered += verdict.unanswered;
  out.double_runs += verdict.double_runs;
}

// Kills each server in turn and starts it again within a second; adds the times to `kills`.
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

TrialResult one_level(double load_share, double seconds, std::uint64_t seed, bool with_kills) {
  TrialResult out;
  Loop loop;
  Journal journal;
  Callers callers(loop, journal, caller_options(load_share, seed));
  std::vector<std::unique_ptr<Server>> backends;
  for (int i = 0; i < kPlanners; ++i) {
    backends.push_back(
        std::make_unique<Server>(loop, journal, callers, kBinary, site_spec(), runtime_options(), i));
    if (!backends.back()->start()) return out.violations = 1, out;
  }
  std::vector<double> kills;
  if (!with_kills) {
    loop.run_for(seconds);
  } else if (!kill_in_turn(loop, backends, seconds, kills)) {
    return out.violations = 1, out;
  }
  callers.set_load_enabled(false);
  loop.run_until([&] { return callers.attempts_in_flight() == 0 && callers.unfinished_tasks() == 0; }, 4);
  for (const auto& backend : backends) backend->shut_down();
  RuleLimits limits = Fleet::limits_of(site_spec());
  limits.survivable_concurrency *= kPlanners;
  evaluate(out, journal, limits, kills);
  return out;
}

TrialResult two_levels(double load_share, double seconds, std::uint64_t seed, bool with_kills) {
  TrialResult out;
  TwoLevel fleet(kBinary, site_spec(), runtime_options(), caller_options(load_share, seed), kForwarders,
                 kPlanners);
  if (!fleet.start()) return out.violations = 1, out;
  std::vector<double> kills;
  for (const auto& forwarder : fleet.forwarders)
    out.forwarder_cpu_seconds -= forwarder->process->processor_time();
  if (!with_kills) {
    fleet.loop.run_for(seconds);
  } else if (!kill_in_turn(fleet.loop, fleet.planners, seconds, kills)) {
    return out.violations = 1, out;
  }
  fleet.settle(4);
  for (const auto& forwarder : fleet.forwarders) {
    const auto counters = forwarder->process->counters();
    out.forwarded += counters.contains("requests.read") ? counters.at("requests.read") : 0;
    out.forwarder_cpu_seconds += forwarder->process->processor_time();
    out.forwarder_resident_kb = std::max(out.forwarder_resident_kb, forwarder->process->resident_kb());
  }
  if (!fleet.shut_down()) fmt::print("  a server did not shut down in time\n"), ++out.violations;
  evaluate(out, fleet.journal, fleet.limits(), kills);
  return out;
}

// Processor time of a request at one forwarder with a thousand requests per second, where several requests
// share an event-loop iteration.
double cpu_us_under_load(double seconds, std::uint64_t seed) {
  Runtime::Options fast_runtime;
  fast_runtime.cores = kCores, fast_runtime.work = 0.001;
  Callers::Options load;
  load.flows = {{"read", 1000, 0.6}};
  load.connections = 24, load.seed = seed;
  TwoLevel fleet(kBinary, site_spec(), fast_runtime, load, 1, kPlanners);
  if (!fleet.start()) return -1;
  const Process& process = *fleet.forwarders[0]->process;
  const double cpu_began = process.processor_time();
  fleet.loop.run_for(seconds);
  const double cpu_seconds = process.processor_time() - cpu_began;
  const auto counters = fleet.forwarders[0]->process->counters();
  fleet.settle(2);
  fleet.shut_down();
  return cpu_seconds / static_cast<double>(std::max<std::uint64_t>(1, counters.at("requests.read"))) * 1e6;
}

// Latencies through one backend and through one forwarder and one planner, alternately, under the same load,
// which is too light for queues. The difference is the latency of the additional hop.
std::pair<std::vector<double>, std::vector<double>> measure_hop(double seconds, std::uint64_t seed) {
  Runtime::Options fast_runtime;
  fast_runtime.cores = kCores, fast_runtime.work = 0.002;
  std::pair<std::vector<double>, std::vector<double>> latencies;
  const auto collect = [](const Journal& journal, std::vector<double>& into) {
    for (const auto& [number, attempt] : journal.attempts) {
      if (attempt.answers.size() == 1 && attempt.answers[0].kind == AnswerKind::kSucceeded)
        into.push_back(attempt.answers[0].at - attempt.sent);
    }
  };
  constexpr int kAlternations = 4;
  for (int alternation = 0; alternation < kAlternations; ++alternation) {
    Callers::Options load;
    load.flows = {{"read", 60, 0.6}};
    load.connections = 4, load.seed = seed + static_cast<std::uint64_t>(alternation);
    {
      Fleet fleet(kBinary, site_spec(), fast_runtime, load);
      if (!fleet.server.start()) return latencies;
      fleet.loop.run_for(seconds / kAlternations);
      fleet.settle(2);
      fleet.server.shut_down();
      collect(fleet.journal, latencies.first);
    }
    TwoLevel fleet(kBinary, site_spec(), fast_runtime, load, 1, 1);
    if (!fleet.start()) return latencies;
    fleet.loop.run_for(seconds / kAlternations);
    fleet.settle(2);
    fleet.shut_down();
    collect(fleet.journal, latencies.second);
  }
  return latencies;
}

double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

void add(TrialResult& to, const TrialResult& from) {
  to.requested_weight += from.requested_weight, to.served_weight += from.served_weight,
      to.lost_weight += from.lost_weight;
  to.latencies.insert(to.latencies.end(), from.latencies.begin(), from.latencies.end());
  to.duplicate_answers += from.duplicate_answers, to.unanswered += from.unanswered,
      to.double_runs += from.double_runs;
  to.violations += from.violations, to.forwarder_cpu_seconds += from.forwarder_cpu_seconds,
      to.forwarded += from.forwarded;
  to.forwarder_resident_kb = std::max(to.forwarder_resident_kb, from.forwarder_resident_kb);
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("tier", "two-level fleets against single backends");
  options.add_options()("seconds", "duration of each trial", cxxopts::value<double>()->default_value("10"))(
      "seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "rounds", "", cxxopts::value<int>()->default_value("2"));
  const auto flags = options.parse(argc, argv);
  const double seconds = flags["seconds"].as<double>();
  const auto seed = flags["seed"].as<std::uint64_t>();
  constexpr double kShares[] = {0.8, 1.0, 1.2};
  TrialResult single[3], two[3], two_killed[3], single_killed[3];
  for (int round = 0; round < flags["rounds"].as<int>(); ++round) {
    const std::uint64_t round_seed = seed + static_cast<std::uint64_t>(round);
    for (std::size_t i = 0; i < 3; ++i) {
      add(single[i], one_level(kShares[i], seconds, round_seed, false));
      add(single_killed[i], one_level(kShares[i], seconds, round_seed, true));
      add(two[i], two_levels(kShares[i], seconds, round_seed, false));
      add(two_killed[i], two_levels(kShares[i], seconds, round_seed, true));
    }
  }
  fmt::print("{:<8}{:>9}{:>9}{:>13}{:>9}{:>12}{:>10}{:>10}{:>10}{:>10}\n", "load", "single", "two",
             "single kills", "two kills", "but lost", "p50 one", "p50 two", "p99 one", "p99 two");
  TrialResult all_single, all_two, all_killed, all_single_killed;
  for (std::size_t i = 0; i < 3; ++i) {
    const TrialResult &a = single[i], &b = two[i], &c = two_killed[i];
    fmt::print("{:<8}{:>9.4f}{:>9.4f}{:>13.4f}{:>9.4f}{:>12.4f}{:>10.2f}{:>10.2f}{:>10.2f}{:>10.2f}\n",
               kShares[i], a.served_share(), b.served_share(), single_killed[i].served_share(),
               c.served_share(), c.served_share_without_lost(), quantile(a.latencies, 0.5) * 1000,
               quantile(b.latencies, 0.5) * 1000, quantile(a.latencies, 0.99) * 1000,
               quantile(b.latencies, 0.99) * 1000);
    add(all_single, a), add(all_two, b), add(all_killed, c);
    add(all_single_killed, single_killed[i]);
  }
  const auto sum = [&](int TrialResult::*of) { return all_two.*of + all_killed.*of; };
  const auto [through_one, through_two] = measure_hop(seconds, seed);
  fmt::print("one hop against two, {} and {} requests: p50 {:.2f} and {:.2f} ms, p99 {:.2f} and {:.2f} ms\n",
             through_one.size(), through_two.size(), quantile(through_one, 0.5) * 1000,
             quantile(through_two, 0.5) * 1000, quantile(through_one, 0.99) * 1000,
             quantile(through_two, 0.99) * 1000);
  fmt::print(
      "figures: worth_two_level={:.4f} worth_single={:.4f} worth_kills={:.4f} worth_kills_but_held={:.4f} "
      "worth_single_kills={:.4f} "
      "double_answers={} lost={} double_runs={} rule_breaks={} forwarder_cpu_us_per_op={:.1f} "
      "forwarder_cpu_us_per_op_busy={:.1f} added_p50_ms={:.3f} added_p99_ms={:.3f} rss_mb_forwarder={:.1f}\n",
      all_two.served_share(), all_single.served_share(), all_killed.served_share(),
      all_killed.served_share_without_lost(), all_single_killed.served_share(),
      sum(&TrialResult::duplicate_answers), sum(&TrialResult::unanswered), sum(&TrialResult::double_runs),
      sum(&TrialResult::violations),
      all_two.forwarder_cpu_seconds / static_cast<double>(std::max<std::uint64_t>(1, all_two.forwarded)) *
          1e6,
      cpu_us_under_load(seconds, seed), (quantile(through_two, 0.5) - quantile(through_one, 0.5)) * 1000,
      (quantile(through_two, 0.99) - quantile(through_one, 0.99)) * 1000,
      static_cast<double>(all_two.forwarder_resident_kb) / 1024);
  return 0;
}
