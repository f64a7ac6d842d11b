// A planner's process among scripted forwarders, each of which breaks one rule of the protocol or is cut off
// at a bad moment. CTest compares with tests/traces/planner_program_NAME.txt. usage: tier_planner_program
// BINARY SCENARIO
#include <sqlite3.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <vector>

#include "fleet.h"
#include "forwarder.h"
#include "scenarios.h"

using namespace damsonspoke::standins;
namespace wt = damsonspoke::wire::tier;

namespace {

std::string binary;

constexpr int kMayHaveRun = static_cast<int>(wt::Result::kFailed);

struct Play {
  explicit Play(double work, int sockets = 512) : Play(site(sockets), work_of(work)) {}
  Play(const SiteSpec& site, const Runtime::Options& runtime)
      : callers(loop, journal, {}), server(loop, journal, callers, binary, site, runtime) {
    say("starts", server.start());
    loop.run_until([this] { return server.registry.is_listed(); }, 5);
  }
  static SiteSpec site(int sockets) {
    SiteSpec s;
    s.types = {{"read", "retryable", 1, 2, 0, 1}};
    s.command = "plan";
    s.sockets = sockets;
    return s;
  }
  static Runtime::Options work_of(double seconds) {
    Runtime::Options o;
    o.work = seconds;
    return o;
  }
  std::uint64_t count(const char* name) {
    const auto counters = server.process->counters();
    return counters.contains(name) ? counters.at(name) : 0;
  }
  std::uint16_t port() const {
    const std::string address = server.address();
    return static_cast<std::uint16_t>(std::atoi(address.substr(address.rfind(':') + 1).c_str()));
  }
  void end() {
    say("no invariant broken", count("invariants.broken") == 0);
    say("leaves in order", server.leave());
  }
  Loop loop;
  Journal journal;
  Callers callers;
  Server server;
};

struct Link : ScriptedForwarder {
  explicit Link(Play& play) : ScriptedForwarder(play.loop, play.port()) {}
};

// Who does not keep to the greeting is cut off, soon; who does is served.
void greetings() {
  Play play(0.01);
  const auto refused = [&](const char* what, const wt::Message& message) {
    Link link(play);
    link.send(message);
    say(what, link.closed(0.5));
  };
  wt::Hello hello = Link::hello_of("f1", 7);
  hello.version = 99;
  refused("another version", hello);
  hello = Link::hello_of("f1", 7);
  hello.is_planner = true;
  refused("a planner", hello);
  refused("no name", Link::hello_of("", 7));
  wt::Submit submit;
  submit.attempt = submit.request = 1;
  refused("an op before the hello", submit);
  refused("a ping before it", wt::Ping{1});
  refused("what only planners say", wt::LoadReport{});
  Link twice(play);
  twice.hello("f1", 7).send(Link::hello_of("f1", 7));
  say("a second hello", twice.closed(0.5));
  Link mute(play);
  say("no hello in a second and a bit", !mute.closed(0.8) && mute.closed(0.6));
  Link silent(play);
  silent.hello("f2", 8);
  say("silent for a second and a half and a bit",
      silent.greeted && !silent.closed(1.2) && silent.closed(0.7));
  Link sound(play);
  sound.hello("f3", 9).ping_for(2);
  say("one that pings stays", sound.pongs >= 8 && !sound.closed(0));
  say("and is served", sound.submit(1, 11).answer(1) == 0);
  play.end();
}

// Attempts that must not be taken, and requests that nobody waits for any more.
void attempts() {
  Play play(0.3);
  Link one(play), other(play);
  one.hello("f1", 7);
  other.hello("f2", 8);
  one.submit(5, 1001);
  play.loop.run_for(0.05);
  other.submit(1, 1001);
  say("an op that runs for another forwarder: failed",
      other.answer(1, 0.2) == static_cast<int>(wt::Result::kFailed));
  say("it is answered where it was first", one.answer(5) == 0);
  one.submit(5, 1002).submit(3, 1003);
  say("numbers that were there, or are below: nothing", one.answer(3, 0.6) == -1);
  const std::uint64_t before = play.journal.runs.size();
  say("and nothing ran for them", before == 1);
  one.submit(6, 1004).submit(7, 1005).submit(8, 1006);
  play.loop.run_for(0.05);
  one.send(wt::Cancel{8});
  play.loop.run_for(0.05);
  say("a cancelled one is let go of", play.count("requests.caller_gone") == 1);
  say("the others are answered", one.answer(6) == 0 && one.answer(7) == 0);
  say("it is not", one.answer(8, 0.4) == -1);
  play.end();
}

// Guards against a rejection, which is taken for the proof that a request never ran, of one whose id runs or
// waits to run here: for the same forwarder, on its next link, for another forwarder that names its routes
// otherwise, after its caller has gone.
void id_in_use() {
  const std::uint64_t running = 6001;
  const std::uint64_t waiting = 6003;
  const std::uint64_t ended = 6004;
  Play play(0.4);
  const auto ran = [&play](std::uint64_t request) {
    return std::count_if(play.journal.runs.begin(), play.journal.runs.end(),
                         [request](const RunSeen& run) { return run.request == request; });
  };
  Link first(play), other(play);
  first.hello("f1", 7);
  wt::Hello without_routes = Link::hello_of("f2", 8);
  without_routes.routes = {"unheard-of"};
  other.send(without_routes);
  first.submit(1, running).submit(2, 6002).submit(3, waiting);
  play.loop.run_for(0.1);
  say("two run, one waits", ran(running) == 1 && ran(6002) == 1 && ran(waiting) == 0);
  say("by its forwarder while it runs", first.submit(11, running).answer(11, 0.2) == kMayHaveRun);
  say("while it waits", first.submit(12, waiting).answer(12, 0.2) == kMayHaveRun);
  say("by another forwarder, with a route that is not known here",
      other.submit(1, running).answer(1, 0.2) == kMayHaveRun);
  Link next(play);
  next.hello("f1", 7);
  say("on the forwarder's next link", next.submit(13, running).answer(13, 0.2) == kMayHaveRun);
  say("all are answered where they were first",
      next.answer(1) == 0 && next.answer(2) == 0 && next.answer(3) == 0);
  say("each ran once", ran(running) == 1 && ran(waiting) == 1);
  next.answers.erase(1);
  say("an attempt that has ended, sent again: nothing", next.submit(1, running).answer(1, 0.2) == -1);
  say("nothing ran for it", ran(running) == 1);
  say("the id of one that has ended, in a new attempt: a request of its own",
      next.submit(14, ended).answer(14) == 0 && next.submit(15, ended).answer(15) == 0 && ran(ended) == 2);
  play.end();
}

// Guards against a second run, or the proof that there was none, of a request that must not run twice and
// whose forwarder has died: the one that is asked next gives the same id and body.
void keyed_id_in_use() {
  const std::uint64_t request = 7001;
  SiteSpec spec = Play::site(512);
  spec.types = {{"close", "dedup", 1, 2, 20, 1}};
  spec.operators = "results\n    enabled on\n    store STORE\n";
  Play play(spec, Play::work_of(0.4));
  const auto hello = [](const char* name, std::uint64_t epoch) {
    wt::Hello greeting = Link::hello_of(name, epoch);
    greeting.routes = {"close"};
    return greeting;
  };
  Link after(play);
  {
    Link dies(play);
    dies.send(hello("f1", 7));
    // Rejected until the store is open.
    for (std::uint64_t attempt = 1; attempt <= 50 && play.journal.runs.empty(); ++attempt) {
      dies.submit(attempt, request);
      play.loop.run_for(0.05);
    }
  }
  after.send(hello("f2", 8));
  say("while it runs: it may have run", after.submit(1, request).answer(1, 0.2) == kMayHaveRun);
  say("with an id of its own: joined", after.submit(2, request + 1).answer(2) == 0);
  say("after it has ended: its result", after.submit(3, request).answer(3) == 0);
  say("it ran once", play.journal.runs.size() == 1);
  play.end();
}

// Links that end with requests in hand: the same life takes them over, a new one gives them up, nobody does
// in time.
void lives() {
  Play play(0.5);
  {
    Link first(play);
    first.hello("f1", 7).submit(1, 2001);
    play.loop.run_for(0.1);
  }
  Link again(play);
  again.hello("f1", 7);
  say("taken over by the same life", again.answer(1) == 0);
  say("nothing was given up", play.count("requests.caller_gone") == 0);
  again.submit(2, 2002);
  play.loop.run_for(0.1);
  Link twin(play);
  twin.hello("f1", 7);
  say("a second link of it ends the first", again.closed(0.5));
  say("and gets the answer", twin.answer(2) == 0);
  twin.submit(3, 2003);
  play.loop.run_for(0.1);
  Link reborn(play);
  reborn.hello("f1", 8);
  play.loop.run_for(0.1);
  say("a new life: what the old one had is given up", play.count("requests.caller_gone") == 1);
  say("its numbers begin anew", reborn.submit(1, 2004).answer(1) == 0);
  {
    Link leaves(play);
    leaves.hello("f2", 9).submit(1, 2005).submit(2, 2006).submit(3, 2007);
    play.loop.run_for(0.1);
  }
  reborn.ping_for(0.5);
  say("held for a while after a link has ended", play.count("requests.caller_gone") == 1);
  reborn.ping_for(0.75);
  say("then given up", play.count("requests.caller_gone") > 1);
  play.end();
}

// Guards against a request that runs twice: a planner that had given up a forwarder's session (after 0.75 s)
// said of an attempt that had run there that it never ran, to a forwarder that came back before it gave up
// the attempt itself (after 1 s). The planner epoch of the new link says that nothing is known any more.
void expired_session() {
  Play play(0.1);
  std::uint64_t planner_epoch = 0;
  {
    Link first(play);
    first.hello("f1", 7).submit(1, 2001);
    planner_epoch = first.planner_epoch;
    play.loop.run_for(0.05);
  }
  {
    Link soon(play);
    soon.hello("f1", 7);
    say("a link that follows soon: the same planner epoch", soon.planner_epoch == planner_epoch);
    soon.submit(2, 2002);
    play.loop.run_for(0.05);
  }
  play.loop.run_for(0.85);
  Link late(play);
  late.hello("f1", 7);
  say("the session is over: another planner epoch", late.planner_epoch != planner_epoch);
  say("requests are served as before", late.submit(3, 2003).answer(3) == 0);
  Link other(play);
  other.hello("f2", 8);
  say("of each forwarder its own", other.planner_epoch != late.planner_epoch);
  play.end();
}

// Guards against a forwarder without a window: the end of the link that its next link superseded took its
// share of the slow start away.
void superseded_in_slow_start() {
  SiteSpec cold = Play::site(512);
  cold.slow_start_speed = 0.25;
  cold.slow_start_seconds = 20;
  Runtime::Options runtime = Play::work_of(0.02);
  runtime.slow_start_speed = cold.slow_start_speed;
  runtime.slow_start_seconds = cold.slow_start_seconds;
  Play play(cold, runtime);
  Link first(play), other(play);
  first.hello("f1", 7);
  other.hello("f2", 8);
  first.ping_for(0.5);
  say("both have a window", first.window > 0 && other.window > 0);
  Link next(play);
  next.hello("f1", 7);
  say("the next link ends the first", first.closed(0.5));
  next.ping_for(1);
  say("it has a window too", next.window > 0);
  say("and is served", next.submit(1, 5001).answer(1) == 0);
  play.end();
}

// The notice to leave is told to who is there and to who comes after it.
void leaving() {
  Play play(0.3);
  Link there(play);
  there.hello("f1", 7).submit(1, 3001);
  play.loop.run_for(0.1);
  play.server.notice();
  play.loop.run_for(0.05);
  Link late(play);
  late.hello("f2", 8);
  play.loop.run_for(0.1);
  say("told to who is there", there.no_more);
  say("told to who comes", late.no_more);
  say("what is open is answered", there.answer(1) == 0);
  there.cut();
  late.cut();
  say("leaves in order", play.server.ended());
}

// A keyed request whose run has ended in time, and whose result can't be written until the planner has gone:
// answered before that, as is the repeat that waits for it.
void result_held_at_stop() {
  SiteSpec spec = Play::site(512);
  spec.types = {{"close", "dedup", 1, 5, 20, 1}};
  spec.operators = "results\n    enabled on\n    store STORE\n";
  Play play(spec, Play::work_of(1.7));
  play.loop.run_for(0.5);
  Link there(play);
  wt::Hello greeting = Link::hello_of("f1", 7);
  greeting.routes = {"close"};
  there.send(greeting);
  const auto submit = [&there](std::uint64_t attempt, std::uint64_t request, const char* body) {
    wt::Submit one;
    one.attempt = attempt, one.request = request, one.size_sixteenth_kb = 160, one.remaining_us = 4900000;
    one.body = body;
    there.send(one);
  };
  submit(1, 3001, "k ");
  play.loop.run_for(0.1);
  say("it runs", play.journal.runs.size() == 1);
  play.server.notice();
  play.loop.run_for(0.05);
  submit(2, 3002, "k ");
  there.ping_for(1.25);
  play.loop.run_for(0.2);
  sqlite3* other = nullptr;
  sqlite3_open(play.server.store_path().c_str(), &other);
  say("the store is held", sqlite3_exec(other, "begin immediate", nullptr, nullptr, nullptr) == SQLITE_OK);
  there.send(wt::Ping{1});
  const int first = there.answer(1);
  const int second = there.answer(2);
  say("the first is answered, not as if it had never run",
      first >= 0 && first != static_cast<int>(wt::Result::kRejected));
  say("its repeat is failed", second == kMayHaveRun);
  say("it ran once", play.journal.runs.size() == 1);
  say("leaves in order", play.server.ended());
  sqlite3_close(other);
}

// More links than there are descriptors for: newcomers are closed, those that are there are served.
void crowd() {
  Play play(0.005, 160);
  Link first(play);
  first.hello("f0", 1);
  std::vector<std::unique_ptr<Link>> crowd;
  crowd.reserve(200);
  for (int i = 0; i < 200; ++i) crowd.push_back(std::make_unique<Link>(play));
  first.ping_for(0.5);
  say("who is there is served", first.submit(1, 4001).answer(1) == 0);
  say("some were turned away", play.count("callers.rejected") > 50);
  first.ping_for(1);
  Link later(play);
  later.hello("f1", 2);
  say("room again once the mute are gone", later.greeted);
  crowd.clear();
  play.end();
}

}  // namespace

int main(int argc, char** argv) {
  return run_scenario(argc, argv, binary,
                      {{"greetings", greetings},
                       {"attempts", attempts},
                       {"id_in_use", id_in_use},
                       {"keyed_id_in_use", keyed_id_in_use},
                       {"lives", lives},
                       {"expired_session", expired_session},
                       {"superseded_in_slow_start", superseded_in_slow_start},
                       {"leaving", leaving},
                       {"result_held_at_stop", result_held_at_stop},
                       {"crowd", crowd}});
}
