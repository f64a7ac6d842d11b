// The faulty network between processes, the scripts of rehearsals, and how a failing one is cut down. CTest
// compares with tests/traces/rehearsals_NAME.txt. usage: rehearsals - SCENARIO
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

// Two hosts, each with a socket for datagrams on its home.
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
      if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) std::puts("no address");
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
  // All that comes within so long; a datagram's source has to be the face of its sender.
  std::vector<std::string> heard(int fd, double seconds, const char* from) {
    loop.run_for(seconds);
    std::vector<std::string> out;
    char bytes[256];
    sockaddr_in source{};
    socklen_t size = sizeof source;
    for (ssize_t got; (got = ::recvfrom(fd, bytes, sizeof bytes, MSG_DONTWAIT,
                                        reinterpret_cast<sockaddr*>(&source), &size)) >= 0;) {
      char text[INET_ADDRSTRLEN] = "";
      ::inet_ntop(AF_INET, &source.sin_addr, text, sizeof text);
      out.push_back(between.add_host(from).advertised_address == text
                        ? std::string(bytes, static_cast<std::size_t>(got))
                        : "stranger");
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
  say("a datagram comes, from its sender's face",
      hosts.heard(hosts.b, 0.05, "a") == std::vector<std::string>{"one"});
  LinkConditions cut;
  cut.cut = true;
  hosts.between.set("a", "b", cut);
  hosts.send(hosts.a, "b", "two"), hosts.send(hosts.b, "a", "three");
  say("a cut swallows what goes one way", hosts.heard(hosts.b, 0.05, "a").empty());
  say("and lets the other way be", hosts.heard(hosts.a, 0.01, "b") == std::vector<std::string>{"three"});
  LinkConditions late;
  late.delay = 0.1, late.duplicated = 1;
  hosts.between.set("a", "b", late);
  hosts.send(hosts.a, "b", "four");
  say("a late one is not there at once", hosts.heard(hosts.b, 0.03, "a").empty());
  say("and comes, doubled", hosts.heard(hosts.b, 0.15, "a").size() == 2);
  LinkConditions lossy;
  lossy.loss = 0.3;
  hosts.between.set("a", "b", lossy);
  std::size_t came = 0;
  for (int i = 0; i < 20; ++i) {
    for (int j = 0; j < 20; ++j) hosts.send(hosts.a, "b", "x");
    came += hosts.heard(hosts.b, 0.02, "a").size();
  }
  say("about three in ten are lost", came > 240 && came < 320);
}

void streams() {
  Loop loop;
  FaultyNetwork between(loop, 1);
  std::uint16_t port = 0;
  const int listener = listening_socket(port);
  const std::uint16_t way = between.path("a", "b", port);
  say("the way stays the same", way == between.path("a", "b", port));
  const auto meet = [&](int& near, int& far) {
    near = connected_socket(way);
    loop.run_until([&] { return (far = accepted_socket(listener)) >= 0; }, 1);
  };
  const auto read = [&](int fd, double seconds) {
    loop.run_for(seconds);
    char bytes[256];
    const ssize_t got = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
    return got > 0           ? std::string(bytes, static_cast<std::size_t>(got))
           : got == 0        ? "end"
           : errno == EAGAIN ? "nothing"
                             : "reset";
  };
  int near = -1, far = -1;
  meet(near, far);
  ::send(near, "hello", 5, 0);
  say("bytes go through", read(far, 0.05) == "hello");
  LinkConditions cut;
  cut.cut = true;
  between.set("a", "b", cut);
  ::send(near, "held", 4, 0), ::send(far, "back", 4, 0);
  say("a cut holds them", read(far, 0.05) == "nothing");
  say("one way only", read(near, 0.01) == "back");
  ::shutdown(near, SHUT_WR);
  say("the end does not come through either", read(far, 0.05) == "nothing");
  between.set("a", "b", {});
  say("afterwards they come", read(far, 0.05) == "held");
  say("and the end", read(far, 0.05) == "end");
  between.reset("a", "b");
  say("a reset is one", read(near, 0.05) == "reset" || read(near, 0.05) == "end");
  ::close(near), ::close(far);
  LinkConditions refused;
  refused.refused = true;
  between.set("a", "b", refused);
  near = connected_socket(way);
  say("a refused one is closed", near < 0 || read(near, 0.05) == "reset" || read(near, 0.01) == "end");
  ::close(near), ::close(listener);
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
  const RehearsalScript script = read_rehearsal(kScript);
  const std::string text = text_of(script);
  std::printf("%s", text.c_str());
  say("read again it is the same", text_of(read_rehearsal(text)) == text);
  const std::pair<const char*, const char*> spoilt[] = {
      {"kill p1", "slay p1"}, {"cut f1 p2 for 1s", "cut f1 p2"},   {"80ms", "eighty"},
      {"relays", ""},         {"planners    3", "planners    30"}, {"gate", "a b"}};
  for (const auto& [from, to] : spoilt) {
    std::string other = kScript;
    if (const std::size_t at = other.find(from); at != std::string::npos && *to != 0)
      other.replace(at, std::strlen(from), to);
    try {
      read_rehearsal(other);
    } catch (const std::exception& error) {
      std::printf("%s: %s\n", to, error.what());
    }
  }
  say("the same seed draws the same", text_of(drawn(script, 5, 6)) == text_of(drawn(script, 5, 6)));
  say("another one others", text_of(drawn(script, 5, 6)) != text_of(drawn(script, 6, 6)));
}

// A play that fails where a kill of p2 comes with a pause of p3, whatever else there is.
void cuts() {
  RehearsalScript script = read_rehearsal(kScript);
  script.faults.clear();
  const auto add = [&](double at, const char* what, const char* who) {
    FaultSpec fault;
    fault.at = at, fault.what = what, fault.who = {who};
    script.faults.push_back(fault);
  };
  for (int i = 0; i < 20; ++i) add(0.1 * i, i % 3 == 0 ? "kill" : "start", "p1");
  add(2.1, "kill", "p2"), add(2.2, "leave", "p1"), add(2.3, "pause", "p3");
  int plays = 0;
  const RehearsalScript least = cut_down(script, 1, [&](const RehearsalScript& s) {
    ++plays;
    bool killed = false, paused = false;
    for (const FaultSpec& fault : s.faults) {
      killed |= fault.what == "kill" && fault.who[0] == "p2";
      paused |= fault.what == "pause" && fault.who[0] == "p3";
    }
    return killed && paused;
  });
  for (const FaultSpec& fault : least.faults) std::printf("%s\n", text_of(fault).c_str());
  say("in fewer plays than one a fault and try", plays < 23 * 3);
}

}  // namespace

int main(int argc, char** argv) {
  std::string unused;
  return run_scenario(argc, argv, unused,
                      {{"datagrams", datagrams}, {"streams", streams}, {"scripts", scripts}, {"cuts", cuts}});
}
