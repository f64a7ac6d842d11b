// Entries whose runs were given up: their keys start no further run, and a late result is remembered.
#include <gtest/gtest.h>

#include "results/idempotency_cache.h"

namespace damsonspoke::results {
namespace {

constexpr RequestId kOriginal = 1;
constexpr RequestId kDuplicate = 2;
constexpr Fingerprint kFingerprint = 11;
constexpr double kWindowEnd = 20;

const Key kKey{5, 6};

IdempotencyCache cache_with_run(bool has_store) {
  IdempotencyCache cache({100000, 10, has_store, 0});
  EXPECT_TRUE(cache.reserve(0, {kOriginal, kKey, kFingerprint, EntryKind::kKeyed, 0, kWindowEnd}));
  cache.mark_running(kOriginal);
  return cache;
}

// Guards against a second run of a key whose first run may have been lost together with the link to the
// runtime.
TEST(GivenUpEntries, TheKeyStartsNoRunUntilItsWindowEnds) {
  IdempotencyCache cache = cache_with_run(false);
  EXPECT_EQ(cache.join(kDuplicate, kKey), JoinOutcome::kCoalesced);
  EXPECT_EQ(cache.give_up(3, kOriginal), std::vector<RequestId>{kDuplicate});
  EXPECT_EQ(cache.look_up(19, 19, kKey, kFingerprint, EntryKind::kKeyed).outcome,
            LookupOutcome::kOutcomeUnknown);
  EXPECT_TRUE(cache.is_consistent());
}

TEST(GivenUpEntries, ALateResultIsGivenToDuplicates) {
  for (const bool has_store : {false, true}) {
    IdempotencyCache cache = cache_with_run(has_store);
    cache.give_up(3, kOriginal);
    ASSERT_NE(cache.find_given_up(kOriginal), nullptr);
    EXPECT_EQ(*cache.find_given_up(kOriginal), kKey);
    cache.complete_given_up(kOriginal, "result");
    EXPECT_EQ(cache.look_up(4, 4, kKey, kFingerprint, EntryKind::kKeyed).outcome, LookupOutcome::kDuplicate);
    ASSERT_NE(cache.result_in_memory(kKey), nullptr);
    EXPECT_EQ(*cache.result_in_memory(kKey), "result");
    EXPECT_EQ(cache.find_given_up(kOriginal), nullptr);
    EXPECT_TRUE(cache.is_consistent());
  }
}

TEST(GivenUpEntries, AResultAfterTheWindowIsIgnored) {
  IdempotencyCache cache = cache_with_run(false);
  cache.give_up(3, kOriginal);
  EXPECT_EQ(cache.expire(kWindowEnd, 10), std::vector<Key>{kKey});
  EXPECT_EQ(cache.find_given_up(kOriginal), nullptr);
  cache.complete_given_up(kOriginal, "result");
  EXPECT_EQ(cache.entry_count(), 0U);
  EXPECT_TRUE(cache.is_consistent());
}

TEST(GivenUpEntries, AResultWithoutCapacityStaysUnknown) {
  IdempotencyCache cache = cache_with_run(false);
  cache.give_up(3, kOriginal);
  cache.set_limits({IdempotencyCache::kEntryBytes, 10, false, 0});
  cache.complete_given_up(kOriginal, "result");
  EXPECT_EQ(cache.look_up(4, 4, kKey, kFingerprint, EntryKind::kKeyed).outcome,
            LookupOutcome::kOutcomeUnknown);
  EXPECT_TRUE(cache.is_consistent());
}

}  // namespace
}  // namespace damsonspoke::results
