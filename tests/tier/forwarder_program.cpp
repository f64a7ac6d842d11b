// A forwarder among callers and scripted planners, each wrong in one way beside a sound one; then real
// planners that are killed, leave, stop and come back. The checker of the rules reads what all of them saw.
// CTest compares with tests/traces/tier_program_NAME.txt. usage: tier_forwarder_program BINARY SCENARIO
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>

#include "planner.h"
#include "scenarios.h"
#include "two_level.h"

using namespace damsonspoke;
using namespace damsonspoke::standins;

namespace {

std::string binary;

SiteSpec site(const char* close = "retryable") {
  SiteSpec s;
  s.types = {{"read", "retryable", 0.5, 1, 0, 1}, {"close", close, 0.5, 1, 20, 3}};
  return s;
}

Callers::Options load_of(double reads, double closes, int retries = 1) {
  Callers::Options load;
  load.flows = {{"read", reads, 1}, {"close", closes, 1}};
  for (Flow& flow : load.flows) {
    flow.retries = retries;
    flow.pause = 0.1;
  }
  load.flows[1].has_key = true;
  load.connections = 3;
  load.seed = 5;
  return load;
}

struct Tally {
  int asked = 0, succeeded = 0, rejected = 0, failed = 0;
  double longest_rejection = 0;  // s
};
Tally tally(const Journal& journal, double from = 0, const char* type = nullptr) {
  Tally out;
  for (const auto& [request, t] : journal.attempts) {
    if (t.sent < from || (type != nullptr && t.type != type)) continue;
    ++out.asked;
    for (const Answer& a : t.answers) {
      out.succeeded += a.kind == AnswerKind::kSucceeded;
      out.failed += a.kind == AnswerKind::kFailed;
      if (a.kind != AnswerKind::kRejected) continue;
      ++out.rejected;
      out.longest_rejection = std::max(out.longest_rejection, a.at - t.sent);
    }
  }
  return out;
}

void verdict(const Journal& journal, const RuleLimits& limits) {
  const Verdict v = check_rules(journal, limits);
  for (const std::string& line : v.broken) std::printf("%s\n", line.c_str());
  std::printf("rules: %s\n", v.kept() ? "kept" : "BROKEN");
}

// ---- Scripted planners.
struct Scripted {
  Scripted(Planner::Options first, Planner::Options second, const std::string& more = "")
      : callers(loop, journal, load_of(60, 20)),
        planners{std::make_unique<Planner>(loop, journal, first),
                 std::make_unique<Planner>(loop, journal, second)} {
    SiteSpec spec = site();
    spec.command = "forward";
    spec.name = "f1";
    spec.operators =
        fmt::format("forward\n    planners {} {}\n{}", planners[0]->address(), planners[1]->address(), more);
    forwarder = std::make_unique<Server>(loop, journal, callers, binary, spec, Runtime::Options{});
    if (!forwarder->start()) std::printf("the forwarder does not start\n");
    loop.run_until([this] { return forwarder->registry.is_listed(); }, 5);
  }
  std::uint64_t count(const char* name) {
    const auto counters = forwarder->process->counters();
    return counters.contains(name) ? counters.at(name) : 0;
  }
  void end() {
    callers.want_more(false);
    say("all tries end",
        loop.run_until([this] { return callers.open() == 0 && callers.still_wanted() == 0; }, 4));
    say("no invariant broken", count("invariants.broken") == 0);
    say("the forwarder leaves in order", forwarder->leave());
    RuleLimits limits;
    verdict(journal, limits);
  }
  Loop loop;
  Journal journal;
  Callers callers;
  std::unique_ptr<Planner> planners[2];
  std::unique_ptr<Server> forwarder;
};

Planner::Options of(PlannerManner manner) { return {manner, 0.005, 64}; }

void mute() {
  Scripted play(of(PlannerManner::kMute), of(PlannerManner::kSound));
  play.loop.run_for(1.5);
  const double later = now();
  play.loop.run_for(1.5);
  say("it is asked for proof", play.planners[0]->fences() > 0);
  say("few ops stick to it: the better of two is the other", play.planners[0]->taken() < 12);
  const Tally t = tally(play.journal, later);
  play.end();
  say("of what comes later nine tenths are served", t.succeeded > 0.9 * (t.asked - 8));
}

void rejections() {
  Scripted play(of(PlannerManner::kRejections), of(PlannerManner::kSound));
  play.loop.run_for(2);
  say("further tries were made", play.count("tier.retries") > 0);
  say("they keep to their share", play.count("tier.retries") <= 12 + play.count("tier.first_attempts") / 10);
  say("it is left out", play.count("tier.ejections") > 0);
  play.end();
  const Tally t = tally(play.journal);
  say("three quarters are served", t.succeeded > 0.75 * t.asked);
}

void half() {
  Scripted play(of(PlannerManner::kHalf), of(PlannerManner::kSound));
  play.loop.run_for(3.5);
  say("the link that stalls in a frame is opened anew", play.count("tier.silent") > 0);
  play.end();
}

void lies() {
  Scripted play(of(PlannerManner::kLies), of(PlannerManner::kSound));
  play.loop.run_for(2);
  say("answers behind a fence are dropped", play.count("tier.answers_dropped") > 0);
  play.end();
}

void stranger() {
  Scripted play(of(PlannerManner::kStranger), of(PlannerManner::kStranger));
  play.loop.run_for(1);
  say("answers to what was never sent are dropped", play.count("tier.answers_dropped") > 0);
  play.end();
  const Tally t = tally(play.journal);
  say("all are served", t.succeeded == t.asked);
}

void slow() {
  Planner::Options ten_times = of(PlannerManner::kSound);
  ten_times.takes = 0.3;
  Scripted play(ten_times, of(PlannerManner::kSound));
  play.loop.run_for(3);
  say("it is left out", play.count("tier.ejections") > 0);
  play.end();
  const Tally t = tally(play.journal);
  say("nearly all are served", t.succeeded > 0.97 * t.asked);
}

void all_gone() {
  Scripted play(of(PlannerManner::kSound), of(PlannerManner::kSound));
  play.loop.run_for(0.5);
  const std::uint16_t ports[2] = {play.planners[0]->port(), play.planners[1]->port()};
  for (auto& planner : play.planners) planner.reset();
  play.loop.run_for(0.3);
  const double gone = now();
  play.loop.run_for(1.5);
  say("off the list after a grace", !play.forwarder->registry.is_listed());
  const Tally t = tally(play.journal, gone);
  say("meanwhile all are nacked, at once",
      t.asked > 50 && t.rejected >= t.asked - 2 && t.longest_rejection < 0.1);
  for (int i = 0; i < 2; ++i)
    play.planners[i] =
        std::make_unique<Planner>(play.loop, play.journal, of(PlannerManner::kSound), ports[i]);
  say("on the list again", play.loop.run_until([&] { return play.forwarder->registry.is_listed(); }, 3));
  const double back = now();
  play.loop.run_for(1);
  const Tally later = tally(play.journal, back);
  say("and served", later.succeeded > 0.8 * later.asked);
  play.end();
}

// ---- Real planners.
Runtime::Options work_of(double seconds) {
  Runtime::Options o;
  o.work = seconds;
  return o;
}

struct Real {
  Real(const std::string& operators, const char* close, double reads, double closes, int forwarders = 2,
       int planners = 3, double work = 0.01)
      : Real(with(operators, close), load_of(reads, closes, 2), forwarders, planners, work) {}
  Real(const SiteSpec& spec, const Callers::Options& load, int forwarders, int planners, double work)
      : fleet(binary, spec, work_of(work), load, forwarders, planners) {
    if (!fleet.start()) std::printf("the fleet does not start\n");
  }
  static SiteSpec with(const std::string& operators, const char* close) {
    SiteSpec s = site(close);
    s.operators = operators;
    return s;
  }
  void end() {
    say("all tries end", fleet.settle(5));
    std::uint64_t broken = 0;
    for (auto* level : {&fleet.forwarders, &fleet.planners}) {
      for (const auto& server : *level) {
        if (!server->process->over()) broken += server->process->counters()["invariants.broken"];
      }
    }
    say("no invariant broken", broken == 0);
    say("all leave in order", fleet.leave());
    verdict(fleet.journal, fleet.limits());
  }
  TwoLevel fleet;
};

void kills() {
  Real play("", "retryable", 300, 100);
  for (int i = 0; i < 3; ++i) {
    play.fleet.loop.run_for(0.8);
    play.fleet.planners[static_cast<std::size_t>(i)]->kill();
    play.fleet.loop.run_for(0.2);
    play.fleet.planners[static_cast<std::size_t>(i)]->start();
  }
  play.fleet.loop.run_for(1);
  play.end();
  const Tally t = tally(play.fleet.journal);
  say("nine tenths of what is asked are served", t.succeeded > 0.9 * t.asked);
}

void all_killed() {
  Real play("", "retryable", 200, 60);
  play.fleet.loop.run_for(0.7);
  for (const auto& planner : play.fleet.planners) planner->kill();
  play.fleet.loop.run_for(0.5);
  for (const auto& planner : play.fleet.planners) planner->start();
  play.fleet.loop.run_for(0.7);
  const double back = now();
  play.fleet.loop.run_for(1);
  const Tally t = tally(play.fleet.journal, back);
  play.end();
  say("served again", t.succeeded > 0.8 * (t.asked - 20));
}

// Keyed requests are remembered by one planner each, across its deaths.
void keyed() {
  Real play("results\n    enabled on\n    store STORE\n", "dedup", 100, 100);
  for (int i = 0; i < 4; ++i) {
    play.fleet.loop.run_for(0.6);
    Server& planner = *play.fleet.planners[static_cast<std::size_t>(i % 3)];
    planner.kill();
    play.fleet.loop.run_for(0.1);
    planner.start();
  }
  play.fleet.forwarders[0]->kill();  // what it had in hand ends in the stores
  play.fleet.loop.run_for(0.3);
  play.fleet.forwarders[0]->start();
  play.fleet.loop.run_for(0.6);
  play.end();
}

void forty() {
  Real play("", "retryable", 400, 130, 40, 3);
  play.fleet.loop.run_for(1.5);
  play.fleet.planners[0]->kill();
  play.fleet.loop.run_for(0.2);
  play.fleet.planners[0]->start();
  play.fleet.loop.run_for(1.5);
  play.end();
  const Tally t = tally(play.fleet.journal);
  say("four fifths of what is asked are served", t.succeeded > 0.8 * t.asked);
}

// A planner's process stands still: pings stay unanswered; it goes on and is asked about what it held.
void stops() {
  Real play("", "retryable", 150, 50);
  play.fleet.loop.run_for(0.7);
  Server& planner = *play.fleet.planners[0];
  planner.process->signal(SIGSTOP);
  play.fleet.loop.run_for(1.6);
  const double later = now();
  play.fleet.loop.run_for(0.6);
  const Tally t = tally(play.fleet.journal, later);
  planner.process->signal(SIGCONT);
  play.fleet.loop.run_for(1);
  play.end();
  say("the others serve meanwhile", t.succeeded > 0.7 * t.asked);
}

void drains() {
  Real play("", "retryable", 150, 50);
  play.fleet.loop.run_for(0.7);
  Server& planner = *play.fleet.planners[0];
  const double told = now();
  planner.notice();
  say("a planner leaves in order", planner.ended());
  say("at once, as forwarders let go of it", now() - told < 1.2);
  play.fleet.loop.run_for(0.3);
  say("it starts again", planner.start());
  play.fleet.loop.run_for(0.7);
  Server& forwarder = *play.fleet.forwarders[0];
  forwarder.notice();
  play.fleet.callers.avoid(0);
  say("a forwarder leaves in order", forwarder.ended());
  say("it starts again", forwarder.start());
  play.fleet.loop.run_for(0.5);
  const Tally t = tally(play.fleet.journal);
  say("nothing failed", t.failed == 0);
  play.end();
}

constexpr double kLongPatience = 2;  // s; settling waits for two tries of it

constexpr double kFreshSeconds = 0.05;  // of a run that has just begun

// Whether a run that callers asked this forwarder for has just begun.
bool has_fresh_run(const Journal& journal, int life) {
  return std::any_of(journal.runs.begin(), journal.runs.end(), [&](const RunSeen& run) {
    const auto found = journal.attempts.find(run.request);
    return found != journal.attempts.end() && found->second.life == life && run.began > now() - kFreshSeconds;
  });
}

// Long runs: what it had in hand still runs when planners give it up. It is killed when a run has just begun,
// or there may be none by then; and callers wait for several runs, or none but the first would be admitted.
void forwarder_killed() {
  SiteSpec spec = site();
  Callers::Options load = load_of(12, 8, 1);
  for (RouteSpec& route : spec.types) route.target = route.timeout = kLongPatience;
  for (Flow& flow : load.flows) flow.timeout = kLongPatience;
  Real play(spec, load, 2, 3, 0.9);
  play.fleet.loop.run_for(1.5);
  const int life = play.fleet.forwarders[0]->life_number();
  if (!play.fleet.loop.run_until([&] { return has_fresh_run(play.fleet.journal, life); }, 5))
    std::printf("no run of its callers begins\n");
  play.fleet.forwarders[0]->kill();
  play.fleet.loop.run_for(1.2);
  std::uint64_t gone = 0;
  for (const auto& planner : play.fleet.planners)
    gone += planner->process->counters()["requests.caller_gone"];
  say("planners learn that its callers are gone", gone > 0);
  say("it starts again", play.fleet.forwarders[0]->start());
  play.fleet.loop.run_for(0.5);
  play.end();
}

void reload() {
  Real play("", "retryable", 150, 50, 1, 3);
  play.fleet.loop.run_for(0.5);
  Server& forwarder = *play.fleet.forwarders[0];
  const auto planners = [&](const std::string& addresses) {
    forwarder.write_operators("forward\n    planners " + addresses + "\n");
    forwarder.process->signal(SIGHUP);
    play.fleet.loop.run_for(0.6);
    std::printf("planners linked: %d\n", static_cast<int>(forwarder.process->counters()["tier.planners"]));
  };
  planners(play.fleet.planners[0]->address());
  planners("nonsense");
  planners(play.fleet.planners[1]->address() + " " + play.fleet.planners[2]->address());
  const Tally t = tally(play.fleet.journal);
  say("nothing failed", t.failed == 0 && t.asked > 100);
  play.end();
}

// Planners whose clocks are set half a second apart from the forwarders': nothing that is told between them
// depends on what either takes the time to be, nor does what they remember over a restart.
void clocks() {
  const auto shifted = [](const char* shift) {
    return std::vector<std::string>{"/usr/bin/env", std::string("CLOCK_SHIFT=") + shift,
                                    std::string("LD_PRELOAD=") + CLOCK_SHIFT_LIBRARY,
                                    "ASAN_OPTIONS=verify_asan_link_order=0"};
  };
  SiteSpec spec = site("dedup");
  spec.operators = "results\n    enabled on\n    store STORE\n";
  Callers::Options load = load_of(150, 60, 1);
  load.flows[1].copies = 2;
  load.flows[1].spread = 1.5;
  TwoLevel fleet(binary, spec, work_of(0.005), load, 2, 3, "", {shifted("-0.5"), shifted("0.5")});
  if (!fleet.start()) std::printf("the fleet does not start\n");
  fleet.loop.run_for(1.5);
  const Tally t = tally(fleet.journal);
  say("nearly all are served", t.succeeded > 0.97 * (t.asked - 20));
  for (const auto& planner : fleet.planners) {
    auto counters = planner->process->counters();
    say("each planner serves", counters["requests.succeeded"] > 30);
    say("none takes an op to be older than it is", counters["reads.max_delay_us"] < 200000);
  }
  fleet.planners[0]->kill();
  fleet.loop.run_for(0.1);
  fleet.planners[0]->start();
  fleet.loop.run_for(1);
  say("all tries end", fleet.settle(5));
  say("all leave in order", fleet.leave());
  verdict(fleet.journal, fleet.limits());
}

// Keys move between planners while their things are asked for again and again, by a list that forwarders get
// one after the other and a forwarder that starts with another list than it ended with.
void moving() {
  const std::string results = "results\n    enabled on\n    store STORE\n";
  Callers::Options load = load_of(40, 120, 1);
  load.flows[1].copies = 3;  // of each thing, over a time in which lists change
  load.flows[1].spread = 2.5;
  SiteSpec spec = site("dedup");
  spec.types[1].window = 4;
  spec.operators = results;
  TwoLevel fleet(binary, spec, work_of(0.005), load, 2, 3, "    reload-spread 300ms\n    folder FOLDER\n");
  if (!fleet.start()) std::printf("the fleet does not start\n");
  const auto list = [&](std::size_t forwarder, std::initializer_list<std::size_t> planners) {
    std::string text = results + "forward\n    reload-spread 300ms\n    folder FOLDER\n    planners";
    for (const std::size_t i : planners) text += ' ' + fleet.planners[i]->address();
    fleet.forwarders[forwarder]->write_operators(text + '\n');
  };
  const auto both = [&](std::initializer_list<std::size_t> planners) {
    for (std::size_t f = 0; f < 2; ++f) {
      list(f, planners);
      fleet.forwarders[f]->process->signal(SIGHUP);
      fleet.loop.run_for(0.15);
    }
  };
  fleet.loop.run_for(1);
  both({0, 1});
  fleet.loop.run_for(1.5);
  both({1, 2});
  fleet.loop.run_for(1.5);
  std::uint64_t questions = 0, known = 0;
  const auto count = [&](Server& forwarder) {
    auto counters = forwarder.process->counters();
    questions += counters["tier.key_queries"];
    known += counters["tier.key_queries_known"];
    return counters["tier.key_queries"];
  };
  count(*fleet.forwarders[0]);
  Server& restarted = *fleet.forwarders[1];
  count(restarted);
  restarted.notice();
  fleet.callers.avoid(1);
  say("a forwarder leaves", restarted.ended());
  list(1, {0, 1, 2});
  list(0, {0, 1, 2});
  fleet.forwarders[0]->process->signal(SIGHUP);
  say("it starts with another list", restarted.start());
  fleet.loop.run_for(2);
  say("it asks former homes as well", count(restarted) > 5);
  say("former homes were asked, and some knew", questions > 50 && known > 10);
  say("all tries end", fleet.settle(5));
  say("all leave in order", fleet.leave());
  verdict(fleet.journal, fleet.limits());
  const Tally t = tally(fleet.journal, 0, "close");
  say("half of the keyed ops are served all the same", t.succeeded > t.asked / 2);
}

}  // namespace

int main(int argc, char** argv) {
  return run_scenario(argc, argv, binary,
                      {{"mute", mute},
                       {"nacks", rejections},
                       {"half", half},
                       {"lies", lies},
                       {"stranger", stranger},
                       {"slow", slow},
                       {"all_gone", all_gone},
                       {"kills", kills},
                       {"keyed", keyed},
                       {"all_killed", all_killed},
                       {"stops", stops},
                       {"drains", drains},
                       {"forwarder_killed", forwarder_killed},
                       {"reload", reload},
                       {"moving", moving},
                       {"clocks", clocks},
                       {"forty", forty}});
}
