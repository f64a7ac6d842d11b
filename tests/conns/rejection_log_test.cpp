#include "conns/rejection_log.h"

#include <gtest/gtest.h>

namespace damsonspoke::conns {
namespace {

TEST(RejectionLog, CountsEachCauseAndStoresTheLatest) {
  RejectionLog log;
  for (int i = 0; i < 40; ++i) log.record(RejectCause::kClientRate, {}, i);
  log.record(RejectCause::kTableFull, {}, 40);
  EXPECT_EQ(log.count(RejectCause::kClientRate), 40u);
  EXPECT_EQ(log.count(RejectCause::kTableFull), 1u);
  EXPECT_EQ(log.count(RejectCause::kGroupCap), 0u);
  ASSERT_EQ(log.recent().size(), 32u);
  EXPECT_EQ(log.recent().front().at, 9);
  EXPECT_EQ(log.recent().back().cause, RejectCause::kTableFull);
}

TEST(RejectionLog, EachCauseHasItsText) {
  for (std::size_t i = 0; i < kRejectCauseCount; ++i) EXPECT_STRNE(text_of(static_cast<RejectCause>(i)), "");
}

}  // namespace
}  // namespace damsonspoke::conns
