// The byte pool's invariant: the used bytes are the sum of the charges, and the capacity for requests is the
// memory without its reserves.
#include "admission/byte_pool.h"

#include <gtest/gtest.h>

namespace damsonspoke {
namespace {

AdmissionOptions options_with(double memory_kb, double running_size_factor, double key_kb) {
  AdmissionOptions options;
  options.memory_kb = memory_kb;
  options.running_size_factor = running_size_factor;
  options.idempotency_key_kb = key_kb;
  return options;
}

TEST(BytePool, SumsChargesAndReleases) {
  BytePool pool(options_with(1000, 1, 0));
  double first = 0;
  double second = 0;
  pool.charge(first, 100);
  pool.charge(second, 50);
  EXPECT_EQ(pool.used_kb(), 150);
  pool.charge(first, 400);  // the request runs now and needs more memory
  EXPECT_EQ(pool.used_kb(), 450);
  EXPECT_EQ(first, 400);
  pool.charge(first, 0);
  pool.charge(second, 0);
  EXPECT_EQ(pool.used_kb(), 0);
}

TEST(BytePool, KeepsCapacityForTheLargestRunningRequest) {
  BytePool pool(options_with(1000, 4, 0));
  EXPECT_EQ(pool.request_capacity_kb(), 920);
  pool.observe_size(100);
  EXPECT_EQ(pool.request_capacity_kb(), 520);
  pool.observe_size(50);
  EXPECT_EQ(pool.request_capacity_kb(), 520);
}

TEST(BytePool, IgnoresSizesThatCouldNeverRun) {
  BytePool pool(options_with(1000, 4, 0));
  EXPECT_FALSE(pool.fits(231));
  EXPECT_TRUE(pool.fits(230));
  pool.observe_size(231);
  EXPECT_EQ(pool.request_capacity_kb(), 920);
}

TEST(BytePool, IsExhaustedAtItsCapacity) {
  BytePool pool(options_with(1000, 1, 0));
  double charge = 0;
  pool.charge(charge, 919);
  EXPECT_FALSE(pool.exhausted());
  EXPECT_TRUE(pool.has_capacity(charge, 920));
  EXPECT_FALSE(pool.has_capacity(charge, 921));
  pool.charge(charge, 920);
  EXPECT_TRUE(pool.exhausted());
}

TEST(BytePool, KeysTakeAShareOfTheMemoryAtMost) {
  BytePool pool(options_with(100, 1, 10));
  int keys = 0;
  while (pool.has_key_capacity()) {
    pool.charge_key();
    ++keys;
  }
  EXPECT_EQ(keys, 4);
  EXPECT_EQ(pool.request_capacity_kb(), 52);
  pool.release_key();
  EXPECT_TRUE(pool.has_key_capacity());
  EXPECT_EQ(pool.request_capacity_kb(), 62);
}

}  // namespace
}  // namespace damsonspoke
