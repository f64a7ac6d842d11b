// Membership: the view in simulated fleets, histories from seeds, and the hard cases by name; the codec.
// CTest compares with tests/traces/members_NAME.txt. usage: members - SCENARIO
#include "wire/members.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <map>
#include <set>
#include <utility>

#include "members_sim.h"
#include "scenarios.h"

using namespace damsonspoke::standins;
using namespace damsonspoke::members;

namespace {

// With MEMBERS_TRACE set, what views say as it happens.
void trace(MembersSim& sim) {
  if (std::getenv("MEMBERS_TRACE") == nullptr) return;
  sim.on_change = [&sim](int node, const std::string& what) {
    std::fprintf(stderr, "%8.3f %s: %s\n", sim.now(), sim.name(node).c_str(), what.c_str());
  };
}

MembersSim::Options of(int count, std::uint64_t seed = 1, double loss = 0) {
  MembersSim::Options o;
  o.count = count, o.seed = seed, o.loss = loss, o.weigh_each = 0;
  return o;
}

double latest(const MembersSim& sim) {
  double out = 0;
  for (const auto& death : sim.deaths()) {
    for (const double found : death.found) out = std::max(out, found);
  }
  return out;
}

// ---- Histories.

struct Act {
  enum Kind { kKill, kStart, kPause, kCutZones, kHeal, kLeave, kLossy } kind = kKill;
  double at = 0;
  int node = 0, other = 0;
  double amount = 0;
  std::string text() const {
    static const char* const names[] = {"kill", "start", "pause", "cut zones", "heal", "leave", "lossy"};
    return fmt::format("at {:.2f} s {} {} {} {:.2f}", at, names[kind], node, other, amount);
  }
};

std::vector<Act> draw(int count, std::uint64_t seed) {
  pcg64 random(seed * 977 + static_cast<std::uint64_t>(count));
  const auto chance = [&] { return std::ldexp(static_cast<double>(random() >> 11), -53); };
  std::vector<Act> out;
  const int acts = 1 + static_cast<int>(random() % 8);
  for (int i = 0; i < acts; ++i) {
    Act act;
    act.kind = static_cast<Act::Kind>(random() % 7);
    act.at = 2 + 10 * chance();
    act.node = static_cast<int>(random() % static_cast<std::uint64_t>(count));
    act.other = static_cast<int>(random() % 3);
    act.amount = 2 * chance();
    if (act.kind == Act::kLossy) act.amount /= 20;
    out.push_back(act);
  }
  std::sort(out.begin(), out.end(), [](const Act& a, const Act& b) { return a.at < b.at; });
  return out;
}

// What has to hold whatever the history: nobody who is up is called dead, but over a cut between zones that
// no third one bridges; a death is found; after the last trouble all see the same.
std::string broken_by(int count, std::uint64_t seed, const std::vector<Act>& acts) {
  MembersSim sim(of(count, seed));
  double lossy = 0;
  int cut_from = -1, cut_to = -1;
  bool was_cut = false;
  pcg64 random(seed);
  sim.cut = [&](int a, int b) {
    if (lossy > 0 && std::ldexp(static_cast<double>(random() >> 11), -53) < lossy) return true;
    return cut_from >= 0 && a % 3 == cut_from && b % 3 == cut_to;
  };
  trace(sim);
  sim.begin(true);
  for (const Act& act : acts) {
    sim.run_until(act.at);
    switch (act.kind) {
      case Act::kKill: {
        int there = 0;
        for (int i = 0; i < count; ++i) there += sim.up(i) ? 1 : 0;
        if (there > count / 2 + 1) sim.kill(act.node);  // else nobody may call anybody dead
        break;
      }
      case Act::kStart: sim.start(act.node); break;
      case Act::kPause: sim.pause(act.node, act.amount); break;
      case Act::kCutZones: cut_from = act.other, cut_to = (act.other + 1) % 3, was_cut = true; break;
      case Act::kHeal: cut_from = -1; break;
      case Act::kLeave: sim.leave(act.node); break;
      case Act::kLossy: lossy = act.amount; break;
    }
  }
  sim.run_until(14);
  cut_from = -1, lossy = 0;
  // A fleet that lost over half holds its deaths for a minute; seeds and the dead are tried every 10 to 20 s.
  sim.run_until(100);
  std::string how;
  if (!sim.views_same(&how)) return how;
  if (!sim.wrong().empty() && !(was_cut && count < 10)) {
    const auto& wrong = sim.wrong().front();
    return fmt::format("{} is called dead by {} at {:.2f} s and is up", sim.name(wrong.of),
                       sim.name(wrong.by), wrong.at);
  }
  return {};
}

void histories(int count, int seeds) {
  for (int seed = 1; seed <= seeds; ++seed) {
    std::vector<Act> acts = draw(count, static_cast<std::uint64_t>(seed));
    std::string how = broken_by(count, static_cast<std::uint64_t>(seed), acts);
    if (how.empty()) continue;
    for (std::size_t i = 0; i < acts.size();) {  // the shortest that breaks
      std::vector<Act> less = acts;
      less.erase(less.begin() + static_cast<std::ptrdiff_t>(i));
      const std::string still = broken_by(count, static_cast<std::uint64_t>(seed), less);
      if (still.empty())
        ++i;
      else
        acts = less, how = still;
    }
    std::printf("seed %d, %d members: %s\n", seed, count, how.c_str());
    for (const Act& act : acts) std::printf("  %s\n", act.text().c_str());
    return;
  }
  std::printf("%d members, %d seeds: nothing breaks\n", count, seeds);
}
void histories_3() { histories(3, 300); }
void histories_30() { histories(30, 15); }
void histories_300() { histories(300, 1); }

// ---- The hard cases.

void third() {
  MembersSim sim(of(30));
  trace(sim);
  sim.begin(true);
  sim.run_until(5);
  for (int i = 0; i < 10; ++i) sim.kill(i * 3);
  sim.run_until(15);
  std::size_t found = 0;
  for (const auto& death : sim.deaths()) found += death.found.size();
  say("a third lost at once is found by all of the others", found == 10u * 20u);
  if (latest(sim) >= 8) std::printf("%.2f s\n", latest(sim));
  say("within eight seconds", latest(sim) < 8);
  say("nobody else is called dead", sim.wrong().empty());
}

// The most that a member sends in a second: the same however many there are, when a sixth is lost as well.
void sixth() {
  for (const int count : {60, 120, 240}) {
    MembersSim sim(of(count, 17, 0.01));
    trace(sim);
    sim.begin(true);
    sim.run_until(5);
    sim.forget_bytes();
    sim.run_until(10);
    const double calm = sim.records_a_member_second() + sim.exchanged_records_a_member_second();
    for (int i = 0; i < count; i += 6) sim.kill(i);
    double datagrams = 0, records = 0, exchanged = 0;
    for (int second = 0; second < 15; ++second) {
      sim.forget_bytes();
      sim.run_until(sim.now() + 1);
      datagrams = std::max(datagrams, sim.datagrams_a_member_second());
      records = std::max(records, sim.records_a_member_second());
      exchanged = std::max(exchanged, sim.exchanged_records_a_member_second());
    }
    if (std::getenv("MEMBERS_TRACE") != nullptr)
      std::fprintf(stderr, "%d: calm %.1f; %.1f datagrams, %.1f records, %.1f exchanged\n", count, calm,
                   datagrams, records, exchanged);
    std::string how;
    say(fmt::format("{} members: calm at most 18 records a second", count), calm <= 18);
    say("a sixth lost: at most 25 datagrams, 130 records and 50 in exchanges in any second",
        datagrams <= 25 && records <= 130 && exchanged <= 50);
    say("all see it within 15 s, nobody else is called dead", sim.views_same(&how) && sim.wrong().empty());
  }
}

// A third of many stands still for the longest pause that is borne: that they live has to reach all in time,
// beside all that is held against them.
void third_paused() {
  std::size_t wrong = 0;
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    MembersSim sim(of(360, seed, 0.01));
    trace(sim);
    sim.begin(true);
    sim.run_until(5);
    for (int i = 0; i < 360; i += 3) sim.pause(i, 2);
    sim.run_until(20);
    wrong += sim.wrong().size();
  }
  if (std::getenv("MEMBERS_TRACE") != nullptr) std::fprintf(stderr, "%zu wrong\n", wrong);
  say("a third of 360 stands still for 2 s: nobody is called dead", wrong == 0);
}

