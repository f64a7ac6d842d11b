// A slow dependency gets no more concurrent calls than it is known to sustain.
#include "admission/slow_call_pacer.h"

#include <gtest/gtest.h>

namespace damsonspoke {
namespace {

TEST(SlowCallPacer, AssumesItsCeilingBeforeItHasLearned) {
  const SlowCallPacer pacer(4);
  EXPECT_EQ(pacer.interval(2), 0.5);
}

TEST(SlowCallPacer, LearnsTheUsualConcurrency) {
  SlowCallPacer pacer(4);
  for (int i = 0; i < 100; ++i) pacer.advance(0.1, 2, true, 0.1);
  EXPECT_NEAR(pacer.interval(2), 1, 1e-6);
  // Nothing is learned from the calls in flight while calls are slow.
  for (int i = 0; i < 100; ++i) pacer.advance(0.1, 4, false, 2);
  EXPECT_NEAR(pacer.interval(2), 1, 1e-6);
}

TEST(SlowCallPacer, DelaysCallsThatWouldExceedIt) {
  SlowCallPacer pacer(4);
  for (int i = 0; i < 100; ++i) pacer.advance(0.1, 2, true, 0.1);
  pacer.call_started(10);
  for (int i = 0; i < 20; ++i) pacer.advance(0.1, 4, false, 2);
  EXPECT_GT(pacer.delay(12), 0);
  EXPECT_EQ(pacer.delay(15), 0);  // the maximum delay has passed
}

}  // namespace
}  // namespace damsonspoke
