// A server's share of a shared dependency holds in every window, also while calls hang.
#include "admission/call_budget.h"

#include <gtest/gtest.h>

namespace damsonspoke {
namespace {

AdmissionOptions shared_options(double share) {
  AdmissionOptions options;
  options.dependency = DependencyKind::kShared;
  options.dependency_share = share;
  options.dependency_share_window = 5;
  options.abandoned_call_time = 0.2;
  return options;
}

TEST(CallBudget, GrantsEverythingWhereTheDependencyIsNotShared) {
  CallBudget budget(AdmissionOptions{});
  ASSERT_TRUE(budget.reserve(10).has_value());
  EXPECT_EQ(budget.reserve(10)->timeout, 10);
  EXPECT_EQ(budget.reserve(10)->reserved, 0);
  EXPECT_TRUE(budget.allows_calls());
}

TEST(CallBudget, AServerWithoutAShareMakesNoCalls) {
  EXPECT_FALSE(CallBudget(shared_options(0)).allows_calls());
}

TEST(CallBudget, ReservesUntilItIsEmptyAndRefills) {
  CallBudget budget(shared_options(1));  // 2 call seconds at once
  EXPECT_TRUE(budget.reserve(0.8).has_value());
  EXPECT_TRUE(budget.reserve(0.8).has_value());
  EXPECT_FALSE(budget.reserve(0.8).has_value());
  const double wait = budget.seconds_until_available(0.8);
  EXPECT_GT(wait, 0);
  budget.refill(wait + 0.001);
  EXPECT_TRUE(budget.reserve(0.8).has_value());
}

TEST(CallBudget, ShortensATimeoutThatItCouldNeverHold) {
  CallBudget budget(shared_options(1));
  const auto reservation = budget.reserve(100);
  ASSERT_TRUE(reservation.has_value());
  EXPECT_NEAR(reservation->timeout, 1.8, 1e-9);
  EXPECT_NEAR(reservation->reserved, 2, 1e-9);
}

TEST(CallBudget, AnAbandonedCallStaysCharged) {
  CallBudget budget(shared_options(1));
  const auto reservation = budget.reserve(0.8);
  ASSERT_TRUE(reservation.has_value());
  budget.release(reservation->reserved, 0.8, true);  // no part of the reservation is left to return
  EXPECT_TRUE(budget.reserve(0.8).has_value());
  EXPECT_FALSE(budget.reserve(0.8).has_value());
}

}  // namespace
}  // namespace damsonspoke