void lossy() {
  MembersSim sim(of(30, 3, 0.2));
  sim.late = 0.2, sim.doubled = 0.2;
  trace(sim);
  sim.begin(true);
  sim.run_until(120);
  say("a fifth lost, a fifth doubled, a fifth 2 s late: nobody is called dead in an hour of members",
      sim.wrong().empty());
  sim.kill(4);
  sim.run_until(135);
  say("a death is found all the same", sim.deaths()[0].found.size() == 29);
}

void pauses() {
  for (const double length : {0.5, 1.0, 1.9}) {
    MembersSim sim(of(30, 5));
    trace(sim);
    sim.begin(true);
    sim.run_until(5);
    sim.pause(3, length);
    sim.run_until(15);
    for (int i = 0; i < 10; ++i) sim.pause(i, length);
    sim.run_until(25);
    for (int i = 0; i < 30; ++i) sim.pause(i, length);
    sim.run_until(60);
    say(fmt::format("one, a third, all stand still for {:.1f} s: nobody is called dead", length),
        sim.wrong().empty());
    say("and all see all", sim.views_same());
  }
  MembersSim sim(of(30, 6));
  trace(sim);
  sim.begin(true);
  sim.run_until(5);
  sim.pause(3, 30);
  sim.run_until(20);
  say("one that stands still for half a minute is called dead", sim.state(0, "n3") == MemberState::kDead);
  sim.run_until(60);
  say("and is there again", sim.state(0, "n3") == MemberState::kAlive && sim.views_same());
  const auto wrong = sim.wrong().size();
  sim.pause(3, 5);
  sim.run_until(75);
  say("a second pause of 5 s is borne: it is known to stand still", sim.wrong().size() == wrong);
  for (int i = 0; i < 30; ++i) sim.pause(i, 30);
  sim.run_until(120);
  say("all stand still for half a minute: nobody is called dead",
      sim.wrong().size() == wrong && sim.views_same());
}

