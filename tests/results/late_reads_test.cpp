// Requests that are read later than they arrived: whether a request is a duplicate goes by its arrival.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <pcg_random.hpp>
#include <vector>

#include "results/idempotency_cache.h"

namespace damsonspoke::results {
namespace {

constexpr RequestId kOriginal = 1;
constexpr RequestId kOther = 3;
constexpr Fingerprint kFingerprint = 11;
constexpr double kWindowEnd = 20;
constexpr double kLateness = 5;
constexpr std::size_t kMaxBytes = 100000;

const Key kKey{5, 6};
const Key kOtherKey{7, 8};

CacheLimits limits(std::size_t max_entries) { return {kMaxBytes, max_entries, false, 0, kLateness}; }

void run(IdempotencyCache& cache, double now, const Reservation& reservation) {
  ASSERT_TRUE(cache.reserve(now, reservation));
  cache.mark_running(reservation.id);
  cache.complete(now + 1, reservation.id, "result");
}

IdempotencyCache cache_with_result(std::size_t max_entries = 10) {
  IdempotencyCache cache(limits(max_entries));
  run(cache, 0, {kOriginal, kKey, kFingerprint, EntryKind::kKeyed, 0, kWindowEnd});
  return cache;
}

LookupOutcome look_up(IdempotencyCache& cache, double now, double arrived_at, const Key& key = kKey) {
  return cache.look_up(now, arrived_at, key, kFingerprint, EntryKind::kKeyed).outcome;
}

// Guards against a second run of a key whose repeat arrives inside the window and is read after its end.
TEST(LateReads, ARepeatThatArrivedInsideTheWindowIsADuplicate) {
  IdempotencyCache cache = cache_with_result();
  EXPECT_TRUE(cache.expire(kWindowEnd + 1, 10).empty());
  EXPECT_EQ(look_up(cache, kWindowEnd + 1, kWindowEnd - 0.4), LookupOutcome::kDuplicate);
  EXPECT_EQ(look_up(cache, kWindowEnd + 1, kWindowEnd), LookupOutcome::kMiss);
  EXPECT_TRUE(cache.is_consistent());
}

// Guards against a second run of a key whose entry was erased before its repeat is read.
TEST(LateReads, ARepeatThatIsReadAfterTheErasureDoesNotRun) {
  IdempotencyCache cache = cache_with_result();
  EXPECT_EQ(cache.expire(kWindowEnd + kLateness, 10), std::vector<Key>{kKey});
  EXPECT_EQ(look_up(cache, kWindowEnd + 7, kWindowEnd - 0.1), LookupOutcome::kPossiblyForgotten);
  EXPECT_EQ(look_up(cache, kWindowEnd + 7, kWindowEnd), LookupOutcome::kMiss);
}

// Guards against a run or a rejection of a key that an earlier process has run, while its entries are not
// recovered yet. That process has ended, so its windows end in time, too.
TEST(LateReads, AnUnknownKeyMayHaveRunUntilTheRecoveryOrTheLastWindowHasEnded) {
  IdempotencyCache cache(limits(10));
  cache.begin_recovery(kWindowEnd);
  EXPECT_EQ(look_up(cache, 1, 1), LookupOutcome::kNotRecovered);
  EXPECT_TRUE(cache.may_have_run(kWindowEnd - 0.1, kKey));
  EXPECT_FALSE(cache.may_have_run(kWindowEnd, kKey));
  cache.restore(kOriginal, kKey, kFingerprint, true, kWindowEnd);
  cache.finish_recovery();
  EXPECT_EQ(look_up(cache, 1, 1), LookupOutcome::kDuplicate);
  EXPECT_EQ(look_up(cache, 1, 1, kOtherKey), LookupOutcome::kMiss);
  EXPECT_FALSE(cache.may_have_run(1, kOtherKey));
}

// Guards against memory that grows with what is retained: it makes room for new keys, and a late repeat of
// what was evicted does not run.
TEST(LateReads, RetainedEntriesMakeRoomForNewKeys) {
  IdempotencyCache cache = cache_with_result(1);
  EXPECT_EQ(look_up(cache, kWindowEnd - 1, kWindowEnd - 1, kOtherKey), LookupOutcome::kNoCapacity);
  EXPECT_EQ(look_up(cache, kWindowEnd + 1, kWindowEnd + 1, kOtherKey), LookupOutcome::kMiss);
  run(cache, kWindowEnd + 1, {kOther, kOtherKey, kFingerprint, EntryKind::kKeyed, kWindowEnd + 1, 99});
  EXPECT_EQ(cache.entry_count(), 1U);
  EXPECT_EQ(look_up(cache, kWindowEnd + 2, kWindowEnd - 1), LookupOutcome::kPossiblyForgotten);
  EXPECT_EQ(cache.expire(kWindowEnd + 2, 10), std::vector<Key>{kKey});
}

// Guards against the loss of a stored intent: the key's own entry is evicted to make room for its new
// request, and must not be erased from the store after that is written.
TEST(LateReads, AKeyThatIsReservedAgainIsNotErased) {
  constexpr std::size_t active_bytes = IdempotencyCache::kEntryBytes + IdempotencyCache::kMaxResultBytes;
  IdempotencyCache cache({active_bytes + 100, 10, true, 0, kLateness});
  cache.restore(kOriginal, kKey, kFingerprint, true, 1);
  cache.restore(kOther, kOtherKey, kFingerprint, true, 2);
  EXPECT_EQ(look_up(cache, 3, 3), LookupOutcome::kMiss);
  ASSERT_TRUE(cache.reserve(3, {5, kKey, kFingerprint, EntryKind::kKeyed, 3, kWindowEnd}));
  EXPECT_EQ(cache.expire(3, 10), std::vector<Key>{kOtherKey});
}

// Guards against a second run after an operator has dropped the keys whose windows have ended.
TEST(LateReads, ADroppedKeyRunsAgainOnlyIfItsWindowHadNotEnded) {
  IdempotencyCache cache = cache_with_result();
  EXPECT_TRUE(cache.drop(kWindowEnd + 1, kKey));
  EXPECT_EQ(look_up(cache, kWindowEnd + 2, kWindowEnd - 1), LookupOutcome::kPossiblyForgotten);
  IdempotencyCache other = cache_with_result();
  EXPECT_TRUE(other.drop(kWindowEnd - 2, kKey));
  EXPECT_EQ(look_up(other, kWindowEnd - 1, kWindowEnd - 1), LookupOutcome::kMiss);
}

// Guards against a second run where a new request of the key took the entry's place and never ran.
TEST(LateReads, ARequestThatNeverRanLeavesTheRunBeforeItKnown) {
  IdempotencyCache cache = cache_with_result();
  ASSERT_TRUE(cache.reserve(kWindowEnd + 1,
                            {kOther, kKey, kFingerprint, EntryKind::kKeyed, kWindowEnd + 1, 2 * kWindowEnd}));
  cache.release(kOther);
  EXPECT_EQ(look_up(cache, kWindowEnd + 2, kWindowEnd - 1), LookupOutcome::kOutcomeUnknown);
  EXPECT_EQ(look_up(cache, kWindowEnd + 2, kWindowEnd + 1), LookupOutcome::kMiss);
  EXPECT_TRUE(cache.is_consistent());
}

// Guards against a second run after a restart: what an earlier process erased is not in the store.
TEST(LateReads, WhatAnEarlierProcessMayHaveErasedDoesNotRun) {
  IdempotencyCache cache(limits(10));
  cache.raise_watermark(3);
  cache.restore(kOriginal, kKey, kFingerprint, true, 4);
  EXPECT_EQ(look_up(cache, 5, 3.5), LookupOutcome::kDuplicate);
  EXPECT_EQ(look_up(cache, 5, 2.9, kOtherKey), LookupOutcome::kPossiblyForgotten);
  EXPECT_EQ(look_up(cache, 5, 3, kOtherKey), LookupOutcome::kMiss);
}

// Of the random histories.
constexpr std::uint64_t kSeeds = 300;
constexpr int kRequests = 400;
constexpr unsigned kKeys = 6;
constexpr double kWindow = 4;

// Histories with few keys, small limits and reads up to twice the allowed lateness after the arrival: a
// request never runs that arrived inside the window of a run of its key.
TEST(LateReads, NoHistoryRunsAKeyTwiceInsideItsWindow) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    pcg64 random(seed);
    const auto uniform = [&random](double most) { return most * static_cast<double>(random(1000)) / 1000; };
    IdempotencyCache cache(limits(3));
    std::vector<double> window_end(kKeys, -1);
    double now = 100;
    for (RequestId id = 1; id <= kRequests; ++id) {
      now += uniform(1);
      cache.expire(now, 2);
      const auto number = static_cast<unsigned>(random(kKeys));
      const Key key{number, number};
      const double arrived_at = now - uniform(2) * uniform(kLateness);
      if (look_up(cache, now, arrived_at, key) != LookupOutcome::kMiss) continue;
      EXPECT_GE(arrived_at, window_end[number]) << "seed " << seed << ", request " << id;
      const double expires_at = arrived_at + kWindow;
      ASSERT_TRUE(cache.reserve(now, {id, key, kFingerprint, EntryKind::kKeyed, arrived_at, expires_at}));
      if (random(3) == 0) {
        cache.release(id);
        continue;
      }
      cache.mark_running(id);
      cache.complete(now, id, "result");
      window_end[number] = std::max(window_end[number], expires_at);
      EXPECT_TRUE(cache.is_consistent());
    }
  }
}

}  // namespace
}  // namespace damsonspoke::results
