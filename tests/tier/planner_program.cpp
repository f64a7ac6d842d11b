// A planner process with scripted forwarders, each of which violates one rule of the protocol or disconnects
// at a critical time. CTest compares the output with tests/traces/planner_program_NAME.txt. usage:
// tier_planner_program BINARY SCENARIO
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
    say("shuts down gracefully", server.shut_down());
  }
  Loop loop;
  Journal journal;
  Callers callers;
  Server server;
};

struct Link : ScriptedForwarder {
  explicit Link(Fixture& fixture) : ScriptedForwarder(fixture.loop, fixture.port()) {}
};

// A link that violates the hello sequence is closed soon; a valid one is served.
void hello_validation() {
  Fixture fixture(0.01);
  const auto expect_closed = [&](const char* what, const wt::Message& message) {
    Link link(fixture);
    link.send(message);
    say(what, link.is_closed_within(0.5));
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
  expect_closed("a request before the hello", submit);
  expect_closed("a ping before the hello", wt::Ping{1});
  expect_closed("a message that only planners send", wt::LoadReport{});
  Link twice(fixture);
  twice.hello("f1", 7).send(Link::hello_of("f1", 7));
  say("a second hello", twice.is_closed_within(0.5));
  Link silent_hello(fixture);
  say("closed after a second without a hello",
      !silent_hello.is_closed_within(0.8) && silent_hello.is_closed_within(0.6));
  Link silent(fixture);
  silent.hello("f2", 8);
  say("closed after a second and a half of silence",
      silent.has_hello && !silent.is_closed_within(1.2) && silent.is_closed_within(0.7));
  Link pinging(fixture);
  pinging.hello("f3", 9).ping_for(2);
  say("a link with pings stays open", pinging.pongs >= 8 && !pinging.is_closed_within(0));
  say("and is served", pinging.submit(1, 11).answer(1) == 0);
  fixture.end();
}

// Attempts that must not be accepted, and requests whose callers have disconnected.
void attempts() {
  Fixture fixture(0.3);
  Link one(fixture), other(fixture);
  one.hello("f1", 7);
  other.hello("f2", 8);
  one.submit(5, 1001);
  fixture.loop.run_for(0.05);
  other.submit(1, 1001);
  say("a request that runs for another forwarder: failed",
      other.answer(1, 0.2) == static_cast<int>(wt::Result::kFailed));
  say("the first forwarder gets its answer", one.answer(5) == 0);
  one.submit(5, 1002).submit(3, 1003);
  say("repeated and lower attempt numbers: no answer", one.answer(3, 0.6) == -1);
  const std::uint64_t before = fixture.journal.runs.size();
  say("nothing ran for them", before == 1);
  one.submit(6, 1004).submit(7, 1005).submit(8, 1006);
  fixture.loop.run_for(0.05);
  one.send(wt::Cancel{8});
  fixture.loop.run_for(0.05);
  say("a cancelled request is abandoned", fixture.count("requests.caller_gone") == 1);
  say("the others are answered", one.answer(6) == 0 && one.answer(7) == 0);
  say("the cancelled one is not answered", one.answer(8, 0.4) == -1);
  fixture.end();
}

// Guards against rejecting a request whose id is running or queued here, because a rejection counts as proof
// that the request never ran. The second attempt comes from the same forwarder, on its next link, from
// another forwarder with other route names, or after the caller has disconnected.
void id_in_use() {
  const std::uint64_t running = 6001;
  const std::uint64_t waiting = 6003;
  const std::uint64_t ended = 6004;
  Fixture fixture(0.4);
  const auto ran = [&fixture](std::uint64_t request) {
    return std::count_if(fixture.journal.runs.begin(), fixture.journal.runs.end(),
                         [request](const RecordedRun& run) { return run.request == request; });
  };
  Link first(fixture), other(fixture);
  first.hello("f1", 7);
  wt::Hello without_routes = Link::hello_of("f2", 8);
  without_routes.routes = {"unknown"};
  other.send(without_routes);
  first.submit(1, running).submit(2, 6002).submit(3, waiting);
  fixture.loop.run_for(0.1);
  say("two requests run, one waits", ran(running) == 1 && ran(6002) == 1 && ran(waiting) == 0);
  say("submitted again by its forwarder while it runs: it may have run",
      first.submit(11, running).answer(11, 0.2) == kMayHaveRun);
  say("submitted again while it waits: it may have run",
      first.submit(12, waiting).answer(12, 0.2) == kMayHaveRun);
  say("submitted by another forwarder with an unknown route: it may have run",
      other.submit(1, running).answer(1, 0.2) == kMayHaveRun);
  Link next(fixture);
  next.hello("f1", 7);
  say("submitted on the forwarder's next link: it may have run",
      next.submit(13, running).answer(13, 0.2) == kMayHaveRun);
  say("all first attempts are answered", next.answer(1) == 0 && next.answer(2) == 0 && next.answer(3) == 0);
  say("each request ran once", ran(running) == 1 && ran(waiting) == 1);
  next.answers.erase(1);
  say("an ended attempt, submitted again: no answer", next.submit(1, running).answer(1, 0.2) == -1);
  say("nothing ran for it", ran(running) == 1);
  say("the id of an ended request in a new attempt: a new request",
      next.submit(14, ended).answer(14) == 0 && next.submit(15, ended).answer(15) == 0 && ran(ended) == 2);
  fixture.end();
}

// Guards against a second run, or a false proof that there was none, of a request that must not run twice and
// whose forwarder has died: another forwarder submits the same id and body.
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
    // The request is rejected until the store is open.
    for (std::uint64_t attempt = 1; attempt <= 50 && fixture.journal.runs.empty(); ++attempt) {
      first.submit(attempt, request);
      fixture.loop.run_for(0.05);
    }
  }
  after.send(hello("f2", 8));
  say("while it runs: it may have run", after.submit(1, request).answer(1, 0.2) == kMayHaveRun);
  say("another id with the same key: joins the run", after.submit(2, request + 1).answer(2) == 0);
  say("after it has ended: its result", after.submit(3, request).answer(3) == 0);
  say("it ran once", fixture.journal.runs.size() == 1);
  fixture.end();
}

