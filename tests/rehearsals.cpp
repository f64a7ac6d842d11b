// The faulty network between processes, the scripts of rehearsals, and the minimization of a failing script.
// CTest compares the output with tests/traces/rehearsals_SCENARIO.txt. usage: rehearsals - SCENARIO
#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmath>

#include "faulty_network.h"
#include "rehearsal_search.h"
#include "scenarios.h"

using namespace damsonspoke::standins;

namespace {

// Two hosts of the faulty network, each with a datagram socket at its home address.
struct Hosts {
  Hosts() {
    for (const char* name : {"a", "b"}) {
      const FaultyNetwork::Host& host = between.add_host(name);
      sockaddr_in at{};
      at.sin_family = AF_INET;
      at.sin_port = htons(host.port);
      ::inet_pton(AF_INET, host.bind_address.c_str(), &at.sin_addr);
      int& fd = name[0] == 'a' ? a : b;
      fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0)
        std::puts("cannot bind the home address");
    }
  }
  ~Hosts() { ::close(a), ::close(b); }
  void send(int from, const char* to, const std::string& text) {
    const FaultyNetwork::Host& host = between.add_host(to);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(host.port);
    ::inet_pton(AF_INET, host.advertised_address.c_str(), &at.sin_addr);
    ::sendto(from, text.data(), text.size(), 0, reinterpret_cast<const sockaddr*>(&at), sizeof at);
  }
  // Returns the datagrams that arrive within this time. One whose source is not the face address of host
  // `from` is reported as "wrong source".
  std::vector<std::string> receive(int fd, double seconds, const char* from) {
    loop.run_for(seconds);
    std::vector<std::string> out;
    char bytes[256];
    sockaddr_in source{};
    socklen_t size = sizeof source;
    for (ssize_t size_read; (size_read = ::recvfrom(fd, bytes, sizeof bytes, MSG_DONTWAIT,
                                                    reinterpret_cast<sockaddr*>(&source), &size)) >= 0;) {
      char text[INET_ADDRSTRLEN] = "";
      ::inet_ntop(AF_INET, &source.sin_addr, text, sizeof text);
      out.push_back(between.add_host(from).advertised_address == text
                        ? std::string(bytes, static_cast<std::size_t>(size_read))
                        : "wrong source");
    }
    return out;
  }
  Loop loop;
  FaultyNetwork between{loop, 1};
  int a = -1, b = -1;
};

void datagrams() {
  Hosts hosts;
  hosts.send(hosts.a, "b", "one");
  say("a datagram arrives, from the face of its sender",
      hosts.receive(hosts.b, 0.05, "a") == std::vector<std::string>{"one"});
  LinkConditions cut;
  cut.cut = true;
  hosts.between.set("a", "b", cut);
  hosts.send(hosts.a, "b", "two"), hosts.send(hosts.b, "a", "three");
  say("a cut drops datagrams in its direction", hosts.receive(hosts.b, 0.05, "a").empty());
  say("and not in the other direction",
      hosts.receive(hosts.a, 0.01, "b") == std::vector<std::string>{"three"});
  LinkConditions delayed;
  delayed.delay = 0.1, delayed.duplicated = 1;
  hosts.between.set("a", "b", delayed);
  hosts.send(hosts.a, "b", "four");
  say("a delayed datagram does not arrive at once", hosts.receive(hosts.b, 0.03, "a").empty());
  say("it arrives later, duplicated", hosts.receive(hosts.b, 0.15, "a").size() == 2);
  LinkConditions lossy;
  lossy.loss = 0.3;
  hosts.between.set("a", "b", lossy);
  std::size_t received = 0;
  for (int i = 0; i < 20; ++i) {
    for (int j = 0; j < 20; ++j) hosts.send(hosts.a, "b", "x");
    received += hosts.receive(hosts.b, 0.02, "a").size();
  }
  say("with a loss of 30%, about three in ten are lost", received > 240 && received < 320);
}

