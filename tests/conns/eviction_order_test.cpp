#include "conns/eviction_order.h"

#include <gtest/gtest.h>

namespace damsonspoke::conns {
namespace {

constexpr double kNow = 10;

EvictionOrder order_of_three_classes() {
  EvictionOrder order;
  order.insert({EvictionClass::kKnownClient, kNow - 3, 1});
  order.insert({EvictionClass::kUnknownClient, kNow - 2, 2});
  order.insert({EvictionClass::kNoRequest, kNow - 1, 3});
  return order;
}

bool any_slot(ConnectionId /*id*/) { return true; }

TEST(EvictionOrder, ClassIsComparedBeforeProtection) {
  EXPECT_EQ(order_of_three_classes().find(false, kNow, any_slot), ConnectionId{3});
}

TEST(EvictionOrder, UnknownClientNeverReplacesKnownClient) {
  EvictionOrder order;
  order.insert({EvictionClass::kKnownClient, kNow - 3, 1});
  EXPECT_EQ(order.find(true, kNow, any_slot), std::nullopt);
  EXPECT_EQ(order.find(false, kNow, any_slot), ConnectionId{1});
}

TEST(EvictionOrder, ProtectionHoldsWithinAClassOnly) {
  EvictionOrder order;
  order.insert({EvictionClass::kUnknownClient, kNow + 1, 2});
  EXPECT_EQ(order.find(true, kNow, any_slot), std::nullopt);
  EXPECT_EQ(order.find(false, kNow, any_slot), ConnectionId{2});
}

TEST(EvictionOrder, SkipsConnectionsWhoseSlotCannotBeUsed) {
  const auto only_second = [](ConnectionId id) { return id == 2; };
  EXPECT_EQ(order_of_three_classes().find(false, kNow, only_second), ConnectionId{2});
}

TEST(EvictionOrder, UnprotectedIsLimitedAndSkipsProtectedConnections) {
  EvictionOrder order = order_of_three_classes();
  order.insert({EvictionClass::kNoRequest, kNow + 1, 4});
  EXPECT_EQ(order.unprotected(2, kNow), (std::vector<ConnectionId>{3, 2}));
  EXPECT_EQ(order.unprotected(9, kNow), (std::vector<ConnectionId>{3, 2, 1}));
}

}  // namespace
}  // namespace damsonspoke::conns
