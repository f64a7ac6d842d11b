// One membership view in isolation, step by step. CTest compares the output with
// tests/traces/members_single_view.txt. usage: single_view - single_view
#include "single_view.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "scenarios.h"

using namespace damsonspoke::members;

namespace {

bool always(const std::string& /*name*/) { return true; }

void only_accusers_declare_deaths() {
  SingleView single(30);
  single.answers = always;
  single.run_until(1);
  Record suspected = SingleView::record("m5", 0, Condition::kSuspected);
  suspected.accusers = {"m1", "m2", "m3", "m4"};
  single.receive("m1", MessageKind::kGossip, {suspected});
  single.run_until(20);
  say("a member that is not an accuser does not declare the death",
      single.states["m5"] != MemberState::kDead);
}

void final_probe_spares_a_refuted_suspect() {
  SingleView single(30);
  bool is_silent = true;
  single.answers = [&](const std::string& name) { return name != "m5" || !is_silent; };
  single.run_until_state("m5", MemberState::kSuspected, 30);
  is_silent = false;
  single.incarnations["m5"] = 1;
  single.run_until(single.now + 8);
  say("a suspect is probed again before its deadline", single.states["m5"] == MemberState::kAlive);
}

// Whether a datagram reports that this member was paused for over 7 s, in a later incarnation.
bool refutes_with_pause(const Message& message) {
  const Record& self = message.records.front();
  return self.name == "v" && self.incarnation > 0 && self.longest_pause_ms > 7000;
}

void own_pause_is_noticed() {
  SingleView single(30);
  bool is_silent = true;
  single.answers = [&](const std::string& name) { return name != "m5" || !is_silent; };
  single.run_until_state("m5", MemberState::kSuspected, 30);
  single.now += 8;  // the view is paused, and m5 is alive
  is_silent = false;
  single.incarnations["m5"] = 1;
  single.sent.clear();
  say("the view detects its own pause", single.view.on_timer(single.now));
  const bool refuted = std::any_of(single.sent.begin(), single.sent.end(),
                                   [](const auto& one) { return refutes_with_pause(one.second); });
  say("it refutes before it is accused, and reports the length of the pause", refuted);
  single.run_until(single.now + 8);
  say("its own pause does not shorten the time to refute", single.states["m5"] == MemberState::kAlive);
  single.sent.clear();
  single.receive("m1", MessageKind::kPing, {SingleView::record("m7", 0, Condition::kDead)}, true);
  say("stale messages are neither applied nor answered",
      single.states["m7"] != MemberState::kDead && single.sent.empty());
  Record self = single.view.self_record(single.now);
  self.condition = Condition::kSuspected;
  self.accusers = {"m1"};
  single.receive("m1", MessageKind::kGossip, {self}, true);
  say("except suspicions of the view itself",
      single.view.self_record(single.now).incarnation > self.incarnation && !single.sent.empty());
}

void outdated_suspicions_are_corrected() {
  SingleView single(5);
  single.answers = always;
  single.run_until(1);
  single.incarnations["m2"] = 2;
  single.receive("m2", MessageKind::kGossip, {});
  single.sent.clear();
  single.receive("m1", MessageKind::kGossip, {SingleView::record("m2", 1, Condition::kSuspected)});
  bool is_corrected = false;
  for (const auto& [address, message] : single.sent) {
    for (const Record& record : message.records)
      is_corrected |= address == "m1:1" && record.name == "m2" && record.incarnation == 2;
  }
  say("a sender of an outdated suspicion gets the newer record", is_corrected);
}

void large_push_pulls_are_not_gossiped() {
  SingleView single(50);
  single.answers = always;
  single.run_until(3);
  say("many updates of one push-pull are not gossiped", single.sent_count(MessageKind::kGossip) == 0);
  single.receive("m1", MessageKind::kGossip, {SingleView::record("x")});
  single.run_until(6);
  say("a single update is gossiped", single.sent_count(MessageKind::kGossip) > 3);
}

constexpr std::uint64_t kOtherDigest = 12345;  // of a member that knows a member unknown to the view

void differing_digests_cause_a_push_pull() {
  SingleView single(5);
  single.answers = always;
  single.push_pulls.clear();
  for (int i = 0; i < 80; ++i) {
    single.run_until(single.now + 0.1);
    single.receive("m3", MessageKind::kPing, {}, false, kOtherDigest);
  }
  say("a digest that differs for five seconds causes a push-pull",
      single.push_pulls.size() == 1 && single.push_pulls.front() == "m3:1");
}

void differing_digests_are_spread() {
  int early = 0;
  int late = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SingleView single(1000, {}, seed);
    single.answers = always;
    single.run_until(1);
    single.push_pulls.clear();
    while (single.now < 70 && single.push_pulls.empty()) {
      single.run_until(single.now + 0.1);
      single.receive("m3", MessageKind::kPing, {}, false, kOtherDigest);
    }
    if (single.now < 16)
      ++early;
    else if (single.now < 70)
      ++late;
  }
  say("among 1000 members the push-pulls are spread over a minute", early <= 7 && early + late == 20);
}

