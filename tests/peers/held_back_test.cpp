// Complete messages that a server holds back in favor of the other listener.
#include <vector>

#include "ajp_gateway.h"
#include "catalog/catalog.h"
#include "catalog/catalog_fixtures.h"
#include "conns/connection_quota.h"
#include "peer_fixture.h"
#include "peers/ajp/server.h"
#include "peers/json_rpc/server.h"

namespace damsonspoke::peers {
namespace {

constexpr double kPeriodSeconds = 60;  // longer than a test
constexpr int kMessagesPerPeriod = 2;  // one for each listener

constexpr double kHoldBackSeconds = 0.25;
constexpr double kPastHoldBackSeconds = 0.5;
constexpr double kTwoWaitsSeconds = 0.7;
constexpr double kPastTimeoutSeconds = 2.5;  // of an incomplete message

catalog::Catalog catalog_with_route() {
  catalog::Catalog catalog({1, 0}, 1);
  catalog::testing::apply(catalog, catalog::testing::route("read"));
  return catalog;
}

// A server that may read one message, as the other listener reads, too.
struct Fixture : PeerFixture {
  Fixture() { static_cast<void>(quota.try_read(1, net::monotonic_now())); }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;
  ~Fixture() { stepped.end(); }

  catalog::Catalog catalog = catalog_with_route();
  conns::ConnectionQuota quota{8, {0.5, 0.5}, {kPeriodSeconds, kMessagesPerPeriod}};
  JsonRpcServer server{stepped.reactor, "127.0.0.1:0", catalog, {}, {8, kOutputBytes, &quota, 0, nullptr},
                       events,          counters,      log};
};

// Guards against requests that are thrown away unanswered as the server stops.
TEST(HeldBack, MessagesAreReadBeforeTheLastCloseOfTheirConnection) {
  Fixture fixture;
  const Socket client = Socket::connected(fixture.server.port());
  client.send(json_health_check(1) + json_health_check(2) + json_health_check(3));
  fixture.stepped.run_for(kStepSeconds);
  EXPECT_EQ(fixture.events.health_checks.size(), 1U);
  fixture.server.close_idle_connections();
  EXPECT_EQ(fixture.events.health_checks.size(), 3U);
  EXPECT_FALSE(client.is_closed());
}

// Guards against a message that waits without a bound, and against one connection that reads all of its
// messages before another reads its first.
TEST(HeldBack, ConnectionsTakeTurnsAndEachWaitIsBounded) {
  Fixture fixture;
  const Socket busy = Socket::connected(fixture.server.port());
  busy.send(json_health_check(1) + json_health_check(2) + json_health_check(3));
  fixture.stepped.run_for(kStepSeconds);
  const Socket sound = Socket::connected(fixture.server.port());
  sound.send(json_health_check());
  fixture.stepped.run_for(kTwoWaitsSeconds);
  EXPECT_EQ(fixture.events.health_checks, (std::vector<std::uint64_t>{1, 1, 2, 1}));
}

// Guards against a pause of the timeout of incomplete messages: what follows a held back message is timed.
TEST(HeldBack, AnIncompleteMessageBehindItIsStillTimed) {
  Fixture fixture;
  const Socket client = Socket::connected(fixture.server.port());
  client.send(json_health_check(1) + json_health_check(2) + json_health_check(3).substr(0, 20));
  fixture.stepped.run_for(kPastTimeoutSeconds);
  EXPECT_EQ(fixture.events.health_checks.size(), 2U);
  EXPECT_EQ(fixture.counters[Count::kCallersIncomplete], 1U);
}

// Guards against timeouts that begin as a message is read where its client does not say when it arrived.
TEST(HeldBack, ARequestArrivedWhenItsBytesWereRead) {
  Fixture fixture;
  const Socket client = Socket::connected(fixture.server.port());
  client.send(
      json_health_check(1) +
      json_message(
          R"({"jsonrpc":"2.0","id":2,"method":"read","params":{"txn":"0000000000000001","ram":10}})"));
  fixture.stepped.run_for(kPastHoldBackSeconds);
  ASSERT_EQ(fixture.events.request_ages.size(), 1U);
  EXPECT_GE(fixture.events.request_ages.front(), kHoldBackSeconds);
}

// Guards against the same for AJP, whose requests never say it.
TEST(HeldBack, AnAjpRequestArrivedWhenItsBytesWereRead) {
  PeerFixture fixture;
  conns::ConnectionQuota quota{8, {0.5, 0.5}, {kPeriodSeconds, kMessagesPerPeriod}};
  static_cast<void>(quota.try_read(1, net::monotonic_now()));
  AjpServer server(fixture.stepped.reactor, {{"read"}, {false}, {1}, 64, {1}}, 1, ajp_options(),
                   {8, kOutputBytes, &quota, 0, nullptr}, fixture.events, fixture.counters, fixture.log);
  const Socket gateway = Socket::connected(server.port());
  standins::raw_ajp::Request request;
  request.uri = "/read";
  gateway.send(standins::raw_ajp::cping() + standins::raw_ajp::forward_request(request));
  fixture.stepped.run_for(kPastHoldBackSeconds);
  fixture.stepped.end();
  ASSERT_EQ(fixture.events.request_ages.size(), 1U);
  EXPECT_GE(fixture.events.request_ages.front(), kHoldBackSeconds);
}

}  // namespace
}  // namespace damsonspoke::peers