void streams() {
  Loop loop;
  FaultyNetwork between(loop, 1);
  std::uint16_t port = 0;
  const int listener = listening_socket(port);
  const std::uint16_t path_port = between.path("a", "b", port);
  say("the path between two processes keeps its port", path_port == between.path("a", "b", port));
  const auto connect = [&](int& client, int& server) {
    client = connected_socket(path_port);
    loop.run_until([&] { return (server = accepted_socket(listener)) >= 0; }, 1);
  };
  const auto read = [&](int fd, double seconds) {
    loop.run_for(seconds);
    char bytes[256];
    const ssize_t size_read = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
    return size_read > 0     ? std::string(bytes, static_cast<std::size_t>(size_read))
           : size_read == 0  ? "end"
           : errno == EAGAIN ? "nothing"
                             : "reset";
  };
  int client = -1, server = -1;
  connect(client, server);
  ::send(client, "hello", 5, 0);
  say("a stream's bytes arrive", read(server, 0.05) == "hello");
  LinkConditions cut;
  cut.cut = true;
  between.set("a", "b", cut);
  ::send(client, "held", 4, 0), ::send(server, "back", 4, 0);
  say("a cut holds a stream's bytes", read(server, 0.05) == "nothing");
  say("and not in the opposite direction", read(client, 0.01) == "back");
  ::shutdown(client, SHUT_WR);
  say("a cut holds the stream's end", read(server, 0.05) == "nothing");
  between.set("a", "b", {});
  say("the bytes arrive after the cut", read(server, 0.05) == "held");
  say("and the stream's end", read(server, 0.05) == "end");
  between.reset("a", "b");
  say("a reset closes the connection", read(client, 0.05) == "reset" || read(client, 0.05) == "end");
  ::close(client), ::close(server);
  LinkConditions refused;
  refused.refused = true;
  between.set("a", "b", refused);
  client = connected_socket(path_port);
  say("a refused connection is closed",
      client < 0 || read(client, 0.05) == "reset" || read(client, 0.01) == "end");
  ::close(client), ::close(listener);
}

constexpr const char* kScript = R"(
rehearsal
    name     example
    seed     7
    lasts    5s
    judged   1500ms 85%
fleet
    forwarders  2
    planners    3
    work        10ms
    calls       50%
    below       20ms 40
    zones       north south
    operators   "gate"
    operators   "    enabled on"
load
    op       close dedup 50 3 500ms 1s
faults
    at 2s    cut f1 p2 for 1s
    at 500ms kill p1
    at 3s    delay callers forwarders 80ms for 500ms
)";

void scripts() {
  const RehearsalScript script = parse_rehearsal(kScript);
  const std::string text = text_of(script);
  std::printf("%s", text.c_str());
  say("the written text parses to the same script", text_of(parse_rehearsal(text)) == text);
  const std::pair<const char*, const char*> invalid_edits[] = {
      {"kill p1", "slay p1"}, {"cut f1 p2 for 1s", "cut f1 p2"},   {"80ms", "eighty"},
      {"relays", ""},         {"planners    3", "planners    30"}, {"gate", "a b"}};
  for (const auto& [from, to] : invalid_edits) {
    std::string edited = kScript;
    if (const std::size_t at = edited.find(from); at != std::string::npos && *to != 0)
      edited.replace(at, std::strlen(from), to);
    try {
      parse_rehearsal(edited);
    } catch (const std::exception& error) {
      std::printf("%s: %s\n", to, error.what());
    }
  }
  say("the same seed draws the same faults",
      text_of(draw_script(script, 5, 6)) == text_of(draw_script(script, 5, 6)));
  say("another seed draws other faults",
      text_of(draw_script(script, 5, 6)) != text_of(draw_script(script, 6, 6)));
}

// The script fails whenever it contains a kill of p2 and a pause of p3: minimizing it must leave just these
// two.
void minimize() {
  RehearsalScript script = parse_rehearsal(kScript);
  script.faults.clear();
  const auto add = [&](double at, const char* kind, const char* target) {
    FaultSpec fault;
    fault.at = at, fault.kind = kind, fault.targets = {target};
    script.faults.push_back(fault);
  };
  for (int i = 0; i < 20; ++i) add(0.1 * i, i % 3 == 0 ? "kill" : "start", "p1");
  add(2.1, "kill", "p2"), add(2.2, "leave", "p1"), add(2.3, "pause", "p3");
  int rehearsals = 0;
  const RehearsalScript shortest = minimize_script(script, 1, [&](const RehearsalScript& candidate) {
    ++rehearsals;
    bool kills_p2 = false, pauses_p3 = false;
    for (const FaultSpec& fault : candidate.faults) {
      kills_p2 |= fault.kind == "kill" && fault.targets[0] == "p2";
      pauses_p3 |= fault.kind == "pause" && fault.targets[0] == "p3";
    }
    return kills_p2 && pauses_p3;
  });
  for (const FaultSpec& fault : shortest.faults) std::printf("%s\n", text_of(fault).c_str());
  say("in fewer rehearsals than three per fault", rehearsals < 23 * 3);
}

}  // namespace

int main(int argc, char** argv) {
  std::string unused;
  return run_scenario(
      argc, argv, unused,
      {{"datagrams", datagrams}, {"streams", streams}, {"scripts", scripts}, {"minimize", minimize}});
}
