#include "conns/read_scheduler.h"

#include <gtest/gtest.h>

#include <map>
#include <vector>

namespace damsonspoke::conns {
namespace {

constexpr std::uint64_t kBusy = 100;  // connections that always have a message
constexpr std::uint64_t kSound = 1000;

std::vector<std::uint64_t> take_all(ReadScheduler& scheduler) {
  std::vector<std::uint64_t> order;
  while (const auto tag = scheduler.take_next()) order.push_back(*tag);
  return order;
}

// Guards against a connection that waits behind all messages of connections that send many: it waits for
// about one message of each.
TEST(ReadScheduler, AMessageWaitsForAboutOneOfEachOtherConnection) {
  ReadScheduler scheduler;
  for (std::uint64_t tag = 1; tag <= kBusy; ++tag) scheduler.add(tag, 1, 0);
  int taken = 0;
  const auto take_and_repeat = [&] {
    const auto tag = scheduler.take_next();
    ++taken;
    if (tag != kSound) scheduler.add(*tag, 1, 0);
    return *tag;
  };
  for (std::uint64_t i = 0; i < 10 * kBusy; ++i) take_and_repeat();
  scheduler.add(kSound, 1, 0);
  taken = 0;
  while (take_and_repeat() != kSound) {
  }
  EXPECT_LE(taken, static_cast<int>(kBusy) + 1);
}

TEST(ReadScheduler, MessagesOfGreaterWeightGoFirst) {
  ReadScheduler scheduler;
  scheduler.add(1, 0.25, 0);
  scheduler.add(2, 1, 0);
  scheduler.add(3, 0.5, 0);
  scheduler.add(4, 1, 0);
  EXPECT_EQ(take_all(scheduler), (std::vector<std::uint64_t>{2, 4, 3, 1}));
}

TEST(ReadScheduler, SharesAreProportionalToTheWeightsAndNoneStarves) {
  ReadScheduler scheduler;
  const std::map<std::uint64_t, double> weights{{1, 1}, {2, 0.5}, {3, 0}};
  for (const auto& [tag, weight] : weights) scheduler.add(tag, weight, 0);
  std::map<std::uint64_t, int> taken;
  for (int i = 0; i < 1300; ++i) {
    const auto tag = scheduler.take_next();
    ++taken[*tag];
    scheduler.add(*tag, weights.at(*tag), 0);
  }
  EXPECT_NEAR(taken[1], 800, 2);
  EXPECT_NEAR(taken[2], 400, 2);
  EXPECT_NEAR(taken[3], 100, 2);
}

TEST(ReadScheduler, TheOldestIsTheOneThatHasWaitedForLongest) {
  ReadScheduler scheduler;
  EXPECT_FALSE(scheduler.oldest_since());
  EXPECT_FALSE(scheduler.take_oldest());
  scheduler.add(1, 0.1, 5);
  scheduler.add(2, 1, 6);
  scheduler.add(1, 1, 7);  // waits already
  EXPECT_EQ(scheduler.oldest_since(), 5);
  EXPECT_EQ(scheduler.take_oldest(), 1U);
  EXPECT_EQ(scheduler.take_next(), 2U);
  EXPECT_TRUE(scheduler.empty());
}

TEST(ReadScheduler, AConnectionThatHasClosedIsForgotten) {
  ReadScheduler scheduler;
  scheduler.add(1, 1, 0);
  scheduler.add(2, 1, 0);
  scheduler.remove(1);
  scheduler.remove(3);
  EXPECT_EQ(take_all(scheduler), std::vector<std::uint64_t>{2});
  EXPECT_FALSE(scheduler.oldest_since());
}

}  // namespace
}  // namespace damsonspoke::conns
