// Peers whose input lies unread in a socket when a timeout is checked: as after a pause of the process, it
// arrives between a poll and the timers that follow.
#include <chrono>
#include <string>
#include <thread>

#include "ajp_gateway.h"
#include "catalog/catalog.h"
#include "peer_fixture.h"
#include "peers/ajp/server.h"
#include "peers/json_rpc/server.h"
#include "peers/tier/forwarder_server.h"

namespace damsonspoke::peers {
namespace {

namespace wt = wire::tier;

constexpr std::chrono::milliseconds kPause{2000};  // longer than the timeouts of the peers

// Sends `bytes` while the reactor is paused, so that due timers run before they are read.
void send_during_pause(PeerFixture& fixture, const Socket& socket, const std::string& bytes) {
  std::this_thread::sleep_for(kPause);
  socket.send(bytes);
  fixture.stepped.run_for(kStepSeconds);
}

// Guards against a request that is thrown away as incomplete after a pause, although the rest of it had come.
TEST(UnreadInput, AJsonRpcRequestWhoseRestIsUnreadIsComplete) {
  PeerFixture fixture;
  const catalog::Catalog catalog({}, 1);
  JsonRpcServer server(fixture.stepped.reactor, "127.0.0.1:0", catalog, {},
                       {8, kOutputBytes, nullptr, 0, nullptr}, fixture.events, fixture.counters, fixture.log);
  const Socket client = Socket::connected(server.port());
  const std::string message = json_health_check();
  client.send(message.substr(0, 20));
  fixture.stepped.run_for(kStepSeconds);
  send_during_pause(fixture, client, message.substr(20));
  EXPECT_EQ(fixture.events.health_checks.size(), 1U);
  EXPECT_FALSE(client.is_closed());
  fixture.stepped.end();
}

// Guards against the same for AJP.
TEST(UnreadInput, AnAjpRequestWhoseRestIsUnreadIsComplete) {
  PeerFixture fixture;
  AjpServer server(fixture.stepped.reactor, {}, 1, ajp_options(), {8, kOutputBytes, nullptr, 0, nullptr},
                   fixture.events, fixture.counters, fixture.log);
  const Socket gateway = Socket::connected(server.port());
  const std::string ping{0x12, 0x34, 0, 1, 10};
  gateway.send(ping.substr(0, 2));
  fixture.stepped.run_for(kStepSeconds);
  send_during_pause(fixture, gateway, ping.substr(2));
  std::string pong(5, '\0');
  EXPECT_EQ(::recv(gateway.fd(), pong.data(), pong.size(), MSG_DONTWAIT), 5);
  EXPECT_EQ(pong, std::string({'A', 'B', 0, 1, 9}));
  fixture.stepped.end();
}

// Guards against a second run of a key whose repeat lies unread while the process is paused and its window
// ends: AJP does not say when a request arrived.
TEST(UnreadInput, AnAjpRequestMayHaveArrivedDuringThePause) {
  PeerFixture fixture;
  AjpServer server(fixture.stepped.reactor, {{"read"}, {false}, {5}, 64, {1}}, 1, ajp_options(),
                   {8, kOutputBytes, nullptr, 0, nullptr}, fixture.events, fixture.counters, fixture.log);
  const Socket gateway = Socket::connected(server.port());
  fixture.stepped.run_for(kStepSeconds);
  standins::raw_ajp::Request request;
  request.uri = "/read";
  gateway.send(standins::raw_ajp::forward_request(request));
  std::this_thread::sleep_for(kPause);
  fixture.stepped.run_for(kStepSeconds);
  fixture.stepped.end();
  ASSERT_EQ(fixture.events.arrived_earlier.size(), 1U);
  EXPECT_GE(fixture.events.arrived_earlier.front(), std::chrono::duration<double>(kPause).count());
}

// Guards against a planner that closes its forwarders' links after a pause, although their pings had come.
TEST(UnreadInput, APlannerKeepsTheLinkOfAForwarderWhosePingsAreUnread) {
  PeerFixture fixture;
  ForwarderServer::Self self;
  self.name = "p1";
  self.epoch = 9;
  self.slow_start.cores = 1;
  ForwarderServer server(fixture.stepped.reactor, "127.0.0.1:0", self, {8, kOutputBytes, kOutputBytes},
                         fixture.events, fixture.counters, fixture.log);
  const Socket forwarder = Socket::connected(server.port());
  wt::Hello hello;
  hello.name = "f1";
  hello.epoch = 7;
  forwarder.send(wt::encode(hello));
  fixture.stepped.run_for(kStepSeconds);
  EXPECT_EQ(server.connections(), 1U);
  send_during_pause(fixture, forwarder, wt::encode(wt::Ping{1}));
  EXPECT_EQ(server.connections(), 1U);
  fixture.stepped.end();
}

// Guards against the same for a forwarder and its planners.
TEST(UnreadInput, AForwarderKeepsTheLinkOfAPlannerWhosePongsAreUnread) {
  PeerFixture fixture;
  const Socket listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  ASSERT_EQ(::bind(listener.fd(), reinterpret_cast<const sockaddr*>(&address), size), 0);
  ASSERT_EQ(::listen(listener.fd(), 1), 0);
  ::getsockname(listener.fd(), reinterpret_cast<sockaddr*>(&address), &size);
  PlannerClient planners(fixture.stepped.reactor, {"f1", 7, {"read"}, {}}, kOutputBytes, fixture.events,
                         fixture.counters, fixture.log);
  planners.add("127.0.0.1:" + std::to_string(ntohs(address.sin_port)));
  const Socket planner(::accept(listener.fd(), nullptr, nullptr));
  wt::Hello hello;
  hello.is_planner = true;
  hello.name = "p1";
  hello.epoch = 9;
  hello.window = 8;
  planner.send(wt::encode(hello));
  fixture.stepped.run_for(kStepSeconds);
  EXPECT_EQ(fixture.events.links, 1);
  send_during_pause(fixture, planner, wt::encode(wt::Pong{1}));
  EXPECT_EQ(fixture.events.links, 1);
  fixture.stepped.end();
}

}  // namespace
}  // namespace damsonspoke::peers
