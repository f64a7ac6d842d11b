// Deaths, lost datagrams and pauses in simulated fleets: every death is detected, and no other member is
// declared dead. CTest compares with tests/traces/members_CASE.txt. usage: failure_detection - CASE
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <pcg_random.hpp>
#include <string>

#include "scenarios.h"
#include "simulated_fleet.h"

using namespace damsonspoke::standins;
using namespace damsonspoke::members;

namespace {

constexpr int kFaulty = 4;  // the accuser in faulty_accuser()

void third_lost() {
  const int count = 30;
  MembersSim sim(fleet_options(count));
  trace(sim);
  sim.start_all(true);
  sim.run_until(5);
  for (int i = 0; i < count; i += 3) sim.kill(i);
  sim.run_until(15);
  std::size_t found = 0;
  for (const auto& death : sim.deaths()) found += death.found.size();
  say("the simultaneous death of a third is detected by all others", found == 10U * 20U);
  if (slowest_detection(sim) >= 8) std::printf("%.2f s\n", slowest_detection(sim));
  say("within eight seconds", slowest_detection(sim) < 8);
  say("no other member is declared dead", sim.false_deaths().empty());
}

// The highest rates of one member in any second.
struct PeakRates {
  double datagrams = 0;
  double records = 0;
  double push_pull_records = 0;
};

PeakRates peak_rates(MembersSim& sim, int seconds) {
  PeakRates peak;
  for (int second = 0; second < seconds; ++second) {
    sim.reset_traffic();
    sim.run_until(sim.now() + 1);
    peak.datagrams = std::max(peak.datagrams, sim.datagrams_per_member_second());
    peak.records = std::max(peak.records, sim.records_per_member_second());
    peak.push_pull_records = std::max(peak.push_pull_records, sim.push_pull_records_per_member_second());
  }
  return peak;
}

// Guards against traffic that grows with the fleet: the most that a member sends in a second does not depend
// on the fleet size, even when a sixth of the fleet is lost.
void sixth_lost() {
  for (const int count : {60, 120, 240}) {
    MembersSim sim(fleet_options(count, 17, 0.01));
    trace(sim);
    sim.start_all(true);
    sim.run_until(5);
    sim.reset_traffic();
    sim.run_until(10);
    const double calm = sim.records_per_member_second() + sim.push_pull_records_per_member_second();
    for (int i = 0; i < count; i += 6) sim.kill(i);
    const PeakRates peak = peak_rates(sim, 15);
    if (std::getenv("MEMBERS_TRACE") != nullptr)
      std::fprintf(stderr, "%d: without changes %.1f; %.1f datagrams, %.1f records, %.1f by push-pull\n",
                   count, calm, peak.datagrams, peak.records, peak.push_pull_records);
    say(fmt::format("{} members: at most 18 records per second without changes", count), calm <= 18);
    say("a sixth lost: at most 25 datagrams, 130 records and 50 records by push-pull in any second",
        peak.datagrams <= 25 && peak.records <= 130 && peak.push_pull_records <= 50);
    say("all views agree within 15 s, no other member is declared dead",
        sim.views_agree() && sim.false_deaths().empty());
  }
}

// Guards against refutations that are delayed by the gossip of many suspicions: a third of a large fleet
// pauses for the longest tolerated time, and its refutations have to reach all members in time.
void third_paused() {
  const int count = 360;
  std::size_t false_deaths = 0;
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    MembersSim sim(fleet_options(count, seed, 0.01));
    trace(sim);
    sim.start_all(true);
    sim.run_until(5);
    for (int i = 0; i < count; i += 3) sim.pause(i, 2);
    sim.run_until(20);
    false_deaths += sim.false_deaths().size();
  }
  if (std::getenv("MEMBERS_TRACE") != nullptr) std::fprintf(stderr, "%zu false deaths\n", false_deaths);
  say("a third of 360 members pauses for 2 s: no member is declared dead", false_deaths == 0);
}

void lossy() {
  MembersSim sim(fleet_options(30, 3, 0.2));
  sim.late_share = 0.2;
  sim.duplicated_share = 0.2;
  trace(sim);
  sim.start_all(true);
  sim.run_until(120);
  say("a fifth of the datagrams lost, a fifth duplicated, a fifth 2 s late: no member is declared dead in an "
      "hour of member time",
      sim.false_deaths().empty());
  sim.kill(4);
  sim.run_until(135);
  say("a death is still detected", sim.deaths()[0].found.size() == 29);
}

void short_pauses(double seconds) {
  MembersSim sim(fleet_options(30, 5));
  trace(sim);
  sim.start_all(true);
  sim.run_until(5);
  sim.pause(3, seconds);
  sim.run_until(15);
  for (int i = 0; i < 10; ++i) sim.pause(i, seconds);
  sim.run_until(25);
  for (int i = 0; i < 30; ++i) sim.pause(i, seconds);
  sim.run_until(60);
  say(fmt::format("one member, a third, all pause for {:.1f} s: no member is declared dead", seconds),
      sim.false_deaths().empty());
  say("all views agree", sim.views_agree());
}

void long_pauses() {
  MembersSim sim(fleet_options(30, 6));
  trace(sim);
  sim.start_all(true);
  sim.run_until(5);
  sim.pause(3, 30);
  sim.run_until(20);
  say("a member that pauses for half a minute is declared dead", sim.state(0, "n3") == MemberState::kDead);
  sim.run_until(60);
  say("it is alive again", sim.state(0, "n3") == MemberState::kAlive && sim.views_agree());
  const auto false_deaths = sim.false_deaths().size();
  sim.pause(3, 5);
  sim.run_until(75);
  say("a second pause of 5 s is tolerated: the member is known to pause",
      sim.false_deaths().size() == false_deaths);
  for (int i = 0; i < 30; ++i) sim.pause(i, 30);
  sim.run_until(120);
  say("all members pause for half a minute: no member is declared dead",
      sim.false_deaths().size() == false_deaths && sim.views_agree());
}

void pauses() {
  for (const double seconds : {0.5, 1.0, 1.9}) short_pauses(seconds);
  long_pauses();
}

// Guards against false deaths by a faulty accuser: it loses nine in ten of its datagrams, in both directions.
void faulty_accuser() {
  MembersSim sim(fleet_options(30, 11));
  pcg64 random(5);
  bool is_faulty = false;
  sim.is_cut = [&](int from, int to) {
    return is_faulty && (from == kFaulty || to == kFaulty) && random() % 10 != 0;
  };
  trace(sim);
  sim.start_all(true);
  sim.run_until(5);
  is_faulty = true;
  sim.run_until(125);
  const bool others_called_dead =
      std::any_of(sim.false_deaths().begin(), sim.false_deaths().end(),
                  [](const auto& false_deaths) { return false_deaths.of != kFaulty; });
  say("a faulty accuser causes no false death", !others_called_dead);
  say("its local health score shows the fault", sim.view(kFaulty).local_health_score() > 2);
}

}  // namespace

int main(int argc, char** argv) {
  std::string unused;
  return run_scenario(argc, argv, unused,
                      {{"third_lost", third_lost},
                       {"sixth_lost", sixth_lost},
                       {"third_paused", third_paused},
                       {"lossy", lossy},
                       {"pauses", pauses},
                       {"faulty_accuser", faulty_accuser}});
}
