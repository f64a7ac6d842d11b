// The limit of concurrent dependency calls falls by a factor and rises by steps up to its ceiling.
#include "admission/call_concurrency_limit.h"

#include <gtest/gtest.h>

namespace damsonspoke {
namespace {

using Change = CallConcurrencyLimit::Change;

TEST(CallConcurrencyLimit, FallsAtMostOncePerInterval) {
  CallConcurrencyLimit limit(8);
  EXPECT_EQ(limit.lower(1.0), Change::kLowered);
  const double lowered = limit.value();
  EXPECT_LT(lowered, 8);
  EXPECT_EQ(limit.lower(1.4), Change::kNone);
  EXPECT_EQ(limit.value(), lowered);
  EXPECT_EQ(limit.lower(1.5), Change::kNone);
  EXPECT_LT(limit.value(), lowered);
}

TEST(CallConcurrencyLimit, NeverFallsBelowOne) {
  CallConcurrencyLimit limit(2);
  for (int i = 1; i < 20; ++i) limit.lower(i);
  EXPECT_EQ(limit.value(), 1);
}

TEST(CallConcurrencyLimit, RisesBackToItsCeiling) {
  CallConcurrencyLimit limit(4);
  limit.lower(1);
  Change change = Change::kNone;
  for (int i = 0; i < 100 && change == Change::kNone; ++i) change = limit.raise();
  EXPECT_EQ(change, Change::kRestored);
  EXPECT_EQ(limit.value(), 4);
  EXPECT_FALSE(limit.lowered());
  EXPECT_EQ(limit.raise(), Change::kNone);
}

}  // namespace
}  // namespace damsonspoke
