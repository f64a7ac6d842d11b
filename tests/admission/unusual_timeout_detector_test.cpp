// Unmarked retries are detected by timeouts that are unusual on their route.
#include "admission/unusual_timeout_detector.h"

#include <gtest/gtest.h>

namespace damsonspoke {
namespace {

TEST(UnusualTimeoutDetector, NothingIsUnusualAtFirst) {
  UnusualTimeoutDetector detector;
  for (int i = 0; i < 8; ++i) EXPECT_FALSE(detector.observe(0.1 * (i + 1))) << i;
}

TEST(UnusualTimeoutDetector, RemainderOfATimeoutIsUnusual) {
  UnusualTimeoutDetector detector;
  for (int i = 0; i < 50; ++i) detector.observe(1);
  EXPECT_FALSE(detector.observe(1));
  EXPECT_FALSE(detector.observe(1.01));  // within the tolerance
  EXPECT_TRUE(detector.observe(0.6));
}

TEST(UnusualTimeoutDetector, SeveralTimeoutsMayBeUsual) {
  UnusualTimeoutDetector detector;
  for (int i = 0; i < 100; ++i) detector.observe(i % 2 == 0 ? 1 : 2.5);
  EXPECT_FALSE(detector.observe(1));
  EXPECT_FALSE(detector.observe(2.5));
}

}  // namespace
}  // namespace damsonspoke
