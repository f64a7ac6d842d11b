#include "conns/connection_quota.h"

#include <gtest/gtest.h>

namespace damsonspoke::conns {
namespace {

TEST(ConnectionQuota, GuaranteedMinimumIsKeptForItsListener) {
  ConnectionQuota quota(8, {0.5, 0.25});
  while (quota.has_capacity(0)) quota.on_opened(0);
  EXPECT_EQ(quota.open_count(0), 6u);
  EXPECT_TRUE(quota.has_capacity(1));
}

TEST(ConnectionQuota, ResizeKeepsSharesAndOpenConnections) {
  ConnectionQuota quota(8, {0.5, 0.5});
  for (int i = 0; i < 4; ++i) quota.on_opened(0);
  quota.resize(4);
  EXPECT_EQ(quota.guaranteed(0), 2u);
  EXPECT_EQ(quota.open_count(0), 4u);
  EXPECT_FALSE(quota.has_capacity(0));
}

TEST(ConnectionQuota, ReadingIsLimitedOnlyWhileOtherListenersRead) {
  ConnectionQuota quota(8, {0.5, 0.5}, {0.01, 4});
  for (int i = 0; i < 100; ++i) EXPECT_TRUE(quota.try_read(0, 1.0));
  EXPECT_TRUE(quota.try_read(1, 1.0));
  EXPECT_FALSE(quota.try_read(0, 1.005));
  EXPECT_DOUBLE_EQ(quota.next_period_at(), 1.01);
  EXPECT_TRUE(quota.try_read(0, 1.01));
}

}  // namespace
}  // namespace damsonspoke::conns