// Guards against the rejection of a repeat whose keyed request runs: its forwarder asks for proof, after a
// lost link and without, that the repeat never ran.
void fenced_duplicate() {
  SiteSpec spec = Fixture::site(512);
  spec.types = {{"close", "dedup", 1, 5, 20, 1}};
  spec.operators = "results\n    enabled on\n";
  Fixture fixture(spec, Fixture::runtime_options(1));
  wt::Hello greeting = Link::hello_of("f1", 7);
  greeting.routes = {"close"};
  const int running = static_cast<int>(wt::Result::kRunning);
  const std::uint64_t original = 8001;
  {
    Link first(fixture);
    first.send(greeting);
    first.submit(1, original).submit(2, original + 1);
    fixture.loop.run_for(0.1);
    first.send(wt::Fence{2});
    say("the repeat of a running request has no proof", first.answer(2, 0.3) == running);
    first.send(wt::Cancel{1});
    fixture.loop.run_for(0.05);
  }
  Link second(fixture);
  second.send(greeting);
  second.send(wt::Fence{2});
  say("nor after a lost link, its caller having given the first attempt up",
      second.answer(2, 0.3) == running);
  second.answers.erase(2);
  say("it gets the result of the run", second.answer(2, 1.5) == static_cast<int>(wt::Result::kSucceeded));
  say("the key ran once", fixture.journal.runs.size() == 1);
  fixture.end();
}

