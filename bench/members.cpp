// Membership measured. On real processes: how soon a death is found among 12 (kills one after another, under
// load), and what the two-level fleet serves with a slow and a killed planner, by a list of planners and by
// what members tell, in turns. In simulated fleets of the very same view: deaths, false deaths and bytes at
// sizes that sockets don't reach, pauses and one-sided cuts.
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

struct Simulated {
  std::vector<double> found;
  double bytes = 0, member_hours = 0;
  std::size_t wrong = 0, not_found = 0;
};

// Calm at a loss of 5%, then one death after another.
Simulated fleet(int count, double seconds, int kills, std::uint64_t seed) {
  MembersSim::Options o;
  o.count = count, o.seed = seed, o.loss = 0.05;
  MembersSim sim(o);
  sim.start_all(true);
  sim.run_until(20);
  sim.reset_traffic();
  sim.run_until(20 + seconds);
  Simulated out;
  out.bytes = sim.bytes_per_member_second();
  for (int i = 0; i < kills; ++i) {
    sim.kill((i * 37 + 5) % count);
    sim.run_until(sim.now() + 12);
  }
  out.member_hours = sim.member_seconds() / 3600;
  out.wrong = sim.false_deaths().size();
  for (const auto& death : sim.deaths()) {
    out.found.insert(out.found.end(), death.found.begin(), death.found.end());
    const auto watching = static_cast<std::size_t>(count - kills);
    out.not_found += death.found.size() < watching ? watching - death.found.size() : 0;
  }
  return out;
}

// How many were called dead that were up, in pauses up to 2 s of one, a third and all, over seeds.
std::size_t pauses(int seeds) {
  std::size_t wrong = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    MembersSim::Options o;
    o.count = 30, o.seed = static_cast<std::uint64_t>(seed), o.encode_one_in = 0;
    MembersSim sim(o);
    sim.start_all(true);
    sim.run_until(3);
    sim.pause(seed % 30, 2);
    sim.run_until(10);
    for (int i = 0; i < 10; ++i) sim.pause(3 * i, 2);
    sim.run_until(18);
    for (int i = 0; i < 30; ++i) sim.pause(i, 2);
    sim.run_until(26);
    wrong += sim.false_deaths().size();
  }
  return wrong;
}

// The same behind cuts of one direction: of one link, of a member's outward half, between two zones, turning.
std::size_t cuts(int seeds) {
  std::size_t wrong = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    MembersSim::Options o;
    o.count = 30, o.seed = static_cast<std::uint64_t>(seed), o.encode_one_in = 0;
    MembersSim sim(o);
    int how = 0;
    sim.is_cut = [&](int a, int b) {
      if (how == 1) return a == 4 && b == 5;
      if (how == 2) return a % 3 == 0 && b % 3 == 1;
      if (how == 3) return a % 3 == 1 && b % 3 == 0;
      if (how == 4) return a == 7 && b % 2 == 0;
      return false;
    };
    sim.start_all(true);
    for (how = 0; how < 5; ++how) sim.run_until(sim.now() + 12);
    wrong += sim.false_deaths().size();
  }
  return wrong;
}

RehearsalScript two_level(bool told, double seconds, std::uint64_t seed) {
  RehearsalScript s;
  s.name = told ? "members" : "list";
  s.seed = seed;
  s.load_seconds = seconds;
  s.forwarders = 2, s.planners = 3;
  s.core_seconds_per_run = 0.01;
  s.discovers_planners = s.has_membership = told;
  s.routes = {{"read", "retryable", 160, 1, 0.5, 1}, {"close", "retryable", 50, 3, 0.5, 1}};
  const auto fault = [&](double at, const char* kind, const char* target, double duration_seconds) {
    FaultSpec f;
    f.at = at, f.kind = kind, f.targets = {target}, f.duration_seconds = duration_seconds;
    s.faults.push_back(f);
  };
  fault(0.35 * seconds, "kill", "p1", 0);
  fault(0.55 * seconds, "start", "p1", 0);
  fault(0.6 * seconds, "pause", "p2", 0.1 * seconds);
  return s;
}

// States of the model of suspicion, whole; 0 where spin is not there or it does not hold.
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

int scripts() {
  int count = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(std::string(DAMSONSPOKE_SOURCE) + "/rehearsals"))
    count += entry.path().extension() == ".rehearsal" ? 1 : 0;
  return count;
}

}  // namespace

