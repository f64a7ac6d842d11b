// Benchmark of membership. On real processes: the time until a death is detected among 12 members (killed one
// after another, under load), and the share of the load that a two-level fleet serves with a killed and a
// paused planner, alternately with a configured list of planners and with planners discovered by membership.
// In simulated fleets of the same membership view: detections, false deaths and traffic at sizes beyond what
// sockets of one machine allow, under pauses and one-directional cuts.
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <filesystem>
#include <string_view>

#include "members_sim.h"
#include "rehearsal.h"

using namespace damsonspoke;
using namespace damsonspoke::standins;

namespace {

const char* const kBinary = DAMSONSPOKE_BINARY;

double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

struct SimulationResult {
  std::vector<double> detection_seconds;
  double bytes_per_second = 0, member_hours = 0;
  std::size_t false_deaths = 0, missed_detections = 0;
};

// Measures the traffic without faults at a datagram loss of 5%, then kills members one after another.
SimulationResult simulate_fleet(int count, double seconds, int kills, std::uint64_t seed) {
  MembersSim::Options options;
  options.count = count, options.seed = seed, options.loss = 0.05;
  MembersSim sim(options);
  sim.start_all(true);
  sim.run_until(20);
  sim.reset_traffic();
  sim.run_until(20 + seconds);
  SimulationResult out;
  out.bytes_per_second = sim.bytes_per_member_second();
  for (int i = 0; i < kills; ++i) {
    sim.kill((i * 37 + 5) % count);
    sim.run_until(sim.now() + 12);
  }
  out.member_hours = sim.member_seconds() / 3600;
  out.false_deaths = sim.false_deaths().size();
  for (const auto& death : sim.deaths()) {
    out.detection_seconds.insert(out.detection_seconds.end(), death.found.begin(), death.found.end());
    const auto watching = static_cast<std::size_t>(count - kills);
    out.missed_detections += death.found.size() < watching ? watching - death.found.size() : 0;
  }
  return out;
}

// Returns the false deaths over all seeds while one member, a third of the members and all pause for 2 s.
std::size_t false_deaths_in_pauses(int seeds) {
  std::size_t false_deaths = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    MembersSim::Options options;
    options.count = 30, options.seed = static_cast<std::uint64_t>(seed), options.encode_one_in = 0;
    MembersSim sim(options);
    sim.start_all(true);
    sim.run_until(3);
    sim.pause(seed % 30, 2);
    sim.run_until(10);
    for (int i = 0; i < 10; ++i) sim.pause(3 * i, 2);
    sim.run_until(18);
    for (int i = 0; i < 30; ++i) sim.pause(i, 2);
    sim.run_until(26);
    false_deaths += sim.false_deaths().size();
  }
  return false_deaths;
}

// Returns the false deaths over all seeds under one-directional cuts: of one link, between two zones in
// either direction, and from one member to half of the others.
std::size_t false_deaths_in_cuts(int seeds) {
  std::size_t false_deaths = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    MembersSim::Options options;
    options.count = 30, options.seed = static_cast<std::uint64_t>(seed), options.encode_one_in = 0;
    MembersSim sim(options);
    int cut_kind = 0;
    sim.is_cut = [&](int a, int b) {
      if (cut_kind == 1) return a == 4 && b == 5;
      if (cut_kind == 2) return a % 3 == 0 && b % 3 == 1;
      if (cut_kind == 3) return a % 3 == 1 && b % 3 == 0;
      if (cut_kind == 4) return a == 7 && b % 2 == 0;
      return false;
    };
    sim.start_all(true);
    for (cut_kind = 0; cut_kind < 5; ++cut_kind) sim.run_until(sim.now() + 12);
    false_deaths += sim.false_deaths().size();
  }
  return false_deaths;
}

RehearsalScript two_level_script(bool discovers_planners, double seconds, std::uint64_t seed) {
  RehearsalScript script;
  script.name = discovers_planners ? "members" : "list";
  script.seed = seed;
  script.load_seconds = seconds;
  script.forwarders = 2, script.planners = 3;
  script.core_seconds_per_run = 0.01;
  script.discovers_planners = script.has_membership = discovers_planners;
  script.routes = {{"read", "retryable", 160, 1, 0.5, 1}, {"close", "retryable", 50, 3, 0.5, 1}};
  const auto fault = [&](double at, const char* kind, const char* target, double duration_seconds) {
    FaultSpec spec;
    spec.at = at, spec.kind = kind, spec.targets = {target}, spec.duration_seconds = duration_seconds;
    script.faults.push_back(spec);
  };
  fault(0.35 * seconds, "kill", "p1", 0);
  fault(0.55 * seconds, "start", "p1", 0);
  fault(0.6 * seconds, "pause", "p2", 0.1 * seconds);
  return script;
}

// Returns the number of states of the complete model of suspicion; 0 where spin is missing or the model
// fails.
std::uint64_t spin_states() {
  const std::string command = fmt::format(
      "timeout 120 bash '{0}/models/check.sh' '{0}/models/membership.pml' 2>&1", DAMSONSPOKE_SOURCE);
  std::FILE* pipe = ::popen(command.c_str(), "r");
  if (pipe == nullptr) return 0;
  std::uint64_t states = 0;
  bool holds = false;
  char line[512];
  while (std::fgets(line, sizeof line, pipe) != nullptr) {
    const std::string_view text(line);
    if (text.find("states, stored") != std::string_view::npos) states = std::strtoull(line, nullptr, 10);
    holds |= text.find("whole: holds") != std::string_view::npos;
  }
  ::pclose(pipe);
  return holds ? states : 0;
}