// Links that end with requests in flight: the same epoch of the forwarder takes them over, a new epoch
// abandons them, and they are abandoned if the forwarder does not reconnect in time.
void reconnects() {
  Fixture fixture(0.5);
  {
    Link first(fixture);
    first.hello("f1", 7).submit(1, 2001);
    fixture.loop.run_for(0.1);
  }
  Link again(fixture);
  again.hello("f1", 7);
  say("the same epoch takes its requests over", again.answer(1) == 0);
  say("no request was abandoned", fixture.count("requests.caller_gone") == 0);
  again.submit(2, 2002);
  fixture.loop.run_for(0.1);
  Link second(fixture);
  second.hello("f1", 7);
  say("a second link of the same epoch closes the first", again.is_closed_within(0.5));
  say("the second link gets the answer", second.answer(2) == 0);
  second.submit(3, 2003);
  fixture.loop.run_for(0.1);
  Link restarted(fixture);
  restarted.hello("f1", 8);
  fixture.loop.run_for(0.1);
  say("a new epoch: the requests of the old one are abandoned", fixture.count("requests.caller_gone") == 1);
  say("its attempt numbers restart", restarted.submit(1, 2004).answer(1) == 0);
  {
    Link dropped(fixture);
    dropped.hello("f2", 9).submit(1, 2005).submit(2, 2006).submit(3, 2007);
    fixture.loop.run_for(0.1);
  }
  restarted.ping_for(0.5);
  say("requests are retained for some time after a link has ended",
      fixture.count("requests.caller_gone") == 1);
  restarted.ping_for(0.75);
  say("then they are abandoned", fixture.count("requests.caller_gone") > 1);
  fixture.end();
}

// Guards against a request that runs twice: a planner that had ended a forwarder's session (after 0.75 s)
// reported that an attempt never ran although it had run, and the forwarder had reconnected before it
// abandoned the attempt itself (after 1 s). The new planner epoch shows that nothing is known about the
// attempts of the ended session.
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
    say("a link that follows soon gets the same planner epoch", soon.planner_epoch == planner_epoch);
    soon.submit(2, 2002);
    fixture.loop.run_for(0.05);
  }
  fixture.loop.run_for(0.85);
  Link late(fixture);
  late.hello("f1", 7);
  say("after the session has expired: another planner epoch", late.planner_epoch != planner_epoch);
  say("requests are served as before", late.submit(3, 2003).answer(3) == 0);
  Link other(fixture);
  other.hello("f2", 8);
  say("each forwarder has its own planner epoch", other.planner_epoch != late.planner_epoch);
  fixture.end();
}

// Guards against a forwarder without a window: when its next link superseded a link, the end of the old link
// removed its share of the slow start.
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
  say("the next link closes the first", first.is_closed_within(0.5));
  next.ping_for(1);
  say("the next link has a window too", next.window > 0);
  say("and is served", next.submit(1, 5001).answer(1) == 0);
  fixture.end();
}

// The drain announcement is sent to connected forwarders and to those that connect later.
void draining() {
  Fixture fixture(0.3);
  Link connected(fixture);
  connected.hello("f1", 7).submit(1, 3001);
  fixture.loop.run_for(0.1);
  fixture.server.send_shutdown_notice();
  fixture.loop.run_for(0.05);
  Link late(fixture);
  late.hello("f2", 8);
  fixture.loop.run_for(0.1);
  say("announced to a connected forwarder", connected.has_drain_notice);
  say("announced to a forwarder that connects later", late.has_drain_notice);
  say("the open attempt is answered", connected.answer(1) == 0);
  connected.close_link();
  late.close_link();
  say("shuts down gracefully", fixture.server.wait_for_end());
}

// Guards against a planner that exits without answering: a keyed request has run in time, but its result
// can't be stored before the planner stops. The request and the duplicate that waits for it are answered
// before that.
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
  fixture.server.send_shutdown_notice();
  fixture.loop.run_for(0.05);
  submit(2, 3002, "k ");
  connected.ping_for(1.25);
  fixture.loop.run_for(0.2);
  sqlite3* other = nullptr;
  sqlite3_open(fixture.server.store_path().c_str(), &other);
  say("the store is locked", sqlite3_exec(other, "begin immediate", nullptr, nullptr, nullptr) == SQLITE_OK);
  connected.send(wt::Ping{1});
  const int first = connected.answer(1);
  const int second = connected.answer(2);
  say("the first is answered, and not with a rejection",
      first >= 0 && first != static_cast<int>(wt::Result::kRejected));
  say("its duplicate fails", second == kMayHaveRun);
  say("it ran once", fixture.journal.runs.size() == 1);
  say("shuts down gracefully", fixture.server.wait_for_end());
  sqlite3_close(other);
}

