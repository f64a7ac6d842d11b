// Broken links and splits in simulated fleets. CTest compares with tests/traces/members_CASE.txt.
// usage: network_splits - CASE
#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <utility>

#include "scenarios.h"
#include "simulated_fleet.h"

using namespace damsonspoke::standins;
using namespace damsonspoke::members;

namespace {

constexpr int kZones = 3;
constexpr int kFaulty = 4;  // the member in deaf()

// Of the hundred links that a one-sided cut between two zones breaks: how many the receiving side sees as
// unreachable after half a minute. Each is found by a probe of its own, so the count of one fleet varies.
int unreachable_links(std::uint64_t seed) {
  MembersSim sim(fleet_options(30, seed));
  bool is_cut = false;
  sim.is_cut = [&](int from, int to) { return is_cut && from % kZones == 0 && to % kZones == 1; };
  sim.start_all(true);
  sim.run_until(5);
  is_cut = true;
  sim.run_until(35);
  int unreachable = 0;
  for (int to = 1; to < 30; to += kZones) {
    for (int from = 0; from < 30; from += kZones)
      unreachable += sim.state(to, sim.name(from)) == MemberState::kUnreachable ? 1 : 0;
  }
  return unreachable;
}

void say_cut_visibility(MembersSim& sim) {
  int unaffected = 0;
  for (int member = 1; member < 30; member += kZones) {
    const bool both_alive = sim.state(member, "n2") == MemberState::kAlive &&
                            sim.state(2, sim.name(member)) == MemberState::kAlive;
    unaffected += both_alive ? 1 : 0;
  }
  int unreachable = 0;
  for (std::uint64_t seed = 7; seed <= 10; ++seed) unreachable += unreachable_links(seed);
  if (std::getenv("MEMBERS_TRACE") != nullptr)
    std::fprintf(stderr, "%d unreachable, %d unaffected\n", unreachable, unaffected);
  say("it shows as cut, to who does not hear, on 86 of 100 links in the mean of four fleets",
      unreachable >= 4 * 86);
  say("and nothing else does", unaffected >= 9);
  bool has_direction = false;
  bool has_other_direction = false;
  for (const ObservedLink& link : sim.view(2).broken_links(sim.now())) {
    has_direction |= link.from == "n0" && link.to == "n1";
    has_other_direction |= link.from[1] == '1' && link.from.size() == 2 && link.to == "n0";
  }
  say("a third one can tell the link and its direction", has_direction && !has_other_direction);
}

void zones() {
  MembersSim sim(fleet_options(30, 7));
  int from_zone = 0;
  int to_zone = 1;
  bool is_cut = false;
  sim.is_cut = [&](int from, int to) {
    return is_cut && from % kZones == from_zone && to % kZones == to_zone;
  };
  trace(sim);
  sim.start_all(true);
  sim.run_until(5);
  is_cut = true;
  sim.run_until(35);
  say("a one-sided cut between two zones of three: nobody is called dead", sim.false_deaths().empty());
  say_cut_visibility(sim);
  std::swap(from_zone, to_zone);
  sim.run_until(65);
  say("it turns round: nobody is called dead", sim.false_deaths().empty());
  is_cut = false;
  sim.run_until(110);
  say("it heals: all see all", sim.views_agree());
}

// One that is heard by all and hears nobody, then one that hears all and is heard by nobody.
void one_way_faults() {
  enum class Fault { kNone, kReceivesNothing, kSendsNothing };
  MembersSim sim(fleet_options(12, 8));
  Fault fault = Fault::kNone;
  sim.is_cut = [&](int from, int to) {
    if (fault == Fault::kReceivesNothing) return to == kFaulty;
    return fault == Fault::kSendsNothing && from == kFaulty;
  };
  trace(sim);
  sim.start_all(true);
  sim.run_until(5);
  fault = Fault::kReceivesNothing;
  sim.run_until(40);
  say("one that hears nobody is heard, and lives", sim.false_deaths().empty());
  say("it shows as cut", sim.state(0, "n4") == MemberState::kUnreachable);
  fault = Fault::kNone;
  sim.run_until(70);
  say("and is there again", sim.views_agree());
  fault = Fault::kSendsNothing;
  sim.run_until(85);
  say("one that nobody hears can't be told from a dead one", sim.state(0, "n4") == MemberState::kDead);
  say("it calls nobody dead", sim.state(kFaulty, "n0") != MemberState::kDead);
  fault = Fault::kNone;
  sim.run_until(140);
  say("and is there again, too", sim.views_agree());
}

void halves() {
  MembersSim sim(fleet_options(12, 9));
  bool is_split = false;
  sim.is_cut = [&](int from, int to) { return is_split && from % 2 != to % 2; };
  trace(sim);
  sim.start_all(true);
  sim.run_until(5);
  is_split = true;
  sim.run_until(40);
  say("two halves apart: nobody is called dead, it may be us",
      sim.false_deaths().empty() && sim.state(0, "n1") == MemberState::kUnreachable);
  sim.run_until(120);
  say("after a minute they are", sim.state(0, "n1") == MemberState::kDead);
  sim.run_until(3720);
  is_split = false;
  sim.run_until(3800);
  say_same_views(sim, "a split of an hour heals");
}

}  // namespace

int main(int argc, char** argv) {
  std::string unused;
  return run_scenario(argc, argv, unused,
                      {{"zones", zones}, {"one_way_faults", one_way_faults}, {"halves", halves}});
}