// Of the hundred links that a one-sided cut between two zones of three breaks: how many show as cut after
// half a minute, to who does not hear. Each is found by a probe of its own, so one fleet alone is a draw of
// chance.
int links_shown_as_cut(std::uint64_t seed) {
  MembersSim sim(of(30, seed));
  bool on = false;
  sim.cut = [&](int a, int b) { return on && a % 3 == 0 && b % 3 == 1; };
  sim.begin(true);
  sim.run_until(5);
  on = true;
  sim.run_until(35);
  int cut = 0;
  for (int a = 1; a < 30; a += 3) {
    for (int b = 0; b < 30; b += 3) cut += sim.state(a, sim.name(b)) == MemberState::kUnreachable ? 1 : 0;
  }
  return cut;
}

void zones() {
  MembersSim sim(of(30, 7));
  int from = 0, to = 1;
  bool on = false;
  sim.cut = [&](int a, int b) { return on && a % 3 == from && b % 3 == to; };
  trace(sim);
  sim.begin(true);
  sim.run_until(5);
  on = true;
  sim.run_until(35);
  say("a one-sided cut between two zones of three: nobody is called dead", sim.wrong().empty());
  int others = 0;
  for (int a = 1; a < 30; a += 3) {
    others +=
        sim.state(a, "n2") == MemberState::kAlive && sim.state(2, sim.name(a)) == MemberState::kAlive ? 1 : 0;
  }
  int cut = 0;
  for (std::uint64_t seed = 7; seed <= 10; ++seed) cut += links_shown_as_cut(seed);
  if (std::getenv("MEMBERS_TRACE") != nullptr) std::fprintf(stderr, "%d cut, %d others\n", cut, others);
  say("it shows as cut, to who does not hear, on 86 of 100 links in the mean of four fleets", cut >= 4 * 86);
  say("and nothing else does", others >= 9);
  bool named = false, other_way = false;
  for (const ObservedLink& link : sim.view(2).broken_links(sim.now())) {
    named |= link.from == "n0" && link.to == "n1";
    other_way |= link.from[1] == '1' && link.from.size() == 2 && link.to == "n0";
  }
  say("a third one can tell the link and its direction", named && !other_way);
  std::swap(from, to);
  sim.run_until(65);
  say("it turns round: nobody is called dead", sim.wrong().empty());
  on = false;
  sim.run_until(110);
  say("it heals: all see all", sim.views_same());
}

// One that is heard by all and hears nobody, then one that hears all and is heard by nobody.
void deaf() {
  MembersSim sim(of(12, 8));
  bool on = true, mute = false;
  sim.cut = [&](int a, int b) { return on && (mute ? a == 4 : b == 4); };
  on = false;
  trace(sim);
  sim.begin(true);
  sim.run_until(5);
  on = true;
  sim.run_until(40);
  say("one that hears nobody is heard, and lives", sim.wrong().empty());
  say("it shows as cut", sim.state(0, "n4") == MemberState::kUnreachable);
  on = false;
  sim.run_until(70);
  say("and is there again", sim.views_same());
  on = true, mute = true;
  sim.run_until(85);
  say("one that nobody hears can't be told from a dead one", sim.state(0, "n4") == MemberState::kDead);
  say("it calls nobody dead", sim.state(4, "n0") != MemberState::kDead);
  on = false;
  sim.run_until(140);
  say("and is there again, too", sim.views_same());
}

void halves() {
  MembersSim sim(of(12, 9));
  bool on = false;
  sim.cut = [&](int a, int b) { return on && a % 2 != b % 2; };
  trace(sim);
  sim.begin(true);
  sim.run_until(5);
  on = true;
  sim.run_until(40);
  say("two halves apart: nobody is called dead, it may be us",
      sim.wrong().empty() && sim.state(0, "n1") == MemberState::kUnreachable);
  sim.run_until(120);
  say("after a minute they are", sim.state(0, "n1") == MemberState::kDead);
  sim.run_until(3720);
  on = false;
  sim.run_until(3800);
  std::string how;
  const bool same = sim.views_same(&how);
  if (!same) std::printf("%s\n", how.c_str());
  say("a split of an hour heals", same);
}

