// The client of the plain dependency: a reply belongs to the call that it was made for. Replies name the
// request, and several calls of one request share that name.
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "loop.h"
#include "peer_fixture.h"
#include "peers/dependency/client.h"

namespace damsonspoke::peers {
namespace {

constexpr double kTimeoutSeconds = 5;
constexpr RequestId kManyCalls = 300;

// Reads and writes the lines of a dependency on the connections of one listener.
class ScriptedDependency {
 public:
  ScriptedDependency() : listener_(standins::listening_socket(port)) {}
  ScriptedDependency(const ScriptedDependency&) = delete;
  ScriptedDependency& operator=(const ScriptedDependency&) = delete;
  ~ScriptedDependency() {
    for (const int fd : connections) ::close(fd);
    ::close(listener_);
  }
  void accept() {
    for (int fd; (fd = standins::accepted_socket(listener_)) >= 0;) connections.push_back(fd);
  }
  [[nodiscard]] static std::string read(int fd) {
    char bytes[4096];
    const ssize_t got = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
    return got > 0 ? std::string(bytes, static_cast<std::size_t>(got)) : std::string();
  }
  static void reply(int fd, const std::string& id, const std::string& body) {
    const std::string text = id + " ok " + std::to_string(body.size()) + "\r\n" + body + "\r\n";
    EXPECT_EQ(::send(fd, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
  }

  std::uint16_t port = 0;
  std::vector<int> connections;

 private:
  int listener_ = -1;
};

class DependencyClientTest : public testing::Test, protected DependencyEvents {
 protected:
  explicit DependencyClientTest(std::size_t max_links = 1)
      : client_(fixture_.stepped.reactor, "127.0.0.1:" + std::to_string(dependency_.port), max_links, *this,
                fixture_.counters, fixture_.log) {}
  void TearDown() override { fixture_.stepped.end(); }
  void on_call_ended(RequestId id, Outcome /*outcome*/, double /*seconds*/, std::string_view reply) override {
    replies_[id].emplace_back(reply);
    if (on_end_) on_end_(id);
  }
  void run() {
    fixture_.stepped.run_for(kStepSeconds);
    dependency_.accept();
  }

  ScriptedDependency dependency_;
  PeerFixture fixture_;
  std::map<RequestId, std::vector<std::string>> replies_;
  std::function<void(RequestId)> on_end_;
  DependencyClient client_;
};

const std::string kFirst = "0000000000000001", kOther = "0000000000000002";

// Guards against a call that is given the second copy of the reply to an earlier call of its request, where
// calls share a connection.
TEST_F(DependencyClientTest, ASecondCallOnASharedLinkIsNotAnsweredByACopyOfTheFirstReply) {
  client_.call(1, kTimeoutSeconds, "first call");
  client_.call(2, kTimeoutSeconds, "call that shares the link");
  run();
  ASSERT_EQ(dependency_.connections.size(), 1U);
  const int shared = dependency_.connections[0];
  on_end_ = [this](RequestId id) {
    if (id == 1 && replies_[1].size() == 1) client_.call(1, kTimeoutSeconds, "second call");
  };
  ScriptedDependency::reply(shared, kFirst, "reply to the first call");
  run();
  ScriptedDependency::reply(shared, kFirst, "reply to the first call");  // the copy
  run();
  EXPECT_EQ(replies_[1], std::vector<std::string>{"reply to the first call"});
  ASSERT_EQ(dependency_.connections.size(), 2U);
  ScriptedDependency::reply(dependency_.connections[1], kFirst, "reply to the second call");
  ScriptedDependency::reply(shared, kOther, "reply to the other call");
  run();
  const std::vector<std::string> own{"reply to the first call", "reply to the second call"};
  EXPECT_EQ(replies_[1], own);
  EXPECT_EQ(replies_[2], std::vector<std::string>{"reply to the other call"});
}

// Guards against the same after other calls on the connection.
TEST_F(DependencyClientTest, ALinkIsNotUsedForARequestThatItHasCarriedBefore) {
  for (const auto& [request, id] : {std::pair<RequestId, std::string>{1, kFirst}, {2, kOther}}) {
    client_.call(request, kTimeoutSeconds, "call");
    run();
    ASSERT_EQ(dependency_.connections.size(), 1U);
    ScriptedDependency::reply(dependency_.connections[0], id, "reply");
    run();
  }
  client_.call(1, kTimeoutSeconds, "second call");
  run();
  EXPECT_EQ(dependency_.connections.size(), 2U);
}

// What a link remembers is bounded: after many calls another one takes its place.
TEST_F(DependencyClientTest, ALinkIsReplacedAfterManyCalls) {
  for (RequestId request = 1; request <= kManyCalls; ++request)
    client_.call(request, kTimeoutSeconds, "call");
  run();
  EXPECT_EQ(dependency_.connections.size(), 3U);
}

}  // namespace
}  // namespace damsonspoke::peers