int main(int argc, char** argv) {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  cxxopts::Options options("members", "membership measured");
  options.add_options()("seconds", "of load in each play", cxxopts::value<double>()->default_value("10"))(
      "seed", "of load and chance", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "rounds", "of each comparison", cxxopts::value<int>()->default_value("3"));
  const auto flags = options.parse(argc, argv);
  const double seconds = flags["seconds"].as<double>();
  const auto seed = flags["seed"].as<std::uint64_t>();
  int breaks = 0;

  std::vector<double> found;
  for (int round = 0; round < flags["rounds"].as<int>(); ++round) {
    RehearsalScript s;
    s.name = "detect", s.seed = seed + static_cast<std::uint64_t>(round);
    s.load_seconds = 26, s.backends = 12, s.core_seconds_per_run = 0.005, s.has_membership = true;
    s.routes = {{"read", "retryable", 100, 1, 0.5, 1}};
    for (int i = 0; i < 3; ++i) {
      FaultSpec f;
      f.at = 2 + 8 * i, f.kind = "kill", f.targets = {fmt::format("r{}", 3 * i + 2 + round)};
      s.faults.push_back(f);
    }
    Rehearsal rehearsal(kBinary, s);
    const RehearsalResult result = rehearsal.play();
    for (const std::string& line : result.failures()) fmt::print("  {}\n", line), ++breaks;
    found.insert(found.end(), result.detection_seconds.begin(), result.detection_seconds.end());
  }
  fmt::print("real, 12 processes: a death found by {} in p50 {:.2f}, p99 {:.2f} s\n", found.size(),
             quantile(found, 0.5), quantile(found, 0.99));

  double worth_list = 0, worth_members = 0;
  for (int round = 0; round < flags["rounds"].as<int>(); ++round) {
    for (const bool told : {false, true}) {
      Rehearsal rehearsal(kBinary, two_level(told, seconds, seed + static_cast<std::uint64_t>(round)));
      const RehearsalResult result = rehearsal.play();
      for (const std::string& line : result.failures()) fmt::print("  {}\n", line), ++breaks;
      (told ? worth_members : worth_list) += result.served_share / flags["rounds"].as<int>();
      fmt::print("real, two levels, {}: {:.4f}\n", told ? "planners told by members" : "planners by list",
                 result.served_share);
    }
  }

  const Simulated small = fleet(12, 3000, 3, seed), middle = fleet(30, 36 * 3600, 3, seed);
  const Simulated large = fleet(1000, 60, 4, seed);
  fmt::print("{:<10}{:>14}{:>8}{:>8}{:>12}{:>12}{:>12}\n", "simulated", "member hours", "wrong", "missed",
             "p50 s", "p99 s", "bytes/s");
  for (const auto& [name, of] : {std::pair{"12", &small}, {"30", &middle}, {"1000", &large}})
    fmt::print("{:<10}{:>14.1f}{:>8}{:>8}{:>12.2f}{:>12.2f}{:>12.0f}\n", name, of->member_hours, of->wrong,
               of->not_found, quantile(of->found, 0.5), quantile(of->found, 0.99), of->bytes);
  // A fleet of strangers that knows three seeds.
  MembersSim::Options o;
  o.count = 1000, o.seed = seed, o.encode_one_in = 0;
  MembersSim sim(o);
  sim.start_all(false);
  double converged = 0;
  while (sim.now() < 300 && !sim.views_agree()) sim.run_until(sim.now() + 2);
  converged = sim.now();
  const std::size_t in_pauses = pauses(40), in_cuts = cuts(40);
  const double hours = small.member_hours + middle.member_hours + large.member_hours;
  const double wrong = static_cast<double>(small.wrong + middle.wrong + large.wrong);
  fmt::print(
      "figures: detect_s_p99_12={:.2f} detect_s_p99_1000={:.2f} false_per_member_hour={:.6f} "
      "dead_in_pauses={} "
      "dead_in_one_sided_cuts={} bytes_per_s_member_30={:.0f} bytes_per_s_member_1000={:.0f} "
      "converge_s_1000={:.0f} "
      "spin_states={} worth_list={:.4f} worth_members={:.4f} rule_breaks={} scripts={}\n",
      quantile(found, 0.99), quantile(large.found, 0.99), wrong / hours, in_pauses, in_cuts, middle.bytes,
      large.bytes, converged, spin_states(), worth_list, worth_members, breaks, scripts());
  return 0;
}
