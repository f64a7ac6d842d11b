// Deaths, lost datagrams and pauses in simulated fleets: every death is found, nobody else is declared dead.
// CTest compares with tests/traces/members_CASE.txt. usage: failure_detection - CASE
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

constexpr int kFaulty = 4;  // the accuser in ill()

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
  say("a third lost at once is found by all of the others", found == 10U * 20U);
  if (slowest_detection(sim) >= 8) std::printf("%.2f s\n", slowest_detection(sim));
  say("within eight seconds", slowest_detection(sim) < 8);
  say("nobody else is called dead", sim.false_deaths().empty());
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

// What a member sends in a second at most is the same at any fleet size, also when a sixth is lost.
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
      std::fprintf(stderr, "%d: calm %.1f; %.1f datagrams, %.1f records, %.1f by push-pull\n", count, calm,
                   peak.datagrams, peak.records, peak.push_pull_records);
    say(fmt::format("{} members: calm at most 18 records a second", count), calm <= 18);
    say("a sixth lost: at most 25 datagrams, 130 records and 50 in exchanges in any second",
        peak.datagrams <= 25 && peak.records <= 130 && peak.push_pull_records <= 50);
    say("all see it within 15 s, nobody else is called dead",
        sim.views_agree() && sim.false_deaths().empty());
  }
}

// A third of a large fleet pauses for the longest time that is tolerated: its refutations have to reach all
// in time, beside all the suspicions.
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
  if (std::getenv("MEMBERS_TRACE") != nullptr) std::fprintf(stderr, "%zu wrong\n", false_deaths);
  say("a third of 360 stands still for 2 s: nobody is called dead", false_deaths == 0);
}

void lossy() {
  MembersSim sim(fleet_options(30, 3, 0.2));
  sim.late_share = 0.2;
  sim.duplicated_share = 0.2;
  trace(sim);
  sim.start_all(true);
  sim.run_until(120);
  say("a fifth lost, a fifth doubled, a fifth 2 s late: nobody is called dead in an hour of members",
      sim.false_deaths().empty());
  sim.kill(4);
  sim.run_until(135);
  say("a death is found all the same", sim.deaths()[0].found.size() == 29);
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
  say(fmt::format("one, a third, all stand still for {:.1f} s: nobody is called dead", seconds),
      sim.false_deaths().empty());
  say("and all see all", sim.views_agree());
}

void long_pauses() {
  MembersSim sim(fleet_options(30, 6));
  trace(sim);
  sim.start_all(true);
  sim.run_until(5);
  sim.pause(3, 30);
  sim.run_until(20);
  say("one that stands still for half a minute is called dead", sim.state(0, "n3") == MemberState::kDead);
  sim.run_until(60);
  say("and is there again", sim.state(0, "n3") == MemberState::kAlive && sim.views_agree());
  const auto false_deaths = sim.false_deaths().size();
  sim.pause(3, 5);
  sim.run_until(75);
  say("a second pause of 5 s is borne: it is known to stand still",
      sim.false_deaths().size() == false_deaths);
  for (int i = 0; i < 30; ++i) sim.pause(i, 30);
  sim.run_until(120);
  say("all stand still for half a minute: nobody is called dead",
      sim.false_deaths().size() == false_deaths && sim.views_agree());
}

void pauses() {
  for (const double seconds : {0.5, 1.0, 1.9}) short_pauses(seconds);
  long_pauses();
}

// An accuser with a fault of its own: nine in ten of its datagrams, both ways, are lost.
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
  say("one that is ill itself has nobody called dead", !others_called_dead);
  say("it knows", sim.view(kFaulty).local_health_score() > 2);
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
