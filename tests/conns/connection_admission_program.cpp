// A backend with connection admission under floods of connections, with known clients, and when the process
// runs out of file descriptors. A checker verifies the service rules from what the callers observed. CTest
// compares with tests/traces/conns_program_NAME.txt. usage: connection_admission_program BINARY SCENARIO
#include <fmt/format.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "connection_flood.h"
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

struct Scenario {
  explicit Scenario(const SiteSpec& spec, double reads_per_second = 40)
      : fleet(binary, spec, {}, load(reads_per_second)), spec_(spec) {
    if (!fleet.start()) std::printf("the backend does not start\n");
    fleet.loop.run_until([this] { return fleet.server.registry.is_listed(); }, 5);
    port = fleet.server.port();
  }
  static Callers::Options load(double reads_per_second) {
    Callers::Options o;
    o.flows = {{"read", reads_per_second, 2}, {"close", reads_per_second / 4, 2}};
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
    say("all attempts end", fleet.settle(5));
    say("no invariant violated", count("invariants.broken") == 0);
    say("it shuts down gracefully", fleet.shut_down());
    const Verdict verdict = check_rules(fleet.journal, fleet.limits());
    for (const std::string& line : verdict.broken) std::printf("%s\n", line.c_str());
    std::printf("rules: %s\n", verdict.kept() ? "kept" : "VIOLATED");
    int attempts = 0;
    int succeeded = 0;
    for (const auto& [request, t] : fleet.journal.attempts) {
      ++attempts;
      for (const Answer& a : t.answers) succeeded += a.kind == AnswerKind::kSucceeded;
    }
    if (all_succeeded) say("nearly all requests are served", attempts > 20 && succeeded > 0.97 * attempts);
  }
  Fleet fleet;
  std::uint16_t port = 0;

 private:
  const SiteSpec spec_;
};

// A flood of one shape, while a client that is known by its earlier requests connects repeatedly.
void flooded(FloodShape shape, unsigned addresses, unsigned each) {
  Scenario scenario(site("    known-after 10\n"));
  scenario.fleet.loop.run_for(1);
  ReconnectingClient client(scenario.fleet.loop, scenario.port, {kClient, 0.02, 0.25, 0});
  {
    Flood flood(scenario.port, {shape, addresses, each, 1500});
    scenario.fleet.loop.run_for(2.5);
    say("the flood opened its connections", flood.dialled() > 500);
  }
  client.stop();
  scenario.fleet.loop.run_until([&] { return client.is_idle(); }, 6);
  say("the known client was always admitted",
      client.connects() > 50 && client.answered_in_time() >= client.connects() - 1);
  say("connections of unknown clients were rejected", scenario.count("callers.rejected") > 100);
  scenario.fleet.loop.run_for(0.5);
  ReconnectingClient unknown_client(scenario.fleet.loop, scenario.port, {"127.9.9.9", 0.1, 0.5, 0});
  scenario.fleet.loop.run_for(1);
  unknown_client.stop();
  scenario.fleet.loop.run_until([&] { return unknown_client.is_idle(); }, 6);
  say("an unknown client is admitted after the flood",
      unknown_client.connects() > 3 && unknown_client.answered_in_time() == unknown_client.connects());
  scenario.end();
}
void silent() { flooded(FloodShape::kSilent, 1000, 50); }
void resets() { flooded(FloodShape::kReset, 500, 50); }
void drips() { flooded(FloodShape::kDrip, 300, 50); }
void one() { flooded(FloodShape::kSilent, 1, 5000); }
void junk() { flooded(FloodShape::kJunk, 100, 20); }

// Fewer descriptors than the allowed number of connections: the limit of the system is reached first.
void no_descriptors() {
  Scenario scenario(site("    known-after 10\n    client-share 100%\n    network-share 100%\n", 400));
  scenario.fleet.loop.run_for(1);
  const rlimit limit{70, 70};
  ::prlimit(scenario.fleet.process->pid(), RLIMIT_NOFILE, &limit, nullptr);
  ReconnectingClient client(scenario.fleet.loop, scenario.port, {kClient, 0.05, 0.25, 0});
  Flood flood(scenario.port, {FloodShape::kSilent, 200, 5, 800});
  scenario.fleet.loop.run_for(1.5);
  say("the last descriptor was used", scenario.count("admission.last_descriptor") > 0);
  const auto cpu_before = scenario.fleet.process->processor_time();
  scenario.fleet.loop.run_for(1);
  say("no busy loop", scenario.fleet.process->processor_time() - cpu_before < 0.6);
  std::ofstream(scenario.fleet.operators_path())
      << "gate\n    enabled on\n    known-after 10\n    reserve 30%\n";
  scenario.fleet.process->signal(SIGHUP);
  say("a new configuration is read without a free descriptor",
      !scenario.fleet.process->expect_log("new configuration: runtime", 2).empty());
  client.stop();
  scenario.fleet.loop.run_until([&] { return client.is_idle(); }, 6);
  say("the known client was admitted nevertheless",
      client.connects() > 30 && client.answered_in_time() >= client.connects() * 9 / 10);
  std::printf("graceful shutdown during the flood\n");
  scenario.end(false);
}

// A graceful shutdown during a flood, after the limit of the system was reached.
void drained() {
  Scenario scenario(site("    known-after 10\n"));
  scenario.fleet.loop.run_for(1);
  Flood flood(scenario.port, {FloodShape::kSilent, 500, 20, 1500});
  scenario.fleet.loop.run_for(1);
  const rlimit limit{48, 48};
  ::prlimit(scenario.fleet.process->pid(), RLIMIT_NOFILE, &limit, nullptr);
  scenario.end(false);
}

