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

struct Fixture {
  explicit Fixture(double work, int sockets = 512) : Fixture(site(sockets), runtime_options(work)) {}
  Fixture(const SiteSpec& site, const Runtime::Options& runtime)
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
  static Runtime::Options runtime_options(double seconds) {
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
  explicit Link(Fixture& fixture) : ScriptedForwarder(fixture.loop, fixture.port()) {}
};

// Who does not keep to the greeting is cut off, soon; who does is served.
void hello_validation() {
  Fixture fixture(0.01);
  const auto expect_closed = [&](const char* what, const wt::Message& message) {
    Link link(fixture);
    link.send(message);
    say(what, link.closed(0.5));
  };
  wt::Hello hello = Link::hello_of("f1", 7);
  hello.version = 99;
  expect_closed("another version", hello);
  hello = Link::hello_of("f1", 7);
  hello.is_planner = true;
  expect_closed("a planner", hello);
  expect_closed("no name", Link::hello_of("", 7));
  wt::Submit submit;
  submit.attempt = submit.request = 1;
  expect_closed("an op before the hello", submit);
  expect_closed("a ping before it", wt::Ping{1});
  expect_closed("what only planners say", wt::LoadReport{});
  Link twice(fixture);
  twice.hello("f1", 7).send(Link::hello_of("f1", 7));
  say("a second hello", twice.closed(0.5));
  Link silent_hello(fixture);
  say("no hello in a second and a bit", !silent_hello.closed(0.8) && silent_hello.closed(0.6));
  Link silent(fixture);
  silent.hello("f2", 8);
  say("silent for a second and a half and a bit",
      silent.greeted && !silent.closed(1.2) && silent.closed(0.7));
  Link pinging(fixture);
  pinging.hello("f3", 9).ping_for(2);
  say("one that pings stays", pinging.pongs >= 8 && !pinging.closed(0));
  say("and is served", pinging.submit(1, 11).answer(1) == 0);
  fixture.end();
}

// Attempts that must not be taken, and requests that nobody waits for any more.
void attempts() {
  Fixture fixture(0.3);
  Link one(fixture), other(fixture);
  one.hello("f1", 7);
  other.hello("f2", 8);
  one.submit(5, 1001);
  fixture.loop.run_for(0.05);
  other.submit(1, 1001);
  say("an op that runs for another forwarder: failed",
      other.answer(1, 0.2) == static_cast<int>(wt::Result::kFailed));
  say("it is answered where it was first", one.answer(5) == 0);
  one.submit(5, 1002).submit(3, 1003);
  say("numbers that were there, or are below: nothing", one.answer(3, 0.6) == -1);
  const std::uint64_t before = fixture.journal.runs.size();
  say("and nothing ran for them", before == 1);
  one.submit(6, 1004).submit(7, 1005).submit(8, 1006);
  fixture.loop.run_for(0.05);
  one.send(wt::Cancel{8});
  fixture.loop.run_for(0.05);
  say("a cancelled one is let go of", fixture.count("requests.caller_gone") == 1);
  say("the others are answered", one.answer(6) == 0 && one.answer(7) == 0);
  say("it is not", one.answer(8, 0.4) == -1);
  fixture.end();
}

// Guards against a rejection, which is taken for the proof that a request never ran, of one whose id runs or
// waits to run here: for the same forwarder, on its next link, for another forwarder that names its routes
// otherwise, after its caller has gone.
void id_in_use() {
  const std::uint64_t running = 6001;
  const std::uint64_t waiting = 6003;
  const std::uint64_t ended = 6004;
  Fixture fixture(0.4);
  const auto ran = [&fixture](std::uint64_t request) {
    return std::count_if(fixture.journal.runs.begin(), fixture.journal.runs.end(),
                         [request](const RunSeen& run) { return run.request == request; });
  };
  Link first(fixture), other(fixture);
  first.hello("f1", 7);
  wt::Hello without_routes = Link::hello_of("f2", 8);
  without_routes.routes = {"unheard-of"};
  other.send(without_routes);
  first.submit(1, running).submit(2, 6002).submit(3, waiting);
  fixture.loop.run_for(0.1);
  say("two run, one waits", ran(running) == 1 && ran(6002) == 1 && ran(waiting) == 0);
  say("by its forwarder while it runs", first.submit(11, running).answer(11, 0.2) == kMayHaveRun);
  say("while it waits", first.submit(12, waiting).answer(12, 0.2) == kMayHaveRun);
  say("by another forwarder, with a route that is not known here",
      other.submit(1, running).answer(1, 0.2) == kMayHaveRun);
  Link next(fixture);
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
  fixture.end();
}

// Guards against a second run, or the proof that there was none, of a request that must not run twice and
// whose forwarder has died: the one that is asked next gives the same id and body.
void keyed_id_in_use() {
  const std::uint64_t request = 7001;
  SiteSpec spec = Fixture::site(512);
  spec.types = {{"close", "dedup", 1, 2, 20, 1}};
  spec.operators = "results\n    enabled on\n    store STORE\n";
  Fixture fixture(spec, Fixture::runtime_options(0.4));
  const auto hello = [](const char* name, std::uint64_t epoch) {
    wt::Hello greeting = Link::hello_of(name, epoch);
    greeting.routes = {"close"};
    return greeting;
  };
  Link after(fixture);
  {
    Link first(fixture);
    first.send(hello("f1", 7));
    // Rejected until the store is open.
    for (std::uint64_t attempt = 1; attempt <= 50 && fixture.journal.runs.empty(); ++attempt) {
      first.submit(attempt, request);
      fixture.loop.run_for(0.05);
    }
  }
  after.send(hello("f2", 8));
  say("while it runs: it may have run", after.submit(1, request).answer(1, 0.2) == kMayHaveRun);
  say("with an id of its own: joined", after.submit(2, request + 1).answer(2) == 0);
  say("after it has ended: its result", after.submit(3, request).answer(3) == 0);
  say("it ran once", fixture.journal.runs.size() == 1);
  fixture.end();
}

// Links that end with requests in hand: the same life takes them over, a new one gives them up, nobody does
// in time.
void reconnects() {
  Fixture fixture(0.5);
  {
    Link first(fixture);
    first.hello("f1", 7).submit(1, 2001);
    fixture.loop.run_for(0.1);
  }
  Link again(fixture);
  again.hello("f1", 7);
  say("taken over by the same life", again.answer(1) == 0);
  say("nothing was given up", fixture.count("requests.caller_gone") == 0);
  again.submit(2, 2002);
  fixture.loop.run_for(0.1);
  Link second(fixture);
  second.hello("f1", 7);
  say("a second link of it ends the first", again.closed(0.5));
  say("and gets the answer", second.answer(2) == 0);
  second.submit(3, 2003);
  fixture.loop.run_for(0.1);
  Link restarted(fixture);
  restarted.hello("f1", 8);
  fixture.loop.run_for(0.1);
  say("a new life: what the old one had is given up", fixture.count("requests.caller_gone") == 1);
  say("its numbers begin anew", restarted.submit(1, 2004).answer(1) == 0);
  {
    Link dropped(fixture);
    dropped.hello("f2", 9).submit(1, 2005).submit(2, 2006).submit(3, 2007);
    fixture.loop.run_for(0.1);
  }
  restarted.ping_for(0.5);
  say("held for a while after a link has ended", fixture.count("requests.caller_gone") == 1);
  restarted.ping_for(0.75);
  say("then given up", fixture.count("requests.caller_gone") > 1);
  fixture.end();
}

// Guards against a request that runs twice: a planner that had given up a forwarder's session (after 0.75 s)
// said of an attempt that had run there that it never ran, to a forwarder that came back before it gave up
// the attempt itself (after 1 s). The planner epoch of the new link says that nothing is known any more.
void expired_session() {
  Fixture fixture(0.1);
  std::uint64_t planner_epoch = 0;
  {
    Link first(fixture);
    first.hello("f1", 7).submit(1, 2001);
    planner_epoch = first.planner_epoch;
    fixture.loop.run_for(0.05);
  }
  {
    Link soon(fixture);
    soon.hello("f1", 7);
    say("a link that follows soon: the same planner epoch", soon.planner_epoch == planner_epoch);
    soon.submit(2, 2002);
    fixture.loop.run_for(0.05);
  }
  fixture.loop.run_for(0.85);
  Link late(fixture);
  late.hello("f1", 7);
  say("the session is over: another planner epoch", late.planner_epoch != planner_epoch);
  say("requests are served as before", late.submit(3, 2003).answer(3) == 0);
  Link other(fixture);
  other.hello("f2", 8);
  say("of each forwarder its own", other.planner_epoch != late.planner_epoch);
  fixture.end();
}

// Guards against a forwarder without a window: the end of the link that its next link superseded took its
// share of the slow start away.
void superseded_in_slow_start() {
  SiteSpec cold = Fixture::site(512);
  cold.slow_start_speed = 0.25;
  cold.slow_start_seconds = 20;
  Runtime::Options runtime = Fixture::runtime_options(0.02);
  runtime.slow_start_speed = cold.slow_start_speed;
  runtime.slow_start_seconds = cold.slow_start_seconds;
  Fixture fixture(cold, runtime);
  Link first(fixture), other(fixture);
  first.hello("f1", 7);
  other.hello("f2", 8);
  first.ping_for(0.5);
  say("both have a window", first.window > 0 && other.window > 0);
  Link next(fixture);
  next.hello("f1", 7);
  say("the next link ends the first", first.closed(0.5));
  next.ping_for(1);
  say("it has a window too", next.window > 0);
  say("and is served", next.submit(1, 5001).answer(1) == 0);
  fixture.end();
}

// The notice to leave is told to who is there and to who comes after it.
void draining() {
  Fixture fixture(0.3);
  Link connected(fixture);
  connected.hello("f1", 7).submit(1, 3001);
  fixture.loop.run_for(0.1);
  fixture.server.notice();
  fixture.loop.run_for(0.05);
  Link late(fixture);
  late.hello("f2", 8);
  fixture.loop.run_for(0.1);
  say("told to who is there", connected.no_more);
  say("told to who comes", late.no_more);
  say("what is open is answered", connected.answer(1) == 0);
  connected.cut();
  late.cut();
  say("leaves in order", fixture.server.ended());
}

// A keyed request whose run has ended in time, and whose result can't be written until the planner has gone:
// answered before that, as is the repeat that waits for it.
void result_held_at_stop() {
  SiteSpec spec = Fixture::site(512);
  spec.types = {{"close", "dedup", 1, 5, 20, 1}};
  spec.operators = "results\n    enabled on\n    store STORE\n";
  Fixture fixture(spec, Fixture::runtime_options(1.7));
  fixture.loop.run_for(0.5);
  Link connected(fixture);
  wt::Hello greeting = Link::hello_of("f1", 7);
  greeting.routes = {"close"};
  connected.send(greeting);
  const auto submit = [&connected](std::uint64_t attempt, std::uint64_t request, const char* body) {
    wt::Submit one;
    one.attempt = attempt, one.request = request, one.size_sixteenth_kb = 160, one.remaining_us = 4900000;
    one.body = body;
    connected.send(one);
  };
  submit(1, 3001, "k ");
  fixture.loop.run_for(0.1);
  say("it runs", fixture.journal.runs.size() == 1);
  fixture.server.notice();
  fixture.loop.run_for(0.05);
  submit(2, 3002, "k ");
  connected.ping_for(1.25);
  fixture.loop.run_for(0.2);
  sqlite3* other = nullptr;
  sqlite3_open(fixture.server.store_path().c_str(), &other);
  say("the store is held", sqlite3_exec(other, "begin immediate", nullptr, nullptr, nullptr) == SQLITE_OK);
  connected.send(wt::Ping{1});
  const int first = connected.answer(1);
  const int second = connected.answer(2);
  say("the first is answered, not as if it had never run",
      first >= 0 && first != static_cast<int>(wt::Result::kRejected));
  say("its repeat is failed", second == kMayHaveRun);
  say("it ran once", fixture.journal.runs.size() == 1);
  say("leaves in order", fixture.server.ended());
  sqlite3_close(other);
}

// More links than there are descriptors for: newcomers are closed, those that are there are served.
void connection_flood() {
  Fixture fixture(0.005, 160);
  Link first(fixture);
  first.hello("f0", 1);
  std::vector<std::unique_ptr<Link>> connection_flood;
  connection_flood.reserve(200);
  for (int i = 0; i < 200; ++i) connection_flood.push_back(std::make_unique<Link>(fixture));
  first.ping_for(0.5);
  say("who is there is served", first.submit(1, 4001).answer(1) == 0);
  say("some were turned away", fixture.count("callers.rejected") > 50);
  first.ping_for(1);
  Link later(fixture);
  later.hello("f1", 2);
  say("room again once the mute are gone", later.greeted);
  connection_flood.clear();
  fixture.end();
}

}  // namespace

int main(int argc, char** argv) {
  return run_scenario(argc, argv, binary,
                      {{"hello_validation", hello_validation},
                       {"attempts", attempts},
                       {"id_in_use", id_in_use},
                       {"keyed_id_in_use", keyed_id_in_use},
                       {"reconnects", reconnects},
                       {"expired_session", expired_session},
                       {"superseded_in_slow_start", superseded_in_slow_start},
                       {"draining", draining},
                       {"result_held_at_stop", result_held_at_stop},
                       {"connection_flood", connection_flood}});
}