int count_scripts() {
  int count = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(std::string(DAMSONSPOKE_SOURCE) + "/rehearsals"))
    count += entry.path().extension() == ".rehearsal" ? 1 : 0;
  return count;
}

}  // namespace

int main(int argc, char** argv) {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  cxxopts::Options options("members", "detection of deaths, false deaths and traffic of membership");
  options.add_options()("seconds", "duration of the load in each rehearsal",
                        cxxopts::value<double>()->default_value("10"))(
      "seed", "seed of the load and the simulations", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "rounds", "rehearsals of each comparison", cxxopts::value<int>()->default_value("3"));
  const auto flags = options.parse(argc, argv);
  const double seconds = flags["seconds"].as<double>();
  const auto seed = flags["seed"].as<std::uint64_t>();
  int violations = 0;

  std::vector<double> detection_seconds;
  for (int round = 0; round < flags["rounds"].as<int>(); ++round) {
    RehearsalScript script;
    script.name = "detect", script.seed = seed + static_cast<std::uint64_t>(round);
    script.load_seconds = 26, script.backends = 12, script.core_seconds_per_run = 0.005,
    script.has_membership = true;
    script.routes = {{"read", "retryable", 100, 1, 0.5, 1}};
    for (int i = 0; i < 3; ++i) {
      FaultSpec spec;
      spec.at = 2 + 8 * i, spec.kind = "kill", spec.targets = {fmt::format("r{}", 3 * i + 2 + round)};
      script.faults.push_back(spec);
    }
    Rehearsal rehearsal(kBinary, script);
    const RehearsalResult result = rehearsal.play();
    for (const std::string& line : result.failures()) fmt::print("  {}\n", line), ++violations;
    detection_seconds.insert(detection_seconds.end(), result.detection_seconds.begin(),
                             result.detection_seconds.end());
  }
  fmt::print("real, 12 processes: {} detections of deaths, after p50 {:.2f}, p99 {:.2f} s\n",
             detection_seconds.size(), quantile(detection_seconds, 0.5), quantile(detection_seconds, 0.99));

  double served_with_list = 0, served_with_membership = 0;
  for (int round = 0; round < flags["rounds"].as<int>(); ++round) {
    for (const bool discovers_planners : {false, true}) {
      Rehearsal rehearsal(
          kBinary, two_level_script(discovers_planners, seconds, seed + static_cast<std::uint64_t>(round)));
      const RehearsalResult result = rehearsal.play();
      for (const std::string& line : result.failures()) fmt::print("  {}\n", line), ++violations;
      (discovers_planners ? served_with_membership : served_with_list) +=
          result.served_share / flags["rounds"].as<int>();
      fmt::print("real, two levels, {}: {:.4f}\n",
                 discovers_planners ? "planners discovered by membership" : "planners by list",
                 result.served_share);
    }
  }

  const SimulationResult small = simulate_fleet(12, 3000, 3, seed),
                         middle = simulate_fleet(30, 36 * 3600, 3, seed);
  const SimulationResult large = simulate_fleet(1000, 60, 4, seed);
  fmt::print("{:<10}{:>14}{:>8}{:>8}{:>12}{:>12}{:>12}\n", "simulated", "member hours", "false", "missed",
             "p50 s", "p99 s", "bytes/s");
  for (const auto& [name, of] : {std::pair{"12", &small}, {"30", &middle}, {"1000", &large}})
    fmt::print("{:<10}{:>14.1f}{:>8}{:>8}{:>12.2f}{:>12.2f}{:>12.0f}\n", name, of->member_hours,
               of->false_deaths, of->missed_detections, quantile(of->detection_seconds, 0.5),
               quantile(of->detection_seconds, 0.99), of->bytes_per_second);
  // A fleet whose members start at once and know only their seeds.
  MembersSim::Options sim_options;
  sim_options.count = 1000, sim_options.seed = seed, sim_options.encode_one_in = 0;
  MembersSim sim(sim_options);
  sim.start_all(false);
  double converged = 0;
  while (sim.now() < 300 && !sim.views_agree()) sim.run_until(sim.now() + 2);
  converged = sim.now();
  const std::size_t in_pauses = false_deaths_in_pauses(40), in_cuts = false_deaths_in_cuts(40);
  const double hours = small.member_hours + middle.member_hours + large.member_hours;
  const double false_deaths =
      static_cast<double>(small.false_deaths + middle.false_deaths + large.false_deaths);
  fmt::print(
      "figures: detect_s_p99_12={:.2f} detect_s_p99_1000={:.2f} false_per_member_hour={:.6f} "
      "dead_in_pauses={} "
      "dead_in_one_sided_cuts={} bytes_per_s_member_30={:.0f} bytes_per_s_member_1000={:.0f} "
      "converge_s_1000={:.0f} "
      "spin_states={} worth_list={:.4f} worth_members={:.4f} rule_breaks={} scripts={}\n",
      quantile(detection_seconds, 0.99), quantile(large.detection_seconds, 0.99), false_deaths / hours,
      in_pauses, in_cuts, middle.bytes_per_second, large.bytes_per_second, converged, spin_states(),
      served_with_list, served_with_membership, violations, count_scripts());
  return 0;
}
