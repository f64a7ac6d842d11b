// Members that join, leave, share a name or are forged, in simulated fleets. CTest compares with
// tests/traces/members_CASE.txt. usage: joins_and_leaves - CASE
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <vector>

#include "scenarios.h"
#include "simulated_fleet.h"
#include "wire/members.h"

using namespace damsonspoke::standins;
using namespace damsonspoke::members;

namespace {

constexpr int kReplaced = 18;  // members in replaced()

void flapping() {
  MembersSim sim(fleet_options(12, 10));
  trace(sim);
  sim.start_all(true);
  sim.run_until(5);
  for (int i = 0; i < 6; ++i) {
    sim.kill(4);
    sim.run_until(sim.now() + 5);
    sim.start(4);
    sim.run_until(sim.now() + 2);
  }
  say("a member that leaves and returns repeatedly counts as flapping",
      sim.state(0, "n4") == MemberState::kFlapping);
  sim.run_until(sim.now() + 90);
  say("it counts as alive after it has stayed", sim.state(0, "n4") == MemberState::kAlive);
}

void replaced() {
  MembersSim sim(fleet_options(30, 12));
  trace(sim);
  sim.start_all(true);
  sim.run_until(5);
  for (int i = 0; i < kReplaced; ++i) {
    sim.leave(i);
    sim.run_until(sim.now() + 0.39);
    if (i >= 3) sim.start(i - 3);
  }
  for (int i = kReplaced - 3; i < kReplaced; ++i) {
    sim.run_until(sim.now() + 0.4);
    sim.start(i);
  }
  sim.run_until(sim.now() + 3);
  say_same_views(sim, "six in ten replaced within 7 s: all views agree three seconds later");
  say("no member is declared dead", sim.false_deaths().empty());
}

void joins() {
  MembersSim sim(fleet_options(30, 13));
  sim.start_all(false);
  sim.run_until(5);
  say("members with three seeds know one another within 5 s", sim.views_agree());
  bool is_split = true;
  sim.is_cut = [&](int from, int to) { return is_split && from % 3 == 0 && to % 3 != 0; };
  sim.kill(7);
  sim.run_until(15);
  sim.start(7);  // its seeds are on both sides of the split
  sim.run_until(30);
  is_split = false;
  sim.run_until(70);
  say_same_views(sim, "a member that joins during a split is known to all after it");
}

void duplicate_names() {
  MembersSim sim(fleet_options(12, 14));
  trace(sim);
  sim.start_all(true);
  sim.run_until(5);
  sim.start_clone(4);
  sim.run_until(15);
  say("of two processes with one name the younger yields",
      sim.view(12).has_yielded() && !sim.view(4).has_yielded());
  say("the older one stays alive", sim.state(0, "n4") == MemberState::kAlive);
  const std::vector<MemberStatus> members = sim.view(0).members(sim.now());
  const bool has_conflict = std::any_of(members.begin(), members.end(), [](const MemberStatus& member) {
    return member.name == "n4" && member.conflicting_epoch > 0;
  });
  say("the conflict is reported", has_conflict);
  sim.kill(4);
  sim.run_until(80);
  say("after the older has ended the younger takes the name",
      !sim.view(12).has_yielded() && sim.state(0, "n4") == MemberState::kAlive);
}

void leaves() {
  MembersSim sim(fleet_options(30, 15));
  trace(sim);
  sim.start_all(true);
  sim.run_until(5);
  sim.leave(4);
  sim.run_until(6.5);
  bool is_known_to_all = true;
  for (int i = 0; i < 30; ++i) is_known_to_all &= i == 4 || sim.state(i, "n4") == MemberState::kLeft;
  say("a leave is known to all within 1.5 s", is_known_to_all);
  sim.start(4);
  sim.run_until(10);
  say("a new process with its name joins", sim.views_agree());
}

// Forged gossip: a later epoch of another member, the last incarnation, and more members than the capacity of
// the table.
void forged() {
  namespace wm = damsonspoke::wire::members;
  const std::string forger = "10.0.9.9:1";
  MembersSim sim(fleet_options(6, 16));
  trace(sim);
  sim.start_all(true);
  sim.run_until(5);
  Message message;
  message.kind = MessageKind::kGossip;
  message.sender = "n9";
  message.sender_epoch = 5;
  Record record;
  record.name = "n2";
  record.epoch = 1UL << 60;
  record.address = forger;
  record.condition = Condition::kDead;
  record.incarnation = 7;
  message.records = {record};
  sim.view(0).on_message(forger, message, sim.now());
  sim.run_until(15);
  say("a forged death with a later epoch is refuted",
      sim.state(0, "n2") == MemberState::kAlive && sim.views_agree());
  record.epoch = sim.view(2).self().epoch;
  record.incarnation = kMaxIncarnation;
  record.condition = Condition::kSuspected;
  message.records = {record};
  sim.view(2).on_message(forger, message, sim.now());
  sim.run_until(30);
  Message own;
  own.sender = "n2";
  own.records = {sim.view(2).self_record(sim.now())};
  say("an accusation of the last incarnation does not silence the member",
      wm::decode("c", wm::encode("c", own)).error == wm::DecodeError::kNone && sim.views_agree());
  for (int i = 0; i < 5000; ++i) {
    record.name = fmt::format("x{}", i);
    message.records = {record};
    sim.view(0).on_message(forger, message, sim.now());
  }
  say("the member table does not exceed its capacity",
      sim.view(0).members(sim.now()).size() <= 4096 && sim.view(0).counts().rejected_members > 0);
}

}  // namespace

int main(int argc, char** argv) {
  std::string unused;
  return run_scenario(argc, argv, unused,
                      {{"flapping", flapping},
                       {"replaced", replaced},
                       {"joins", joins},
                       {"duplicate_names", duplicate_names},
                       {"leaves", leaves},
                       {"forged", forged}});
}
