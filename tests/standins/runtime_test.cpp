// Tests that the simulated runtime follows the runtime protocol, as other tests rely on it.
#include "runtime.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace damsonspoke::standins {
namespace {

constexpr double kTimeoutSeconds = 5;
constexpr double kQuietSeconds = 0.05;
constexpr char kStart[] = "start 00000000000000ab read 3\r\nkey\r\n";

class RuntimeTest : public testing::Test {
 protected:
  RuntimeTest() : runtime_(loop_, journal_, options()) {
    runtime_.begin_incarnation(0);
    connect();
  }
  void TearDown() override { disconnect(); }

  static Runtime::Options options() {
    Runtime::Options options;
    options.work = 0.002;
    options.calls = 1;
    options.calls_in_a_row = 2;
    return options;
  }
  void connect() {
    link_ = connected_socket(runtime_.port());
    loop_.watch(link_, [this] { read(); });
  }
  void disconnect() {
    if (link_ < 0) return;
    loop_.forget(link_);
    ::close(link_);
    link_ = -1;
  }
  void read() {
    char bytes[4096];
    const ssize_t got = ::recv(link_, bytes, sizeof bytes, MSG_DONTWAIT);
    if (got > 0) return static_cast<void>(received_.append(bytes, static_cast<std::size_t>(got)));
    if (got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) disconnect();
  }
  void send(const std::string& text) { loop_.send(link_, text); }
  bool receives(const std::string& text) {
    return loop_.run_until([&] { return received_.find(text) != std::string::npos; }, kTimeoutSeconds);
  }
  std::vector<std::string> violations() {
    RuleLimits limits;
    limits.replies_name_calls = true;
    journal_.incarnations.resize(1);
    return check_rules(journal_, limits).broken;
  }

  Loop loop_;
  Journal journal_;
  Runtime runtime_;
  int link_ = -1;
  std::string received_;
};

// Guards against a late `omit` that skips the reply to a later call.
TEST_F(RuntimeTest, OmitActsOnlyOnTheCallThatItsNoticeAskedFor) {
  send("sync 0\r\n" + std::string(kStart));
  ASSERT_TRUE(receives("wants 1 00000000000000ab 26\r\ncall 1 of 00000000000000ab"));
  send("omit 00000000000000ab 2\r\n");
  loop_.run_for(kQuietSeconds);
  EXPECT_EQ(journal_.calls.size(), 1U);
  send("omit 00000000000000ab 1\r\n");
  ASSERT_TRUE(receives("wants 2 00000000000000ab 26\r\ncall 2 of 00000000000000ab"));
  send("omit 00000000000000ab 1\r\n");
  loop_.run_for(kQuietSeconds);
  EXPECT_EQ(received_.find("end "), std::string::npos);
  send("omit 00000000000000ab 2\r\n");
  EXPECT_TRUE(receives("end 3 00000000000000ab complete"));
  EXPECT_TRUE(violations().empty());
}

// Guards against a checker that misses a repeated reply that answers the next call.
TEST_F(RuntimeTest, ReplyThatAnswersAnotherCallBreaksRuleOne) {
  const std::string reply = "give 00000000000000ab 35\r\nreply to call 1 of 00000000000000ab\r\n";
  send("sync 0\r\n" + std::string(kStart));
  ASSERT_TRUE(receives("wants 1 "));
  send(reply);
  ASSERT_TRUE(receives("wants 2 "));
  EXPECT_TRUE(violations().empty());
  send(reply);
  ASSERT_TRUE(receives("end 3 00000000000000ab complete"));
  ASSERT_EQ(violations().size(), 1U);
  EXPECT_EQ(violations()[0], "rule 1: 00000000000000ab: the reply to call 1 answered call 2");
}

// Guards against a checker that misses a reply that differs from what the dependency sent.
TEST_F(RuntimeTest, ChangedReplyBreaksRuleOne) {
  send("sync 0\r\n" + std::string(kStart));
  ASSERT_TRUE(receives("wants 1 "));
  send("give 00000000000000ab 5\r\nreply\r\n");
  ASSERT_TRUE(receives("wants 2 "));
  ASSERT_EQ(violations().size(), 1U);
  EXPECT_EQ(violations()[0], "rule 1: 00000000000000ab: the reply to call 1 was changed");
}

// Guards against a runtime that ignores commands for unknown requests instead of rejecting them.
TEST_F(RuntimeTest, RejectsCommandsOfUnknownRequests) {
  send("sync 0\r\nstop 00000000000000cd\r\ngive 00000000000000cd 2\r\nno\r\nomit 00000000000000cd 1\r\n");
  EXPECT_TRUE(
      receives("nack stop 00000000000000cd\r\nnack give 00000000000000cd\r\nnack omit 00000000000000cd\r\n"));
}

// Guards against notices and requests of the process before a restart that are taken for those after it.
TEST_F(RuntimeTest, RestartsWithoutRunsAndNumbersNoticesFromOne) {
  send("sync 0\r\n" + std::string(kStart));
  ASSERT_TRUE(receives("wants 1 "));
  runtime_.restart();
  EXPECT_EQ(runtime_.running(), 0);
  loop_.run_for(kQuietSeconds);
  EXPECT_LT(link_, 0);
  received_.clear();
  connect();
  send("sync 1\r\nomit 00000000000000ab 1\r\n");
  ASSERT_TRUE(receives("nack omit 00000000000000ab"));
  send(kStart);
  EXPECT_TRUE(receives("wants 1 00000000000000ab"));
}

// Guards against a runtime that still accepts links at its old address after a move.
TEST_F(RuntimeTest, MovesToAnotherPortAndKeepsItsRuns) {
  send("sync 0\r\n" + std::string(kStart));
  ASSERT_TRUE(receives("wants 1 "));
  const std::uint16_t before = runtime_.port();
  runtime_.move_to_new_port();
  EXPECT_NE(runtime_.port(), before);
  EXPECT_LT(connected_socket(before), 0);
  disconnect();
  received_.clear();
  connect();
  send("sync 0\r\n");
  EXPECT_TRUE(receives("wants 1 00000000000000ab"));
  EXPECT_EQ(runtime_.running(), 1);
}

// Guards against commands that are read although they arrive after reading has stopped before a cut.
TEST_F(RuntimeTest, CommandsThatArriveUnreadBeforeACutAreLost) {
  send("sync 0\r\n");
  ASSERT_TRUE(receives("ready "));
  runtime_.break_link_after(kQuietSeconds);
  send(kStart);
  loop_.run_for(2 * kQuietSeconds);
  EXPECT_LT(link_, 0);
  EXPECT_TRUE(journal_.runs.empty());
}

// Guards against a soak test that does not cover a run that ends just before its start is sent again.
TEST_F(RuntimeTest, RunsEndRightAfterTheGaugesOfTheNextLink) {
  runtime_.options.calls = 0;
  runtime_.options.work = 30;
  send("sync 0\r\n" + std::string(kStart));
  ASSERT_TRUE(loop_.run_until([this] { return runtime_.running() == 1; }, kTimeoutSeconds));
  runtime_.end_runs_at_next_link();
  runtime_.break_link();
  loop_.run_for(kQuietSeconds);
  EXPECT_EQ(runtime_.running(), 1);
  connect();
  send("sync 0\r\ngauges 1\r\n" + std::string(kStart));
  ASSERT_TRUE(loop_.run_until([this] { return journal_.runs.size() == 2; }, kTimeoutSeconds));
  EXPECT_TRUE(receives("end 1 00000000000000ab complete"));
}

}  // namespace
}  // namespace damsonspoke::standins
