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
constexpr int kFaulty = 4;  // the member in one_way_faults()

// A one-way cut between two zones breaks a hundred links. Returns how many of them the receiving side reports
// as unreachable after half a minute. Each is detected by a probe of its own, so the count varies between
// fleets.
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
  say("the receiving side shows 86 of 100 links as unreachable, in the mean of four fleets",
      unreachable >= 4 * 86);
  say("no other link does", unaffected >= 9);
  bool has_direction = false;
  bool has_other_direction = false;
  for (const ObservedLink& link : sim.view(2).broken_links(sim.now())) {
    has_direction |= link.from == "n0" && link.to == "n1";
    has_other_direction |= link.from[1] == '1' && link.from.size() == 2 && link.to == "n0";
  }
  say("a third member knows the link and its direction", has_direction && !has_other_direction);
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
  say("a one-way cut between two of three zones: no member is declared dead", sim.false_deaths().empty());
  say_cut_visibility(sim);
  std::swap(from_zone, to_zone);
  sim.run_until(65);
  say("the direction is reversed: no member is declared dead", sim.false_deaths().empty());
  is_cut = false;
  sim.run_until(110);
  say("the cut heals: all views agree", sim.views_agree());
}

// A member whose datagrams arrive but that receives none, then one that receives all datagrams but whose own
// are lost.
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
  say("a member that receives nothing is not declared dead", sim.false_deaths().empty());
  say("it is reported as unreachable", sim.state(0, "n4") == MemberState::kUnreachable);
  fault = Fault::kNone;
  sim.run_until(70);
  say("all views agree after the fault", sim.views_agree());
  fault = Fault::kSendsNothing;
  sim.run_until(85);
  say("a member whose datagrams are all lost is declared dead", sim.state(0, "n4") == MemberState::kDead);
  say("it declares no member dead", sim.state(kFaulty, "n0") != MemberState::kDead);
  fault = Fault::kNone;
  sim.run_until(140);
  say("all views agree after the second fault", sim.views_agree());
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
  say("a split into halves: no member is declared dead",
      sim.false_deaths().empty() && sim.state(0, "n1") == MemberState::kUnreachable);
  sim.run_until(120);
  say("after a minute the other half is declared dead", sim.state(0, "n1") == MemberState::kDead);
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
