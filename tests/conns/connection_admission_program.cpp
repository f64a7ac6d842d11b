// A backend with admission of connections among floods, known clients, and a system that runs out of
// descriptors. The checker of the service rules reads what the callers saw. CTest compares with
// tests/traces/conns_program_NAME.txt. usage: connection_admission_program BINARY SCENARIO
#include <fmt/format.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "crowd.h"
#include "fleet.h"
#include "scenarios.h"
#include "service_over_kills.h"

using namespace damsonspoke;
using namespace damsonspoke::standins;

namespace {

std::string binary;

constexpr const char* kClient = "127.7.0.1";

SiteSpec site(const std::string& gate_section, int sockets = 160) {
  SiteSpec s;
  s.types = {{"read", "retryable", 0.5, 2, 0, 1}, {"close", "retryable", 0.5, 2, 0, 3}};
  s.operators = "gate\n    enabled on\n" + gate_section;
  s.sockets = sockets;
  return s;
}

struct Play {
  explicit Play(const SiteSpec& spec, double reads = 40) : fleet(binary, spec, {}, load(reads)), spec_(spec) {
    if (!fleet.start()) std::printf("the relay does not start\n");
    fleet.loop.run_until([this] { return fleet.server.registry.is_listed(); }, 5);
    port = fleet.server.port();
  }
  static Callers::Options load(double reads) {
    Callers::Options o;
    o.flows = {{"read", reads, 2}, {"close", reads / 4, 2}};
    for (Flow& flow : o.flows) {
      flow.retries = 1;
      flow.pause = 0.1;
    }
    o.connections = 4;
    o.from = kClient;
    o.seed = 3;
    return o;
  }
  std::uint64_t count(const char* name) {
    const auto counters = fleet.process->counters();
    return counters.contains(name) ? counters.at(name) : 0;
  }
  void end(bool all_succeeded = true) {
    say("all tries end", fleet.settle(5));
    say("no invariant broken", count("invariants.broken") == 0);
    say("it leaves in order", fleet.leave());
    const Verdict v = check_rules(fleet.journal, fleet.limits());
    for (const std::string& line : v.broken) std::printf("%s\n", line.c_str());
    std::printf("rules: %s\n", v.kept() ? "kept" : "BROKEN");
    int asked = 0;
    int succeeded = 0;
    for (const auto& [request, t] : fleet.journal.attempts) {
      ++asked;
      for (const Answer& a : t.answers) succeeded += a.kind == AnswerKind::kSucceeded;
    }
    if (all_succeeded) say("nearly all ops are served", asked > 20 && succeeded > 0.97 * asked);
  }
  Fleet fleet;
  std::uint16_t port = 0;