void flapping() {
  MembersSim sim(of(12, 10));
  trace(sim);
  sim.begin(true);
  sim.run_until(5);
  for (int i = 0; i < 6; ++i) {
    sim.kill(4);
    sim.run_until(sim.now() + 5);
    sim.start(4);
    sim.run_until(sim.now() + 2);
  }
  say("one that comes and goes is unsettled", sim.state(0, "n4") == MemberState::kFlapping);
  sim.run_until(sim.now() + 90);
  say("until it has stayed", sim.state(0, "n4") == MemberState::kAlive);
}

// An accuser that is ill: nine in ten of what it sends and gets are lost.
void ill() {
  MembersSim sim(of(30, 11));
  pcg64 random(5);
  bool on = false;
  sim.cut = [&](int a, int b) { return on && (a == 4 || b == 4) && random() % 10 != 0; };
  trace(sim);
  sim.begin(true);
  sim.run_until(5);
  on = true;
  sim.run_until(125);
  bool others = false;
  for (const auto& wrong : sim.wrong()) others |= wrong.of != 4;
  say("one that is ill itself has nobody called dead", !others);
  say("it knows", sim.view(4).local_health_score() > 2);
}

void replaced() {
  MembersSim sim(of(30, 12));
  trace(sim);
  sim.begin(true);
  sim.run_until(5);
  for (int i = 0; i < 18; ++i) {
    sim.leave(i);
    sim.run_until(sim.now() + 0.39);
    if (i >= 3) sim.start(i - 3);
  }
  for (int i = 15; i < 18; ++i) sim.run_until(sim.now() + 0.4), sim.start(i);
  const double done = sim.now();
  sim.run_until(done + 3);
  std::string how;
  const bool same = sim.views_same(&how);
  if (!same) std::printf("%s\n", how.c_str());
  say("six in ten replaced within 7 s: three seconds later all see all", same);
  say("nobody is called dead", sim.wrong().empty());
}

void joins() {
  MembersSim sim(of(30, 13));
  sim.begin(false);
  sim.run_until(5);
  say("strangers with three seeds know each other within 5 s", sim.views_same());
  bool on = true;
  sim.cut = [&](int a, int b) { return on && a % 3 == 0 && b % 3 != 0; };
  sim.kill(7);
  sim.run_until(15);
  sim.start(7);  // during a split: its seeds are on both sides of it
  sim.run_until(30);
  on = false;
  sim.run_until(70);
  std::string how;
  const bool same = sim.views_same(&how);
  if (!same) std::printf("%s\n", how.c_str());
  say("one that joins during a split is known to all after it", same);
}

void clones() {
  MembersSim sim(of(12, 14));
  trace(sim);
  sim.begin(true);
  sim.run_until(5);
  sim.clone(4);
  sim.run_until(15);
  say("of two under one name the younger yields", sim.view(12).has_yielded() && !sim.view(4).has_yielded());
  say("the older stays", sim.state(0, "n4") == MemberState::kAlive);
  bool named = false;
  for (const MemberStatus& seen : sim.view(0).members(sim.now()))
    named |= seen.name == "n4" && seen.conflicting_epoch > 0;
  say("both are named", named);
  sim.kill(4);
  sim.run_until(80);
  say("when the older is gone the younger takes the name",
      !sim.view(12).has_yielded() && sim.state(0, "n4") == MemberState::kAlive);
}

void leaves() {
  MembersSim sim(of(30, 15));
  trace(sim);
  sim.begin(true);
  sim.run_until(5);
  sim.leave(4);
  sim.run_until(6.5);
  bool all = true;
  for (int i = 0; i < 30; ++i) all &= i == 4 || sim.state(i, "n4") == MemberState::kLeft;
  say("a leave is known to all within 1.5 s", all);
  sim.start(4);
  sim.run_until(10);
  say("and a new life takes its place", sim.views_same());
}

// ---- One view alone, step by step, among members that answer as a case has it.