void useless_accusers_are_not_gossiped() {
  SingleView single(30);
  single.answers = always;
  single.run_until(1);
  Record suspected = SingleView::record("m5", 0, Condition::kSuspected);
  suspected.accusers = {"m1", "m2", "m3", "m4"};
  single.receive("m1", MessageKind::kGossip, {suspected});
  single.run_until(2.5);
  single.sent.clear();
  suspected.accusers = {"m6", "m7"};
  single.receive("m1", MessageKind::kGossip, {suspected});
  single.run_until(2.9);
  say("accusers that do not shorten the suspicion are not gossiped",
      single.sent_count(MessageKind::kGossip) == 0);
}

void corrections_of_deaths_are_limited() {
  SingleView single(400);
  single.answers = always;
  single.run_until(1);
  const auto receive_all = [&](Condition condition) {
    for (int i = 0; i < 200; ++i)
      single.receive("m399", MessageKind::kGossip, {SingleView::record(fmt::format("m{}", i), 0, condition)});
  };
  receive_all(Condition::kDead);
  single.run_until(3);
  single.sent.clear();
  receive_all(Condition::kSuspected);
  single.run_until(4);
  say("200 dead members reported again as suspected: under 150 records in the next second",
      single.sent_records() < 150);
}

void seeds_are_tried_again() {
  SingleView single(0, {"s:1"});
  single.run_until(15);
  say("a seed that did not answer is tried again",
      single.push_pulls.size() >= 2 && single.push_pulls.back() == "s:1");
  const std::size_t attempts = single.push_pulls.size();
  single.view.on_push_pull_failed(single.now);
  single.run_until(single.now + 0.5);
  say("a seed that rejected is tried again soon while no member is known",
      single.push_pulls.size() == attempts + 1);
  single.push_pulls.clear();
  const double end = single.now + 15;
  std::size_t refused = 0;
  while (single.now < end) {
    if (refused < single.push_pulls.size()) {
      single.view.on_push_pull_failed(single.now);
      ++refused;
    }
    single.run_until(single.now + 0.05);
  }
  say("the retries become less frequent", single.push_pulls.size() >= 3 && single.push_pulls.size() <= 7);
}

void dead_members_are_remembered_for_a_while() {
  SingleView single(3);
  single.answers = [](const std::string& name) { return name != "m1"; };
  single.run_until_state("m1", MemberState::kSuspected, 15);
  Record with_load_report = SingleView::record("m1");
  with_load_report.load_report.version = 1;
  with_load_report.load_report.role = "relay";
  single.receive("m2", MessageKind::kGossip, {with_load_report});
  single.run_until_state("m1", MemberState::kDead, 25);
  const std::vector<Record> state = single.view.full_state(single.now);
  const bool is_reported = std::any_of(state.begin(), state.end(), [](const Record& record) {
    return record.name == "m1" && record.load_report.version != 0;
  });
  say("the load report of a dead member is not sent", !is_reported);
  const bool is_dead = single.states["m1"] == MemberState::kDead;
  single.push_pulls.clear();
  single.run_until(50);
  say("dead members are contacted periodically",
      is_dead && std::count(single.push_pulls.begin(), single.push_pulls.end(), "m1:1") > 0);
  single.run_until(8000);
  const std::vector<MemberStatus> members = single.view.members(single.now);
  const bool is_known = std::any_of(members.begin(), members.end(),
                                    [](const MemberStatus& member) { return member.name == "m1"; });
  say("dead members are forgotten after two hours", !is_known);
}

void single_view() {
  only_accusers_declare_deaths();
  final_probe_spares_a_refuted_suspect();
  own_pause_is_noticed();
  outdated_suspicions_are_corrected();
  large_push_pulls_are_not_gossiped();
  differing_digests_cause_a_push_pull();
  differing_digests_are_spread();
  useless_accusers_are_not_gossiped();
  corrections_of_deaths_are_limited();
  seeds_are_tried_again();
  dead_members_are_remembered_for_a_while();
}

}  // namespace

int main(int argc, char** argv) {
  std::string unused;
  return run_scenario(argc, argv, unused, {{"single_view", single_view}});
}