 private:
  const SiteSpec spec_;
};

// A flood of one shape while a client that is known by its earlier requests keeps connecting.
void flooded(FloodShape shape, unsigned addresses, unsigned each) {
  Play play(site("    known-after 10\n"));
  play.fleet.loop.run_for(1);
  Newcomers client(play.fleet.loop, play.port, {kClient, 0.02, 0.25, 0});
  {
    Flood flood(play.port, {shape, addresses, each, 1500});
    play.fleet.loop.run_for(2.5);
    say("the flood came", flood.dialled() > 500);
  }
  client.stop();
  play.fleet.loop.run_until([&] { return client.quiet(); }, 6);
  say("the known client always got in", client.came() > 50 && client.in_time() >= client.came() - 1);
  say("strangers were turned away", play.count("callers.rejected") > 100);
  play.fleet.loop.run_for(0.5);
  Newcomers stranger(play.fleet.loop, play.port, {"127.9.9.9", 0.1, 0.5, 0});
  play.fleet.loop.run_for(1);
  stranger.stop();
  play.fleet.loop.run_until([&] { return stranger.quiet(); }, 6);
  say("after it a stranger gets in", stranger.came() > 3 && stranger.in_time() == stranger.came());
  play.end();
}
void silent() { flooded(FloodShape::kSilent, 1000, 50); }
void resets() { flooded(FloodShape::kReset, 500, 50); }
void drips() { flooded(FloodShape::kDrip, 300, 50); }
void one() { flooded(FloodShape::kSilent, 1, 5000); }
void junk() { flooded(FloodShape::kJunk, 100, 20); }

// Fewer descriptors than the table allows connections: the limit of the system is reached first.
void no_descriptors() {
  Play play(site("    known-after 10\n    client-share 100%\n    network-share 100%\n", 400));
  play.fleet.loop.run_for(1);
  const rlimit few{70, 70};
  ::prlimit(play.fleet.process->pid(), RLIMIT_NOFILE, &few, nullptr);
  Newcomers client(play.fleet.loop, play.port, {kClient, 0.05, 0.25, 0});
  Flood flood(play.port, {FloodShape::kSilent, 200, 5, 800});
  play.fleet.loop.run_for(1.5);
  say("the last descriptor was reached", play.count("admission.last_descriptor") > 0);
  const auto before = play.fleet.process->processor_time();
  play.fleet.loop.run_for(1);
  say("it does not spin", play.fleet.process->processor_time() - before < 0.6);
  std::ofstream(play.fleet.operators_path()) << "gate\n    enabled on\n    known-after 10\n    reserve 30%\n";
  play.fleet.process->signal(SIGHUP);
  say("a new configuration is read without one",
      !play.fleet.process->expect_log("new configuration: runtime", 2).empty());
  client.stop();
  play.fleet.loop.run_until([&] { return client.quiet(); }, 6);
  say("the known client got in all the same",
      client.came() > 30 && client.in_time() >= client.came() * 9 / 10);
  std::printf("told to leave in the middle of it\n");
  play.end(false);
}

// The limit of the system and the flood meet a graceful shutdown.
void drained() {
  Play play(site("    known-after 10\n"));
  play.fleet.loop.run_for(1);
  Flood flood(play.port, {FloodShape::kSilent, 500, 20, 1500});
  play.fleet.loop.run_for(1);
  const rlimit few{48, 48};
  ::prlimit(play.fleet.process->pid(), RLIMIT_NOFILE, &few, nullptr);
  play.end(false);
}

// Over kills every thing wanted is served by its first try or its second, or rejected with a time to retry;
// no try is lost but in flight at a kill; the others are as well served as without one.
void end_over_kills(Play& play) {
  play.end(false);
  const ServiceOverKills seen = judge_service_over_kills(play.fleet.journal);
  for (const std::string& line : seen.unserved) std::printf("unserved: %s\n", line.c_str());
  for (const std::string& line : seen.lost) std::printf("lost: %s\n", line.c_str());
  say("every op is served, or rejected with a time to come back", seen.unserved.empty());
  say("no try is lost but in flight at a kill", seen.lost.empty());
  say("nearly all other tries are served", seen.tries > 20 && seen.tries_succeeded > 0.97 * seen.tries);
}

// Known clients are known after a kill; after a damaged record nobody is.
void survives() {
  Play play(site("    known-after 10\n    known-folder FOLDER\n    known-interval 200ms\n"));
  play.fleet.loop.run_for(1.5);
  play.fleet.kill();
  say("it starts again", play.fleet.start());
  say("it knows whom it knew",
      play.fleet.process->expect_log("known clients").find("taken=1") != std::string::npos);
  play.fleet.loop.run_for(0.5);
  play.fleet.kill();
  for (const char* name : {"clients", "clients.1"}) {
    std::fstream file(play.fleet.folder() + "/" + name, std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(40);
    file.put('\x55');
  }
  say("it starts with a spoilt record", play.fleet.start());
  const std::string line = play.fleet.process->expect_log("known clients");
  say("and says that nobody is known", line.find("no known clients") != std::string::npos);
  play.fleet.loop.run_for(0.5);
  end_over_kills(play);
}

// A client that is never silent, and sends too slowly.
void slow() {
  Play play(site(""));
  const int drip = connected_socket(play.port, "127.8.0.1");
  const std::string head = "Content-Length: 400\r\n\r\n{";
  const double began = now();
  double ended = 0;
  play.fleet.loop.watch(drip, [&] {
    char bytes[512];
    if (::recv(drip, bytes, sizeof bytes, MSG_DONTWAIT) != 0) return;
    ended = now();
    play.fleet.loop.forget(drip);
  });
  for (std::size_t i = 0; i < head.size() && ended == 0; ++i) {
    play.fleet.loop.send(drip, head.substr(i, 1));
    play.fleet.loop.run_for(0.1);
  }
  say("who drips a request is gone within a second", ended > 0 && ended - began < 1.2);
  say("it counts against it", play.count("admission.penalties") > 0);
  play.end();
}

// What operators may ask a running backend, and who may not ask.
void questions() {
  SiteSpec spec =
      site("    known 127.7.0.0/16\n    group edge 30% 127.30.0.0/16\ncontrol\n    folder FOLDER\n");
  Play play(spec);
  play.fleet.loop.run_for(0.3);
  const auto ask = [&](const std::string& folder) {
    const std::string out = play.fleet.folder() + "/said";
    const std::string command = fmt::format("{} conns --folder {} > {} 2>&1", binary, folder, out);
    const int status = std::system(command.c_str());
    std::ifstream in(out);
    std::string text((std::istreambuf_iterator<char>(in)), {});
    return std::make_pair(WEXITSTATUS(status), text);
  };
  const auto [status, text] = ask(play.fleet.folder());
  say("the command ends well", status == 0);
  say("it tells the client by its address, listed",
      text.find("client 127.7.0.1 open=") != std::string::npos &&
          text.find("standing=listed") != std::string::npos);
  const auto [nobody, why] = ask("/nowhere");
  say("nobody there: status 1 and one line", nobody == 1 && std::count(why.begin(), why.end(), '\n') == 1);
  play.end(false);  // the stand-ins rested meanwhile
  std::filesystem::permissions(play.fleet.folder(), std::filesystem::perms(0755));
  play.fleet.write_operators("control\n    folder FOLDER\n");
  say("a folder that others may enter: it does not start", !play.fleet.start());
  std::filesystem::permissions(play.fleet.folder(), std::filesystem::perms(0700));
}

// A limit lowered by SIGHUP below what is open: idle connections are closed, requests go on, and an invalid
// file changes nothing.
void lowered() {
  Play play(
      site("    known-after 10\n    client-share 100%\n    network-share 100%\n    known-share 100%\n"));
  play.fleet.loop.run_for(0.5);
  Flood flood(play.port, {FloodShape::kAsking, 40, 2, 400});
  play.fleet.loop.run_for(1);
  const std::uint64_t open_before = flood.held();
  say("many are open", open_before > 50);
  std::ofstream(play.fleet.operators_path()) << "gate\n    enabled on\n    connections many\n";
  play.fleet.process->signal(SIGHUP);
  say("a wrong file is one line", !play.fleet.process->expect_log("the old one stays", 2).empty());
  std::ofstream(play.fleet.operators_path())
      << "gate\n    enabled on\n    known-after 10\n    connections 24\n    known-share 100%\n";
  play.fleet.process->signal(SIGHUP);
  play.fleet.process->expect_log("new configuration", 2);
  play.fleet.loop.run_for(2);
  say("fewer than a third of them are left", flood.held() < open_before / 3);
  play.end();
}

}  // namespace

int main(int argc, char** argv) {
  return run_scenario(argc, argv, binary,
                      {{"silent", silent},
                       {"resets", resets},
                       {"drips", drips},
                       {"one", one},
                       {"junk", junk},
                       {"slow", slow},
                       {"lowered", lowered},
                       {"no_descriptors", no_descriptors},
                       {"drained", drained},
                       {"survives", survives},
                       {"questions", questions}});
}