struct Alone : MembershipSink {
  explicit Alone(int others, std::vector<std::string> seeds = {}, std::uint64_t chance = 3)
      : view(MembershipOptions(), {"v", "v:1", 100}, std::move(seeds), chance, *this) {
    view.start(0);
    std::vector<Record> all;
    for (int i = 0; i < others; ++i) all.push_back(of(fmt::format("m{}", i)));
    if (others > 0) view.on_push_pull(all, 0);
  }
  static Record of(const std::string& name, std::uint32_t incarnation = 0,
                   Condition condition = Condition::kAlive) {
    Record r;
    r.name = name, r.epoch = 50, r.address = name + ":1", r.incarnation = incarnation,
    r.condition = condition;
    return r;
  }
  void send(const std::string& address, const Message& message) override {
    sent.emplace_back(address, message);
    const std::string name = address.substr(0, address.find(':'));
    if (message.kind == MessageKind::kPing && answers && answers(name)) due.emplace_back(name, message);
    if (message.kind == MessageKind::kPingRequest && answers && answers(name))
      due.emplace_back(name, message);
  }
  void start_push_pull(const std::string& address) override { exchanged.push_back(address); }
  void on_state_changed(const std::string& name, MemberState state, StateChangeReason) override {
    states[name] = state;
  }
  void on_notice(const Notice&) override {}
  void hear(const std::string& from, MessageKind kind, std::vector<Record> records, bool stale = false,
            std::uint64_t sum = 0) {
    Message m;
    m.membership_digest = sum;
    m.kind = kind, m.sender = from, m.sender_epoch = 50, m.datagram_number = ++number, m.target = "v",
    m.probe_id = 1;
    records.insert(records.begin(), of(from, incarnations[from]));
    m.records = std::move(records);
    view.on_message(from + ":1", m, now, stale);
  }
  void run_until(double time) {
    while (view.next_timer_at() <= time) {
      now = std::max(now, view.next_timer_at());
      view.on_timer(now);
      for (const auto& [name, ping] : std::exchange(due, {})) {
        Message ack;
        ack.kind = ping.kind == MessageKind::kPing ? MessageKind::kAck : MessageKind::kNegativeAck;
        ack.sender = name, ack.sender_epoch = 50, ack.datagram_number = ++number,
        ack.probe_id = ping.probe_id, ack.target = ping.target;
        ack.records = {of(name, incarnations[name])};
        view.on_message(name + ":1", ack, now);
      }
    }
    now = time;
  }
  std::size_t count(MessageKind kind) const {
    std::size_t n = 0;
    for (const auto& [address, message] : sent) n += message.kind == kind ? 1 : 0;
    return n;
  }
  double now = 0;
  std::function<bool(const std::string&)> answers;
  std::map<std::string, std::uint32_t> incarnations;
  std::vector<std::pair<std::string, Message>> sent, due;
  std::vector<std::string> exchanged;
  std::map<std::string, MemberState> states;
  std::uint32_t number = 0;
  MembershipView view;
};

