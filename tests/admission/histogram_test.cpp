// The histogram of durations: means, quantiles by bin, decay, and snapshots.
#include "admission/histogram.h"

#include <gtest/gtest.h>

namespace damsonspoke {
namespace {

TEST(DurationHistogram, IsEmptyAtFirst) {
  const DurationHistogram histogram;
  EXPECT_TRUE(histogram.empty());
  EXPECT_EQ(histogram.mean(), 0);
}

TEST(DurationHistogram, QuantilesAreUpperEndsOfBins) {
  DurationHistogram histogram;
  for (int i = 0; i < 9; ++i) histogram.add(0.004);
  histogram.add(0.3);
  EXPECT_EQ(histogram.quantile(0.5), 0.005);
  EXPECT_EQ(histogram.quantile(0.95), 0.32);
  EXPECT_NEAR(histogram.mean(), (9 * 0.004 + 0.3) / 10, 1e-12);
}

TEST(DurationHistogram, HalvesItsCountsWhenFull) {
  DurationHistogram histogram;
  for (int i = 0; i < 64; ++i) histogram.add(0.01);
  EXPECT_EQ(histogram.snapshot().bins[2], 32);
  EXPECT_NEAR(histogram.mean(), 0.01, 1e-12);
}

TEST(DurationHistogram, RestoresItsSnapshot) {
  DurationHistogram histogram;
  histogram.add(0.1);
  histogram.add(3);
  DurationHistogram restored;
  restored.restore(histogram.snapshot());
  EXPECT_EQ(restored.mean(), histogram.mean());
  EXPECT_EQ(restored.quantile(0.95), histogram.quantile(0.95));
}

TEST(DurationHistogram, IgnoresASnapshotWithOtherBins) {
  DurationHistogram histogram;
  histogram.restore({{1, 2, 3}, 5});
  EXPECT_TRUE(histogram.empty());
}

}  // namespace
}  // namespace damsonspoke
