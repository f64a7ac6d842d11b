// The faulty network between processes, the scripts of rehearsals, and how a failing one is cut down. CTest
// compares with tests/traces/rehearsals_NAME.txt. usage: rehearsals - SCENARIO
#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmath>

#include "between.h"
#include "rehearsal_search.h"
#include "scenarios.h"

using namespace damsonspoke::standins;

namespace {

// Two hosts, each with a socket for datagrams on its home.
struct Hosts {
  Hosts() {
    for (const char* name : {"a", "b"}) {
      const Between::Host& host = between.add_host(name);
      sockaddr_in at{};
      at.sin_family = AF_INET;
      at.sin_port = htons(host.port);
      ::inet_pton(AF_INET, host.home.c_str(), &at.sin_addr);
      int& fd = name[0] == 'a' ? a : b;
      fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) std::puts("no address");
    }
  }
  ~Hosts() { ::close(a), ::close(b); }
  void send(int from, const char* to, const std::string& text) {
    const Between::Host& host = between.add_host(to);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(host.port);
    ::inet_pton(AF_INET, host.face.c_str(), &at.sin_addr);
    ::sendto(from, text.data(), text.size(), 0, reinterpret_cast<const sockaddr*>(&at), sizeof at);
  }
  // All that comes within so long; a datagram's source has to be the face of its sender.
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
      out.push_back(between.add_host(from).face == text
                        ? std::string(bytes, static_cast<std::size_t>(size_read))
                        : "stranger");
    }
    return out;
  }
  Loop loop;
  Between between{loop, 1};
  int a = -1, b = -1;
};

void datagrams() {
  Hosts hosts;
  hosts.send(hosts.a, "b", "one");
  say("a datagram comes, from its sender's face",
      hosts.receive(hosts.b, 0.05, "a") == std::vector<std::string>{"one"});
  Weather cut;
  cut.cut = true;
  hosts.between.set("a", "b", cut);
  hosts.send(hosts.a, "b", "two"), hosts.send(hosts.b, "a", "three");
  say("a cut swallows what goes one way", hosts.receive(hosts.b, 0.05, "a").empty());
  say("and lets the other way be", hosts.receive(hosts.a, 0.01, "b") == std::vector<std::string>{"three"});
  Weather delayed;
  delayed.delay = 0.1, delayed.doubled = 1;
  hosts.between.set("a", "b", delayed);
  hosts.send(hosts.a, "b", "four");
  say("a late one is not there at once", hosts.receive(hosts.b, 0.03, "a").empty());
  say("and comes, doubled", hosts.receive(hosts.b, 0.15, "a").size() == 2);
  Weather lossy;
  lossy.loss = 0.3;
  hosts.between.set("a", "b", lossy);
  std::size_t received = 0;
  for (int i = 0; i < 20; ++i) {
    for (int j = 0; j < 20; ++j) hosts.send(hosts.a, "b", "x");
    received += hosts.receive(hosts.b, 0.02, "a").size();
  }
  say("about three in ten are lost", received > 240 && received < 320);
}

void streams() {
  Loop loop;
  Between between(loop, 1);
  std::uint16_t port = 0;
  const int listener = listening_socket(port);
  const std::uint16_t path_port = between.path("a", "b", port);
  say("the way stays the same", path_port == between.path("a", "b", port));
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
  say("bytes go through", read(server, 0.05) == "hello");
  Weather cut;
  cut.cut = true;
  between.set("a", "b", cut);
  ::send(client, "held", 4, 0), ::send(server, "back", 4, 0);
  say("a cut holds them", read(server, 0.05) == "nothing");
  say("one way only", read(client, 0.01) == "back");
  ::shutdown(client, SHUT_WR);
  say("the end does not come through either", read(server, 0.05) == "nothing");
  between.set("a", "b", {});
  say("afterwards they come", read(server, 0.05) == "held");
  say("and the end", read(server, 0.05) == "end");
  between.reset("a", "b");
  say("a reset is one", read(client, 0.05) == "reset" || read(client, 0.05) == "end");
  ::close(client), ::close(server);
  Weather refused;
  refused.refused = true;
  between.set("a", "b", refused);
  client = connected_socket(path_port);
  say("a refused one is closed", client < 0 || read(client, 0.05) == "reset" || read(client, 0.01) == "end");
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
  say("read again it is the same", text_of(parse_rehearsal(text)) == text);
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
  say("the same seed draws the same",
      text_of(draw_script(script, 5, 6)) == text_of(draw_script(script, 5, 6)));
  say("another one others", text_of(draw_script(script, 5, 6)) != text_of(draw_script(script, 6, 6)));
}

// A play that fails where a kill of p2 comes with a pause of p3, whatever else there is.
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
  int plays = 0;
  const RehearsalScript shortest = minimize_script(script, 1, [&](const RehearsalScript& candidate) {
    ++plays;
    bool kills_p2 = false, pauses_p3 = false;
    for (const FaultSpec& fault : candidate.faults) {
      kills_p2 |= fault.kind == "kill" && fault.targets[0] == "p2";
      pauses_p3 |= fault.kind == "pause" && fault.targets[0] == "p3";
    }
    return kills_p2 && pauses_p3;
  });
  for (const FaultSpec& fault : shortest.faults) std::printf("%s\n", text_of(fault).c_str());
  say("in fewer plays than one a fault and try", plays < 23 * 3);
}

}  // namespace

int main(int argc, char** argv) {
  std::string unused;
  return run_scenario(
      argc, argv, unused,
      {{"datagrams", datagrams}, {"streams", streams}, {"scripts", scripts}, {"minimize", minimize}});
}