void alone() {
  {
    Alone a(30);
    a.answers = [](const std::string&) { return true; };
    a.run_until(1);
    Record r = Alone::of("m5", 0, Condition::kSuspected);
    r.accusers = {"m1", "m2", "m3", "m4"};
    a.hear("m1", MessageKind::kGossip, {r});
    a.run_until(20);
    say("who has not found it silent itself does not call it dead", a.states["m5"] != MemberState::kDead);
  }
  {
    Alone a(30);
    bool dumb = true;
    a.answers = [&](const std::string& name) { return name != "m5" || !dumb; };
    while (a.states["m5"] != MemberState::kSuspected && a.now < 30) a.run_until(a.now + 0.1);
    dumb = false, a.incarnations["m5"] = 1;
    a.run_until(a.now + 8);
    say("it is looked at once more before its time is over", a.states["m5"] == MemberState::kAlive);
  }
  {
    Alone a(30);
    bool dumb = true;
    a.answers = [&](const std::string& name) { return name != "m5" || !dumb; };
    while (a.states["m5"] != MemberState::kSuspected && a.now < 30) a.run_until(a.now + 0.1);
    a.now += 8;  // it stands still, and m5 lives
    dumb = false, a.incarnations["m5"] = 1;
    a.sent.clear();
    say("it notices its own pause", a.view.on_timer(a.now));
    bool refuted = false;
    for (const auto& [address, message] : a.sent)
      refuted |= message.records.front().name == "v" && message.records.front().incarnation > 0 &&
                 message.records.front().longest_pause_ms > 7000;
    say("it refutes before it is accused, and says how long it was away", refuted);
    a.run_until(a.now + 8);
    say("a pause of its own is no time in which others refuted", a.states["m5"] == MemberState::kAlive);
    a.sent.clear();
    a.hear("m1", MessageKind::kPing, {Alone::of("m7", 0, Condition::kDead)}, true);
    say("what waited unread meanwhile is neither believed nor answered",
        a.states["m7"] != MemberState::kDead && a.sent.empty());
    Record me = a.view.self_record(a.now);
    me.condition = Condition::kSuspected, me.accusers = {"m1"};
    a.hear("m1", MessageKind::kGossip, {me}, true);
    say("but for what accuses it", a.view.self_record(a.now).incarnation > me.incarnation && !a.sent.empty());
  }
  {
    Alone a(5);
    a.answers = [](const std::string&) { return true; };
    a.run_until(1);
    a.incarnations["m2"] = 2;
    a.hear("m2", MessageKind::kGossip, {});
    a.sent.clear();
    a.hear("m1", MessageKind::kGossip, {Alone::of("m2", 1, Condition::kSuspected)});
    bool told = false;
    for (const auto& [address, message] : a.sent) {
      for (const Record& r : message.records)
        told |= address == "m1:1" && r.name == "m2" && r.incarnation == 2;
    }
    say("who tells old ill news is told what is newer", told);
  }
  {
    Alone a(50);
    a.answers = [](const std::string&) { return true; };
    a.run_until(3);
    say("much news of one exchange is not passed on one by one", a.count(MessageKind::kGossip) == 0);
    a.hear("m1", MessageKind::kGossip, {Alone::of("x")});
    a.run_until(6);
    say("little news is", a.count(MessageKind::kGossip) > 3);
  }
  {
    Alone a(5);
    a.answers = [](const std::string&) { return true; };
    a.exchanged.clear();
    for (int i = 0; i < 80; ++i) {  // one that knows somebody whom it does not know
      a.run_until(a.now + 0.1);
      a.hear("m3", MessageKind::kPing, {}, false, 12345);
    }
    say("who knows another set for five seconds is asked for all that it knows",
        a.exchanged.size() == 1 && a.exchanged.front() == "m3:1");
  }
  {
    int early = 0, late = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Alone a(1000, {}, seed);
      a.answers = [](const std::string&) { return true; };
      a.run_until(1);
      a.exchanged.clear();
      while (a.now < 70 && a.exchanged.empty()) {
        a.run_until(a.now + 0.1);
        a.hear("m3", MessageKind::kPing, {}, false, 12345);
      }
      a.now < 16 ? ++early : a.now < 70 ? ++late : 0;
    }
    say("among 1000 each asks at a moment of its own within a minute", early <= 7 && early + late == 20);
  }
  {
    Alone a(30);
    a.answers = [](const std::string&) { return true; };
    a.run_until(1);
    Record r = Alone::of("m5", 0, Condition::kSuspected);
    r.accusers = {"m1", "m2", "m3", "m4"};
    a.hear("m1", MessageKind::kGossip, {r});
    a.run_until(2.5);
    a.sent.clear();
    r.accusers = {"m6", "m7"};
    a.hear("m1", MessageKind::kGossip, {r});
    a.run_until(2.9);
    say("witnesses that leave it no less time are not passed on", a.count(MessageKind::kGossip) == 0);
  }
  {
    Alone a(400);
    a.answers = [](const std::string&) { return true; };
    a.run_until(1);
    for (int i = 0; i < 200; ++i)
      a.hear("m399", MessageKind::kGossip, {Alone::of(fmt::format("m{}", i), 0, Condition::kDead)});
    a.run_until(3);
    a.sent.clear();
    for (int i = 0; i < 200; ++i)
      a.hear("m399", MessageKind::kGossip, {Alone::of(fmt::format("m{}", i), 0, Condition::kSuspected)});
    a.run_until(4);
    std::size_t records = 0;
    for (const auto& [address, message] : a.sent) records += message.records.size();
    say("after 200 deaths, all of them told anew as suspicions: under 150 records in the next second",
        records < 150);
  }
  {
    Alone a(0, {"s:1"});
    a.run_until(15);
    say("a seed that did not answer is tried again", a.exchanged.size() >= 2 && a.exchanged.back() == "s:1");
    const std::size_t tries = a.exchanged.size();
    a.view.on_push_pull_failed(a.now);
    a.run_until(a.now + 0.5);
    say("one that refused is tried again at once while nobody is known", a.exchanged.size() == tries + 1);
    a.exchanged.clear();
    const double begin = a.now;
    for (std::size_t refused = 0; a.now < begin + 15; a.run_until(a.now + 0.05)) {
      if (refused < a.exchanged.size()) a.view.on_push_pull_failed(a.now), ++refused;
    }
    say("and less often the longer it goes on", a.exchanged.size() >= 3 && a.exchanged.size() <= 7);
  }
  {
    Alone a(3);
    a.answers = [](const std::string& name) { return name != "m1"; };
    while (a.now < 15 && a.states["m1"] != MemberState::kSuspected) a.run_until(a.now + 0.1);
    Record told_of = Alone::of("m1");
    told_of.load_report.version = 1, told_of.load_report.role = "relay";
    a.hear("m2", MessageKind::kGossip, {told_of});
    while (a.now < 25 && a.states["m1"] != MemberState::kDead) a.run_until(a.now + 0.1);
    bool told = false;
    for (const Record& r : a.view.full_state(a.now)) told |= r.name == "m1" && r.load_report.version != 0;
    say("what a dead one told is not passed on", !told);
    const bool dead = a.states["m1"] == MemberState::kDead;
    a.exchanged.clear();
    a.run_until(50);
    say("the dead are tried now and then",
        dead && std::count(a.exchanged.begin(), a.exchanged.end(), "m1:1") > 0);
    a.run_until(8000);
    bool known = false;
    for (const MemberStatus& seen : a.view.members(a.now)) known |= seen.name == "m1";
    say("and forgotten after two hours", !known);
  }
}