// With kills, every request is served by its first or second attempt, or rejected with a time to retry; an
// attempt is lost only if it was in flight at a kill; the other attempts are served as well as without kills.
void end_after_kills(Scenario& scenario) {
  scenario.end(false);
  const ServiceOverKills service = judge_service_over_kills(scenario.fleet.journal);
  for (const std::string& line : service.unserved) std::printf("unserved: %s\n", line.c_str());
  for (const std::string& line : service.lost) std::printf("lost: %s\n", line.c_str());
  say("every request is served, or rejected with a retry time", service.unserved.empty());
  say("attempts are lost only in flight at a kill", service.lost.empty());
  say("nearly all other attempts are served",
      service.attempts > 20 && service.attempts_succeeded > 0.97 * service.attempts);
}

// Known clients are still known after a kill; after a damaged record no client is known.
void survives() {
  Scenario scenario(site("    known-after 10\n    known-folder FOLDER\n    known-interval 200ms\n"));
  scenario.fleet.loop.run_for(1.5);
  scenario.fleet.kill();
  say("it restarts", scenario.fleet.start());
  say("the known clients are restored",
      scenario.fleet.process->expect_log("known clients").find("taken=1") != std::string::npos);
  scenario.fleet.loop.run_for(0.5);
  scenario.fleet.kill();
  for (const char* name : {"clients", "clients.1"}) {
    std::fstream file(scenario.fleet.folder() + "/" + name, std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(40);
    file.put('\x55');
  }
  say("it starts with a damaged record", scenario.fleet.start());
  const std::string line = scenario.fleet.process->expect_log("known clients");
  say("it logs that no clients are known", line.find("no known clients") != std::string::npos);
  scenario.fleet.loop.run_for(0.5);
  end_after_kills(scenario);
}

// A client that sends continuously, but too slowly.
void slow() {
  Scenario scenario(site(""));
  const int slow_socket = connected_socket(scenario.port, "127.8.0.1");
  const std::string head = "Content-Length: 400\r\n\r\n{";
  const double started_at = now();
  double ended_at = 0;
  scenario.fleet.loop.watch(slow_socket, [&] {
    char bytes[512];
    if (::recv(slow_socket, bytes, sizeof bytes, MSG_DONTWAIT) != 0) return;
    ended_at = now();
    scenario.fleet.loop.forget(slow_socket);
  });
  for (std::size_t i = 0; i < head.size() && ended_at == 0; ++i) {
    scenario.fleet.loop.send(slow_socket, head.substr(i, 1));
    scenario.fleet.loop.run_for(0.1);
  }
  say("a slow client is disconnected within a second", ended_at > 0 && ended_at - started_at < 1.2);
  say("the client gets a penalty", scenario.count("admission.penalties") > 0);
  scenario.end();
}

// Control queries of operators to a running backend, and a control folder that is not private.
void control_queries() {
  SiteSpec spec =
      site("    known 127.7.0.0/16\n    group edge 30% 127.30.0.0/16\ncontrol\n    folder FOLDER\n");
  Scenario scenario(spec);
  scenario.fleet.loop.run_for(0.3);
  const auto query_connections = [&](const std::string& folder) {
    const std::string out = scenario.fleet.folder() + "/output";
    const std::string command = fmt::format("{} conns --folder {} > {} 2>&1", binary, folder, out);
    const int status = std::system(command.c_str());
    std::ifstream in(out);
    std::string text((std::istreambuf_iterator<char>(in)), {});
    return std::make_pair(WEXITSTATUS(status), text);
  };
  const auto [status, text] = query_connections(scenario.fleet.folder());
  say("the command succeeds", status == 0);
  say("the client is shown by address, with standing listed",
      text.find("client 127.7.0.1 open=") != std::string::npos &&
          text.find("standing=listed") != std::string::npos);
  const auto [failed_status, failure] = query_connections("/nowhere");
  say("no process listening: status 1 and one line",
      failed_status == 1 && std::count(failure.begin(), failure.end(), '\n') == 1);
  scenario.end(false);  // the stand-ins did not run meanwhile
  std::filesystem::permissions(scenario.fleet.folder(), std::filesystem::perms(0755));
  scenario.fleet.write_operators("control\n    folder FOLDER\n");
  say("a folder that others can enter: it does not start", !scenario.fleet.start());
  std::filesystem::permissions(scenario.fleet.folder(), std::filesystem::perms(0700));
}

// A limit is lowered by SIGHUP below the number of open connections: idle connections are closed, requests
// are still served, and an invalid file changes nothing.
void lowered() {
  Scenario scenario(
      site("    known-after 10\n    client-share 100%\n    network-share 100%\n    known-share 100%\n"));
  scenario.fleet.loop.run_for(0.5);
  Flood flood(scenario.port, {FloodShape::kHealthRequests, 40, 2, 400});
  scenario.fleet.loop.run_for(1);
  const std::uint64_t open_before = flood.open_connections();
  say("many connections are open", open_before > 50);
  std::ofstream(scenario.fleet.operators_path()) << "gate\n    enabled on\n    connections many\n";
  scenario.fleet.process->signal(SIGHUP);
  say("an invalid file is logged", !scenario.fleet.process->expect_log("previous one stays", 2).empty());
  std::ofstream(scenario.fleet.operators_path())
      << "gate\n    enabled on\n    known-after 10\n    connections 24\n    known-share 100%\n";
  scenario.fleet.process->signal(SIGHUP);
  scenario.fleet.process->expect_log("new configuration", 2);
  scenario.fleet.loop.run_for(2);
  say("fewer than a third of them are left open", flood.open_connections() < open_before / 3);
  scenario.end();
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
                       {"control_queries", control_queries}});
}
