// Unmarked retries are told by timeouts that are unusual on their route.
#include "admission/unusual_timeout_detector.h"

#include <gtest/gtest.h>

namespace damsonspoke {
namespace {

TEST(TimeoutHabits, NothingIsUnusualAtFirst) {
  TimeoutHabits habits;
  for (int i = 0; i < 8; ++i) EXPECT_FALSE(habits.observe(0.1 * (i + 1))) << i;
}

TEST(TimeoutHabits, WhatIsLeftOfATimeoutIsUnusual) {
  TimeoutHabits habits;
  for (int i = 0; i < 50; ++i) habits.observe(1);
  EXPECT_FALSE(habits.observe(1));
  EXPECT_FALSE(habits.observe(1.01));  // within the tolerance
  EXPECT_TRUE(habits.observe(0.6));
}

TEST(TimeoutHabits, SeveralTimeoutsMayBeUsual) {
  TimeoutHabits habits;
  for (int i = 0; i < 100; ++i) habits.observe(i % 2 == 0 ? 1 : 2.5);
  EXPECT_FALSE(habits.observe(1));
  EXPECT_FALSE(habits.observe(2.5));
}

}  // namespace
}  // namespace damsonspoke