// What goes next among the news that waits.
void news() {
  GossipQueue gossip;
  for (int member = 1; member <= 4; ++member) gossip.add(member, 2);
  say("of equals the newest go first", gossip.take(2) == std::vector<int>({4, 3}));
  say("then what was passed on least", gossip.take(3) == std::vector<int>({2, 1, 4}));
  gossip.add(2, 2);
  say("news anew of one takes the place of the old",
      gossip.take(1) == std::vector<int>({2}) && gossip.size() == 3);
  gossip.add(5, 1, true);
  say("urgent news goes first, and alone where only that may go",
      gossip.has_urgent() && gossip.take(9, GossipQueue::Filter::kUrgentOnly) == std::vector<int>({5}) &&
          !gossip.has_urgent() && gossip.size() == 3);
  gossip.forget(2);
  gossip.forget(9);
  say("what is forgotten goes no more, the others as often as wanted",
      gossip.take(9) == std::vector<int>({3, 1}) && gossip.empty() && gossip.take(1).empty());
}

// What goes beyond the pace is owed for a bounded time.
void pace() {
  GossipRateLimiter pace(1000, 500);
  pace.charge(500);
  say("what is spent is not there, and comes with time", !pace.has_budget(0) && pace.has_budget(0.1));
  for (int i = 0; i < 1000; ++i) pace.charge(1000);
  say("much that went without asking holds the rest back for a burst's time",
      !pace.has_budget(0.4) && pace.has_budget(0.7));
}

// ---- The codec.

Record record(const std::string& name) {
  Record r;
  r.name = name, r.epoch = 17, r.incarnation = 3, r.condition = Condition::kSuspected,
  r.address = "10.0.0.1:7400";
  r.longest_pause_ms = 1200, r.conflicting_epoch = 18, r.heard_datagram_number = 250,
  r.load_report_age_ms = 40, r.accusers = {"a", "b"};
  r.load_report = {
      4, "planner", "north", "0.3.0", 7, 99, 12, 640, 20, DependencyState::kSlow, "10.0.0.1:7100"};
  r.broken_links = {{"c", true, 1000}, {"d", false, 0}};
  return r;
}

