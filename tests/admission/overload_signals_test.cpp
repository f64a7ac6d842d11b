// Overload signals to callers: Retry-After, retry storms, and load feedback.
#include "admission/overload_signals.h"

#include <gtest/gtest.h>

#include <vector>

namespace damsonspoke {
namespace {

class RecordingSink final : public DecisionSink {
 public:
  void start(RequestId) override {}
  void interrupt(RequestId) override {}
  void reject(RequestId, double, bool) override {}
  void fail(RequestId) override {}
  void call(RequestId, double) override {}
  void skip_call(RequestId) override {}
  void remember(RequestId, double) override {}
  void forget(RequestId) override {}
  void join(RequestId) override {}
  void set_health(bool, bool) override {}
  void publish_load_feedback(double value) override { published.push_back(value); }
  void set_idle_timeout(double) override {}
  void schedule_wakeup(double, std::uint64_t) override {}
  void log(const std::string&) override {}

  std::vector<double> published;
};

struct OverloadSignalsTest : ::testing::Test {
  RecordingSink sink;
  RandomGenerator random{1};
  AdmissionOptions options;
};

TEST_F(OverloadSignalsTest, GivesNoAdviceWhereTheSettingsForbidIt) {
  OverloadSignals signals(options, random, sink);
  EXPECT_EQ(signals.retry_after(0.5, true), 0);
}

TEST_F(OverloadSignalsTest, AdviceIsJitteredAndBounded) {
  options.sends_retry_after = true;
  options.max_retry_after = 2;
  OverloadSignals signals(options, random, sink);
  for (int i = 0; i < 100; ++i) {
    const double advice = signals.retry_after(1, false);
    EXPECT_GE(advice, 0.75);
    EXPECT_LE(advice, 1.25);
    EXPECT_LE(signals.retry_after(100, true), 2);
  }
  EXPECT_EQ(signals.retry_after(0.01, false), 0);  // too short to matter
}

TEST_F(OverloadSignalsTest, AStormShowsInRetriesOrInShortageAlone) {
  options.servers = 5;
  OverloadSignals signals(options, random, sink);
  EXPECT_FALSE(signals.retry_storm());
  for (int i = 0; i < 20; ++i) signals.observe_capacity(true);
  EXPECT_FALSE(signals.retry_storm()) << signals.shortage();
  for (int i = 0; i < 10; ++i) signals.observe_capacity(true);
  EXPECT_TRUE(signals.retry_storm()) << signals.shortage();
  for (int i = 0; i < 100; ++i) signals.observe_capacity(false);
  EXPECT_FALSE(signals.retry_storm());
  EXPECT_TRUE(signals.has_capacity_for_callers());
}

TEST_F(OverloadSignalsTest, AsksForLessLoadWhileRequestsAreRejected) {
  options.load_feedback = LoadFeedback::kLevel;
  OverloadSignals signals(options, random, sink);
  signals.initialize(1, false, 1);
  for (int i = 0; i < 10; ++i) {
    signals.count_rejection_for_capacity();
    signals.tick(false, 1, false, 1);
  }
  ASSERT_GE(sink.published.size(), 2u);
  EXPECT_GT(sink.published.back(), sink.published.front());
  EXPECT_LE(sink.published.back(), 0.9);
}

}  // namespace
}  // namespace damsonspoke