constexpr std::uint32_t kWaitedMicroseconds = 1'200'000;

// Guards against a second run of a key whose repeat arrives at its forwarder inside the window and waits
// there until after the window's end. One that arrives after the window runs.
void keyed_read_late() {
  SiteSpec spec = Fixture::site(512);
  spec.types = {{"close", "dedup", 1, 5, 1.2, 1}};
  spec.operators = "results\n    enabled on\n";
  Fixture fixture(spec, Fixture::runtime_options(0.01));
  Link connected(fixture);
  wt::Hello greeting = Link::hello_of("f1", 7);
  greeting.routes = {"close"};
  connected.send(greeting);
  const auto submit = [&connected](std::uint64_t attempt, std::uint32_t age_us) {
    wt::Submit one;
    one.attempt = attempt, one.request = 3000 + attempt, one.size_sixteenth_kb = 160;
    one.age_us = age_us, one.remaining_us = 3000000, one.body = "k ";
    connected.send(one);
    return connected.answer(attempt);
  };
  say("the original succeeds", submit(1, 0) == static_cast<int>(wt::Result::kSucceeded));
  connected.ping_for(1.5);
  say("the repeat gets its result",
      submit(2, kWaitedMicroseconds) == static_cast<int>(wt::Result::kSucceeded));
  say("the key ran once", fixture.journal.runs.size() == 1);
  say("one that arrives after the window runs",
      submit(3, 0) == static_cast<int>(wt::Result::kSucceeded) && fixture.journal.runs.size() == 2);
  fixture.end();
}

// Guards against a second run of a key whose repeat reaches the planner inside the window, while that is
// paused, and is read after the window's end.
void keyed_read_after_pause() {
  SiteSpec spec = Fixture::site(512);
  spec.types = {{"close", "dedup", 1, 5, 1.2, 1}};
  spec.operators = "results\n    enabled on\n";
  Fixture fixture(spec, Fixture::runtime_options(0.01));
  Link connected(fixture);
  wt::Hello greeting = Link::hello_of("f1", 7);
  greeting.routes = {"close"};
  connected.send(greeting);
  const auto submit = [&connected](std::uint64_t attempt) {
    wt::Submit one;
    one.attempt = attempt, one.request = 3000 + attempt, one.size_sixteenth_kb = 160;
    one.remaining_us = 3000000, one.body = "k ";
    connected.send(one);
  };
  submit(1);
  say("the original succeeds", connected.answer(1) == static_cast<int>(wt::Result::kSucceeded));
  connected.ping_for(0.25);
  fixture.server.process->signal(SIGSTOP);
  submit(2);
  fixture.loop.run_for(1.3);
  fixture.server.process->signal(SIGCONT);
  say("the repeat gets its result", connected.answer(2) == static_cast<int>(wt::Result::kSucceeded));
  say("the key ran once", fixture.journal.runs.size() == 1);
  fixture.end();
}

// More links than descriptors: new connections are closed, existing ones are served.
void connection_flood() {
  Fixture fixture(0.005, 160);
  Link first(fixture);
  first.hello("f0", 1);
  std::vector<std::unique_ptr<Link>> connection_flood;
  connection_flood.reserve(200);
  for (int i = 0; i < 200; ++i) connection_flood.push_back(std::make_unique<Link>(fixture));
  first.ping_for(0.5);
  say("the connected forwarder is served", first.submit(1, 4001).answer(1) == 0);
  say("some connections were rejected", fixture.count("callers.rejected") > 50);
  first.ping_for(1);
  Link later(fixture);
  later.hello("f1", 2);
  say("capacity again after the silent links are closed", later.has_hello);
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
                       {"fenced_duplicate", fenced_duplicate},
                       {"reconnects", reconnects},
                       {"expired_session", expired_session},
                       {"superseded_in_slow_start", superseded_in_slow_start},
                       {"draining", draining},
                       {"result_held_at_stop", result_held_at_stop},
                       {"keyed_read_late", keyed_read_late},
                       {"keyed_read_after_pause", keyed_read_after_pause},
                       {"connection_flood", connection_flood}});
}
