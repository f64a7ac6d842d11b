// A forwarder process with callers and two scripted planners, one of them faulty in one way; then real
// planners that are killed, drain, pause and restart. The rule checker evaluates the journal of all
// processes. CTest compares the output with tests/traces/tier_program_NAME.txt. usage: tier_forwarder_program
// BINARY SCENARIO
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

Callers::Options caller_load(double reads, double closes, int retries = 1) {
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
  int attempts = 0, succeeded = 0, rejected = 0, failed = 0;
  double longest_rejection = 0;  // s
};
Tally tally(const Journal& journal, double from = 0, const char* type = nullptr) {
  Tally out;
  for (const auto& [request, t] : journal.attempts) {
    if (t.sent < from || (type != nullptr && t.type != type)) continue;
    ++out.attempts;
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

void print_rules_verdict(const Journal& journal, const RuleLimits& limits) {
  const Verdict v = check_rules(journal, limits);
  for (const std::string& line : v.broken) std::printf("%s\n", line.c_str());
  std::printf("rules: %s\n", v.kept() ? "kept" : "BROKEN");
}

// ---- Scripted planners.
struct ScriptedFixture {
  ScriptedFixture(Planner::Options first, Planner::Options second, const std::string& more = "")
      : callers(loop, journal, caller_load(60, 20)),
        planners{std::make_unique<Planner>(loop, journal, first),
                 std::make_unique<Planner>(loop, journal, second)} {
    SiteSpec spec = site();
    spec.command = "forward";
    spec.name = "f1";
    spec.operators =
        fmt::format("forward\n    planners {} {}\n{}", planners[0]->address(), planners[1]->address(), more);
    forwarder = std::make_unique<Server>(loop, journal, callers, binary, spec, Runtime::Options{});
    if (!forwarder->start()) std::printf("the forwarder did not start\n");
    loop.run_until([this] { return forwarder->registry.is_listed(); }, 5);
  }
  std::uint64_t count(const char* name) {
    const auto counters = forwarder->process->counters();
    return counters.contains(name) ? counters.at(name) : 0;
  }
  void end() {
    callers.set_load_enabled(false);
    say("all attempts end",
        loop.run_until(
            [this] { return callers.attempts_in_flight() == 0 && callers.unfinished_tasks() == 0; }, 4));
    say("no invariant broken", count("invariants.broken") == 0);
    say("the forwarder shuts down gracefully", forwarder->shut_down());
    RuleLimits limits;
    print_rules_verdict(journal, limits);
  }
  Loop loop;
  Journal journal;
  Callers callers;
  std::unique_ptr<Planner> planners[2];
  std::unique_ptr<Server> forwarder;
};

Planner::Options planner_options(PlannerMode mode) { return {mode, 0.005, 64}; }

void silent_planner() {
  ScriptedFixture fixture(planner_options(PlannerMode::kSilent), planner_options(PlannerMode::kCorrect));
  fixture.loop.run_for(1.5);
  const double measured_from = now();
  fixture.loop.run_for(1.5);
  say("the silent planner gets fences", fixture.planners[0]->fences_received() > 0);
  say("few requests are sent to it: the other planner is the better of two",
      fixture.planners[0]->attempts_received() < 12);
  const Tally t = tally(fixture.journal, measured_from);
  fixture.end();
  say("nine tenths of the later requests are served", t.succeeded > 0.9 * (t.attempts - 8));
}

void rejecting_planner() {
  ScriptedFixture fixture(planner_options(PlannerMode::kRejectsAll), planner_options(PlannerMode::kCorrect));
  fixture.loop.run_for(2);
  say("retries were made", fixture.count("tier.retries") > 0);
  say("they stay within the retry budget",
      fixture.count("tier.retries") <= 12 + fixture.count("tier.first_attempts") / 10);
  say("the planner is ejected", fixture.count("tier.ejections") > 0);
  fixture.end();
  const Tally t = tally(fixture.journal);
  say("three quarters of the requests are served", t.succeeded > 0.75 * t.attempts);
}

void stalled_frame() {
  ScriptedFixture fixture(planner_options(PlannerMode::kPartialAnswer),
                          planner_options(PlannerMode::kCorrect));
  fixture.loop.run_for(3.5);
  say("the link that stalls within a frame is reconnected", fixture.count("tier.silent") > 0);
  fixture.end();
}

void false_fence_answers() {
  ScriptedFixture fixture(planner_options(PlannerMode::kFalseProofs), planner_options(PlannerMode::kCorrect));
  fixture.loop.run_for(2);
  say("answers after a fence are dropped", fixture.count("tier.answers_dropped") > 0);
  fixture.end();
}

void forged_answers() {
  ScriptedFixture fixture(planner_options(PlannerMode::kForgedAnswers),
                          planner_options(PlannerMode::kForgedAnswers));
  fixture.loop.run_for(1);
  say("answers to attempts that were never sent are dropped", fixture.count("tier.answers_dropped") > 0);
  fixture.end();
  const Tally t = tally(fixture.journal);
  say("all requests are served", t.succeeded == t.attempts);
}

void slow_planner() {
  Planner::Options slow_options = planner_options(PlannerMode::kCorrect);
  slow_options.run_seconds = 0.3;
  ScriptedFixture fixture(slow_options, planner_options(PlannerMode::kCorrect));
  fixture.loop.run_for(3);
  say("the planner is ejected", fixture.count("tier.ejections") > 0);
  fixture.end();
  const Tally t = tally(fixture.journal);
  say("nearly all requests are served", t.succeeded > 0.97 * t.attempts);
}

void all_planners_closed() {
  ScriptedFixture fixture(planner_options(PlannerMode::kCorrect), planner_options(PlannerMode::kCorrect));
  fixture.loop.run_for(0.5);
  const std::uint16_t ports[2] = {fixture.planners[0]->port(), fixture.planners[1]->port()};
  for (auto& planner : fixture.planners) planner.reset();
  fixture.loop.run_for(0.3);
  const double closed_at = now();
  fixture.loop.run_for(1.5);
  say("removed from the registry after a grace period", !fixture.forwarder->registry.is_listed());
  const Tally t = tally(fixture.journal, closed_at);
  say("meanwhile all requests are rejected immediately",
      t.attempts > 50 && t.rejected >= t.attempts - 2 && t.longest_rejection < 0.1);
  for (int i = 0; i < 2; ++i)
    fixture.planners[i] = std::make_unique<Planner>(fixture.loop, fixture.journal,
                                                    planner_options(PlannerMode::kCorrect), ports[i]);
  say("in the registry again",
      fixture.loop.run_until([&] { return fixture.forwarder->registry.is_listed(); }, 3));
  const double restored_at = now();
  fixture.loop.run_for(1);
  const Tally after_restore = tally(fixture.journal, restored_at);
  say("requests are served again", after_restore.succeeded > 0.8 * after_restore.attempts);
  fixture.end();
}

// ---- Real planners.
Runtime::Options runtime_options(double seconds) {
  Runtime::Options o;
  o.work = seconds;
  return o;
}

struct RealFixture {
  RealFixture(const std::string& operators, const char* close, double reads, double closes,
              int forwarders = 2, int planners = 3, double work = 0.01)
      : RealFixture(site_with(operators, close), caller_load(reads, closes, 2), forwarders, planners, work) {}
  RealFixture(const SiteSpec& spec, const Callers::Options& load, int forwarders, int planners, double work)
      : fleet(binary, spec, runtime_options(work), load, forwarders, planners) {
    if (!fleet.start()) std::printf("the fleet did not start\n");
  }
  static SiteSpec site_with(const std::string& operators, const char* close) {
    SiteSpec s = site(close);
    s.operators = operators;
    return s;
  }
  void end() {
    say("all attempts end", fleet.settle(5));
    std::uint64_t broken = 0;
    for (auto* level : {&fleet.forwarders, &fleet.planners}) {
      for (const auto& server : *level) {
        if (!server->process->has_ended()) broken += server->process->counters()["invariants.broken"];
      }
    }
    say("no invariant broken", broken == 0);
    say("all shut down gracefully", fleet.shut_down());
    print_rules_verdict(fleet.journal, fleet.limits());
  }
  TwoLevel fleet;
};

void planner_kills() {
  RealFixture fixture("", "retryable", 300, 100);
  for (int i = 0; i < 3; ++i) {
    fixture.fleet.loop.run_for(0.8);
    fixture.fleet.planners[static_cast<std::size_t>(i)]->kill();
    fixture.fleet.loop.run_for(0.2);
    fixture.fleet.planners[static_cast<std::size_t>(i)]->start();
  }
  fixture.fleet.loop.run_for(1);
  fixture.end();
  const Tally t = tally(fixture.fleet.journal);
  say("nine tenths of the requests are served", t.succeeded > 0.9 * t.attempts);
}

void all_planners_killed() {
  RealFixture fixture("", "retryable", 200, 60);
  fixture.fleet.loop.run_for(0.7);
  for (const auto& planner : fixture.fleet.planners) planner->kill();
  fixture.fleet.loop.run_for(0.5);
  for (const auto& planner : fixture.fleet.planners) planner->start();
  fixture.fleet.loop.run_for(0.7);
  const double restored_at = now();
  fixture.fleet.loop.run_for(1);
  const Tally t = tally(fixture.fleet.journal, restored_at);
  fixture.end();
  say("requests are served after the restart", t.succeeded > 0.8 * (t.attempts - 20));
}

// Guards against a keyed request that runs twice because its planner was killed: the planner remembers it
// across restarts.
void keyed_requests() {
  RealFixture fixture("results\n    enabled on\n    store STORE\n", "dedup", 100, 100);
  for (int i = 0; i < 4; ++i) {
    fixture.fleet.loop.run_for(0.6);
    Server& planner = *fixture.fleet.planners[static_cast<std::size_t>(i % 3)];
    planner.kill();
    fixture.fleet.loop.run_for(0.1);
    planner.start();
  }
  fixture.fleet.forwarders[0]->kill();  // the results of its requests in flight end up in the stores
  fixture.fleet.loop.run_for(0.3);
  fixture.fleet.forwarders[0]->start();
  fixture.fleet.loop.run_for(0.6);
  fixture.end();
}

void forty_forwarders() {
  RealFixture fixture("", "retryable", 400, 130, 40, 3);
  fixture.fleet.loop.run_for(1.5);
  fixture.fleet.planners[0]->kill();
  fixture.fleet.loop.run_for(0.2);
  fixture.fleet.planners[0]->start();
  fixture.fleet.loop.run_for(1.5);
  fixture.end();
  const Tally t = tally(fixture.fleet.journal);
  say("four fifths of the requests are served", t.succeeded > 0.8 * t.attempts);
}

// A planner's process is stopped: its pings are not answered; when it continues it is asked for proof about
// its open attempts.
void paused_planner() {
  RealFixture fixture("", "retryable", 150, 50);
  fixture.fleet.loop.run_for(0.7);
  Server& planner = *fixture.fleet.planners[0];
  planner.process->signal(SIGSTOP);
  fixture.fleet.loop.run_for(1.6);
  const double measured_from = now();
  fixture.fleet.loop.run_for(0.6);
  const Tally t = tally(fixture.fleet.journal, measured_from);
  planner.process->signal(SIGCONT);
  fixture.fleet.loop.run_for(1);
  fixture.end();
  say("the other planners serve requests meanwhile", t.succeeded > 0.7 * t.attempts);
}

void drains() {
  RealFixture fixture("", "retryable", 150, 50);
  fixture.fleet.loop.run_for(0.7);
  Server& planner = *fixture.fleet.planners[0];
  const double notified_at = now();
  planner.send_shutdown_notice();
  say("a planner shuts down gracefully", planner.wait_for_end());
  say("it stops early, because forwarders close their links", now() - notified_at < 1.2);
  fixture.fleet.loop.run_for(0.3);
  say("it restarts", planner.start());
  fixture.fleet.loop.run_for(0.7);
  Server& forwarder = *fixture.fleet.forwarders[0];
  forwarder.send_shutdown_notice();
  fixture.fleet.callers.avoid(0);
  say("a forwarder shuts down gracefully", forwarder.wait_for_end());
  say("it restarts", forwarder.start());
  fixture.fleet.loop.run_for(0.5);
  const Tally t = tally(fixture.fleet.journal);
  say("nothing failed", t.failed == 0);
  fixture.end();
}

constexpr double kLongTimeoutSeconds = 2;  // settle() waits for two attempts of this length

constexpr double kRecentRunSeconds = 0.05;  // maximum age of a run that counts as recent

// Whether a run requested through this forwarder has just begun.
bool has_recent_run(const Journal& journal, int incarnation) {
  return std::any_of(journal.runs.begin(), journal.runs.end(), [&](const RecordedRun& run) {
    const auto found = journal.attempts.find(run.request);
    return found != journal.attempts.end() && found->second.incarnation == incarnation &&
           run.began > now() - kRecentRunSeconds;
  });
}

// Long runs: requests in flight still run when planners abandon them. The forwarder is killed when a run has
// just begun, because otherwise there may be none; and client timeouts cover several runs, because otherwise
// only the first request would be admitted.
void forwarder_killed() {
  SiteSpec spec = site();
  Callers::Options load = caller_load(12, 8, 1);
  for (RouteSpec& route : spec.types) route.target = route.timeout = kLongTimeoutSeconds;
  for (Flow& flow : load.flows) flow.timeout = kLongTimeoutSeconds;
  RealFixture fixture(spec, load, 2, 3, 0.9);
  fixture.fleet.loop.run_for(1.5);
  const int incarnation = fixture.fleet.forwarders[0]->incarnation_number();
  if (!fixture.fleet.loop.run_until([&] { return has_recent_run(fixture.fleet.journal, incarnation); }, 5))
    std::printf("no run for its callers has begun\n");
  fixture.fleet.forwarders[0]->kill();
  fixture.fleet.loop.run_for(1.2);
  std::uint64_t closed_at = 0;
  for (const auto& planner : fixture.fleet.planners)
    closed_at += planner->process->counters()["requests.caller_gone"];
  say("planners detect that its callers have disconnected", closed_at > 0);
  say("it restarts", fixture.fleet.forwarders[0]->start());
  fixture.fleet.loop.run_for(0.5);
  fixture.end();
}

void reload() {
  RealFixture fixture("", "retryable", 150, 50, 1, 3);
  fixture.fleet.loop.run_for(0.5);
  Server& forwarder = *fixture.fleet.forwarders[0];
  const auto planners = [&](const std::string& addresses) {
    forwarder.write_operators("forward\n    planners " + addresses + "\n");
    forwarder.process->signal(SIGHUP);
    fixture.fleet.loop.run_for(0.6);
    std::printf("planners linked: %d\n", static_cast<int>(forwarder.process->counters()["tier.planners"]));
  };
  planners(fixture.fleet.planners[0]->address());
  planners("nonsense");
  planners(fixture.fleet.planners[1]->address() + " " + fixture.fleet.planners[2]->address());
  const Tally t = tally(fixture.fleet.journal);
  say("nothing failed", t.failed == 0 && t.attempts > 100);
  fixture.end();
}

// Guards against messages or stored records that depend on a common clock: the planners' clocks differ from
// the forwarders' by half a second.
void clock_skew() {
  const auto shifted = [](const char* shift) {
    return std::vector<std::string>{"/usr/bin/env", std::string("CLOCK_SHIFT=") + shift,
                                    std::string("LD_PRELOAD=") + CLOCK_SHIFT_LIBRARY,
                                    "ASAN_OPTIONS=verify_asan_link_order=0"};
  };
  SiteSpec spec = site("dedup");
  spec.operators = "results\n    enabled on\n    store STORE\n";
  Callers::Options load = caller_load(150, 60, 1);
  load.flows[1].copies = 2;
  load.flows[1].spread = 1.5;
  TwoLevel fleet(binary, spec, runtime_options(0.005), load, 2, 3, "", {shifted("-0.5"), shifted("0.5")});
  if (!fleet.start()) std::printf("the fleet did not start\n");
  fleet.loop.run_for(1.5);
  const Tally t = tally(fleet.journal);
  say("nearly all requests are served", t.succeeded > 0.97 * (t.attempts - 20));
  for (const auto& planner : fleet.planners) {
    auto counters = planner->process->counters();
    say("each planner serves requests", counters["requests.succeeded"] > 30);
    say("no request is taken to be older than it is", counters["reads.max_delay_us"] < 200000);
  }
  fleet.planners[0]->kill();
  fleet.loop.run_for(0.1);
  fleet.planners[0]->start();
  fleet.loop.run_for(1);
  say("all attempts end", fleet.settle(5));
  say("all shut down gracefully", fleet.shut_down());
  print_rules_verdict(fleet.journal, fleet.limits());
}

// Guards against second runs while keys move between planners: callers repeat keyed requests while forwarders
// get new endpoint lists one after another, and one forwarder restarts with another list.
void key_migration() {
  const std::string results = "results\n    enabled on\n    store STORE\n";
  Callers::Options load = caller_load(40, 120, 1);
  load.flows[1].copies = 3;  // of each keyed request, spread over several list changes
  load.flows[1].spread = 2.5;
  SiteSpec spec = site("dedup");
  spec.types[1].window = 4;
  spec.operators = results;
  TwoLevel fleet(binary, spec, runtime_options(0.005), load, 2, 3,
                 "    reload-spread 300ms\n    folder FOLDER\n");
  if (!fleet.start()) std::printf("the fleet did not start\n");
  const auto write_list = [&](std::size_t forwarder, std::initializer_list<std::size_t> planners) {
    std::string text = results + "forward\n    reload-spread 300ms\n    folder FOLDER\n    planners";
    for (const std::size_t i : planners) text += ' ' + fleet.planners[i]->address();
    fleet.forwarders[forwarder]->write_operators(text + '\n');
  };
  const auto set_both_lists = [&](std::initializer_list<std::size_t> planners) {
    for (std::size_t f = 0; f < 2; ++f) {
      write_list(f, planners);
      fleet.forwarders[f]->process->signal(SIGHUP);
      fleet.loop.run_for(0.15);
    }
  };
  fleet.loop.run_for(1);
  set_both_lists({0, 1});
  fleet.loop.run_for(1.5);
  set_both_lists({1, 2});
  fleet.loop.run_for(1.5);
  std::uint64_t lookups = 0, known = 0;
  const auto count = [&](Server& forwarder) {
    auto counters = forwarder.process->counters();
    lookups += counters["tier.key_queries"];
    known += counters["tier.key_queries_known"];
    return counters["tier.key_queries"];
  };
  count(*fleet.forwarders[0]);
  Server& restarted = *fleet.forwarders[1];
  count(restarted);
  restarted.send_shutdown_notice();
  fleet.callers.avoid(1);
  say("the second forwarder shuts down", restarted.wait_for_end());
  write_list(1, {0, 1, 2});
  write_list(0, {0, 1, 2});
  fleet.forwarders[0]->process->signal(SIGHUP);
  say("it restarts with another list", restarted.start());
  fleet.loop.run_for(2);
  say("it also asks former owners", count(restarted) > 5);
  say("former owners were asked, and some knew the key", lookups > 50 && known > 10);
  say("all attempts end", fleet.settle(5));
  say("all shut down gracefully", fleet.shut_down());
  print_rules_verdict(fleet.journal, fleet.limits());
  const Tally t = tally(fleet.journal, 0, "close");
  say("half of the keyed requests are still served", t.succeeded > t.attempts / 2);
}

}  // namespace

int main(int argc, char** argv) {
  return run_scenario(argc, argv, binary,
                      {{"silent_planner", silent_planner},
                       {"rejecting_planner", rejecting_planner},
                       {"stalled_frame", stalled_frame},
                       {"false_fence_answers", false_fence_answers},
                       {"forged_answers", forged_answers},
                       {"slow_planner", slow_planner},
                       {"all_planners_closed", all_planners_closed},
                       {"planner_kills", planner_kills},
                       {"keyed_requests", keyed_requests},
                       {"all_planners_killed", all_planners_killed},
                       {"paused_planner", paused_planner},
                       {"drains", drains},
                       {"forwarder_killed", forwarder_killed},
                       {"reload", reload},
                       {"key_migration", key_migration},
                       {"clock_skew", clock_skew},
                       {"forty_forwarders", forty_forwarders}});
}