void codec() {
  namespace wm = damsonspoke::wire::members;
  Message message;
  message.kind = MessageKind::kPing, message.sender = "a", message.sender_epoch = 5,
  message.datagram_number = 33, message.membership_digest = 77, message.probe_id = 9, message.target = "b";
  message.requested_by = "c", message.direct_probe_id = 8, message.direct_ping_received = true;
  message.records = {record("a"), Record()};
  message.records[1].name = "x", message.records[1].epoch = 1, message.records[1].address = "y:1";
  const std::string bytes = wm::encode("one", message);
  const wm::Read read = wm::decode("one", bytes);
  say("what is written is read the same",
      read.problem == wm::Problem::kNone && read.message.records == message.records &&
          read.message.requested_by == "c" && read.message.datagram_number == 33 &&
          read.message.membership_digest == 77 && read.message.direct_ping_received &&
          read.message.direct_probe_id == 8);
  std::printf("a plain record takes %zu bytes, a full one %zu\n",
              wm::encode("one",
                         [&] {
                           Message m = message;
                           m.records.resize(1), m.records[0] = message.records[1];
                           return m;
                         }())
                      .size() -
                  wm::encode("one",
                             [&] {
                               Message m = message;
                               m.records.clear();
                               return m;
                             }())
                      .size(),
              bytes.size() - wm::encode("one",
                                        [&] {
                                          Message m = message;
                                          m.records.erase(m.records.begin());
                                          return m;
                                        }())
                                 .size());
  const auto approximately = [&](const Record& r) {
    Message with = message, without = message;
    with.records = {r}, without.records.clear();
    const auto real = static_cast<double>(wm::encode("one", with).size() - wm::encode("one", without).size());
    return std::abs(static_cast<double>(approximate_bytes(r)) / real - 1) < 0.2;
  };
  Record usual = Alone::of("backend-00417"), dead = usual, suspected = usual;
  usual.epoch = dead.epoch = suspected.epoch = 1796000000000ULL << 12;
  usual.load_report = {
      4, "relay", "north/zone-2", "0.3.0", 0, 0, 12, 640, 0, DependencyState::kUnknown, "10.0.0.1:7100"};
  dead.condition = Condition::kDead, suspected.condition = Condition::kSuspected;
  suspected.accusers = {"backend-00123", "backend-01123"};
  say("what a record takes is known within a fifth", approximately(usual) && approximately(dead) &&
                                                         approximately(suspected) &&
                                                         approximately(message.records[0]));
  std::printf("another cluster: %s\n", wm::text_of(wm::decode("two", bytes).problem));
  std::set<std::string> problems;
  int passed = 0;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    for (const int flip : {1, 128}) {
      std::string spoilt = bytes;
      spoilt[i] = static_cast<char>(spoilt[i] ^ flip);
      const wm::Read of = wm::decode("one", spoilt);
      passed += of.problem == wm::Problem::kNone ? 1 : 0;
      problems.insert(wm::text_of(of.problem));
    }
    passed += wm::decode("one", std::string_view(bytes).substr(0, i)).problem == wm::Problem::kNone ? 1 : 0;
  }
  std::printf("spoilt or cut at any place: %d read;", passed);
  for (const std::string& problem : problems) std::printf(" %s;", problem.c_str());
  std::puts("");
  Message large = message;
  for (int i = 0; i < 40; ++i) large.records.push_back(record(fmt::format("member-{}", i)));
  const std::string cut = wm::encode("one", large);
  say("a datagram keeps to one packet",
      cut.size() <= wm::kMaxDatagramBytes && wm::decode("one", cut).message.records.size() > 3);
  say("an oversized one is refused", wm::decode("one", std::string(5000, 'x')).problem != wm::Problem::kNone);
  std::vector<Record> all;
  for (int i = 0; i < 1000; ++i) all.push_back(record(fmt::format("member-{}", i)));
  const std::string exchange = wm::encode_exchange("one", all);
  const auto whole = wm::decode_exchange("one", exchange + "more");
  say("a full exchange of 1000", whole.whole && whole.records == all && whole.used == exchange.size());
  say("half of it is not whole", !wm::decode_exchange("one", exchange.substr(0, 3000)).whole);
  say("a length beyond the bound is refused",
      wm::decode_exchange("one", "\x7f\xff\xff\xff????").problem != wm::Problem::kNone);
  for (const std::string name : {"", "a b", "line\nbreak"}) {
    Message bad = message;
    bad.records[0].name = name;
    std::printf("a name that is none: %s\n", wm::text_of(wm::decode("one", wm::encode("one", bad)).problem));
  }
}

// Forged news: a member that claims to be somebody else's later life, or much of itself.
void forged() {
  MembersSim sim(of(6, 16));
  trace(sim);
  sim.begin(true);
  sim.run_until(5);
  Message message;
  message.kind = MessageKind::kGossip, message.sender = "n9", message.sender_epoch = 5;
  Record r;
  r.name = "n2", r.epoch = 1UL << 60, r.address = "10.0.9.9:1", r.condition = Condition::kDead,
  r.incarnation = 7;
  message.records = {r};
  sim.view(0).on_message("10.0.9.9:1", message, sim.now());
  sim.run_until(15);
  say("a forged death of a later life is outlived",
      sim.state(0, "n2") == MemberState::kAlive && sim.views_same());
  r.epoch = sim.view(2).self().epoch, r.incarnation = kMaxIncarnation, r.condition = Condition::kSuspected;
  message.records = {r};
  sim.view(2).on_message("10.0.9.9:1", message, sim.now());
  sim.run_until(30);
  namespace wm = damsonspoke::wire::members;
  Message own;
  own.sender = "n2", own.records = {sim.view(2).self_record(sim.now())};
  say("nor does an accusation of the last incarnation silence it",
      wm::decode("c", wm::encode("c", own)).problem == wm::Problem::kNone && sim.views_same());
  message.records.clear();
  for (int i = 0; i < 5000; ++i) {
    r.name = fmt::format("x{}", i);
    message.records = {r};
    sim.view(0).on_message("10.0.9.9:1", message, sim.now());
  }
  say("no more members than there is room for",
      sim.view(0).members(sim.now()).size() <= 4096 && sim.view(0).counts().rejected_members > 0);
}

}  // namespace

int main(int argc, char** argv) {
  std::string unused;
  return run_scenario(argc, argv, unused,
                      {{"histories_3", histories_3},
                       {"histories_30", histories_30},
                       {"histories_300", histories_300},
                       {"third", third},
                       {"sixth", sixth},
                       {"third_paused", third_paused},
                       {"lossy", lossy},
                       {"pauses", pauses},
                       {"zones", zones},
                       {"deaf", deaf},
                       {"halves", halves},
                       {"flapping", flapping},
                       {"ill", ill},
                       {"replaced", replaced},
                       {"joins", joins},
                       {"clones", clones},
                       {"leaves", leaves},
                       {"alone", alone},
                       {"news", news},
                       {"pace", pace},
                       {"codec", codec},
                       {"forged", forged}});
}
