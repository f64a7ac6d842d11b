// A planner's server for forwarders, and a socket as the forwarder.
#include "peers/tier/forwarder_server.h"

#include <gtest/gtest.h>

#include <string>
#include <variant>
#include <vector>

#include "peer_fixture.h"
#include "tier/forwarder_sessions.h"
#include "wire/tier.h"

namespace damsonspoke::peers {
namespace {

namespace wt = wire::tier;

const std::size_t kMaxOpenAttempts = tier::ForwarderSessionsOptions{}.max_open_attempts;

wt::Submit submit(std::uint64_t attempt, const std::string& key) {
  wt::Submit out;
  out.attempt = attempt;
  out.request = attempt;
  out.idempotency_key = key;
  return out;
}

std::vector<wt::Answer> answers_in(std::string_view input) {
  std::vector<wt::Answer> answers;
  for (;;) {
    const wt::DecodedFrame frame = wt::decode_next_frame(input);
    if (frame.state != wt::Framing::kFrame) return answers;
    if (const auto* answer = std::get_if<wt::Answer>(&frame.message)) answers.push_back(*answer);
    input.remove_prefix(frame.length);
  }
}

// Guards against the proof "never ran" for the repeat of a key that has run, where the forwarder has more
// attempts open than a planner accepts.
TEST(ForwarderServer, ARepeatBeyondTheOpenAttemptsIsNotRejected) {
  PeerFixture fixture;
  fixture.events.key_that_may_have_run = "a";
  ForwarderServer::Self self;
  self.name = "p1";
  self.epoch = 9;
  self.routes = {"push"};
  self.priority_weight = {1};
  self.slow_start.cores = 1;
  ForwarderServer server(fixture.stepped.reactor, "127.0.0.1:0", self, {8, kOutputBytes, kOutputBytes},
                         fixture.events, fixture.counters, fixture.log);
  const Socket forwarder = Socket::connected(server.port());
  wt::Hello hello;
  hello.name = "f1";
  hello.epoch = 7;
  hello.routes = {"push"};
  forwarder.send(wt::encode(hello));
  fixture.stepped.run_for([&] {
    for (std::size_t attempt = 1; attempt <= kMaxOpenAttempts; ++attempt)
      forwarder.send(wt::encode(submit(attempt, "open")));
    forwarder.send(wt::encode(submit(kMaxOpenAttempts + 1, "a")));
    forwarder.send(wt::encode(submit(kMaxOpenAttempts + 2, "b")));
  });
  fixture.stepped.run_for(kStepSeconds);
  const std::vector<wt::Answer> answers = answers_in(forwarder.receive());
  ASSERT_EQ(answers.size(), 2U);
  EXPECT_EQ(answers[0].result, wt::Result::kFailed);
  EXPECT_EQ(answers[1].result, wt::Result::kRejected);
  fixture.stepped.end();
}

}  // namespace
}  // namespace damsonspoke::peers
