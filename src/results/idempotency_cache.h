// The idempotency cache: what is remembered of requests whose duplicates must not run again, or need not. It
// holds the state of each entry, the duplicates that wait for it, and the order of eviction.
//
// Pure policy without I/O: the time is passed in, and what is to be written, sent or answered is returned.
// Times are seconds on one monotonic clock; sizes are bytes.
//
// After RIFL (Lee et al., SOSP 2015): a completion record lives as long as its client may retry and is never
// evicted. After the IETF draft "The Idempotency-Key HTTP Header Field": a key that is reused with another
// body is refused.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/request.h"
#include "results/key.h"

namespace damsonspoke::results {

enum class EntryKind : std::uint8_t {
  kKeyed,       // must be remembered until its window ends
  kSharedRead,  // may be remembered while its answer is fresh
};

enum class EntryState : std::uint8_t {
  kReserved,        // admitted, nothing has run
  kRunning,         // may have run
  kCompleted,       // with a result
  kOutcomeUnknown,  // has run, at least in part, and its result is not known
};

struct CacheLimits {
  std::size_t max_bytes = 0;    // of entries, results in memory, and results that active entries may come to
  std::size_t max_entries = 0;  // at least 1
  bool has_store = false;       // results of keyed requests are in a store too and may be evicted
  double shared_ttl_seconds = 0;  // how long the answer of a read may serve others; 0: not at all
};

enum class LookupOutcome : std::uint8_t {
  kMiss,                 // unknown: admission decides
  kDuplicate,            // of a request that is known: admission decides whether it joins
  kOutcomeUnknown,       // its original has run with no known result: to be failed, never run
  kFingerprintMismatch,  // its key belongs to a request with another body
  kNoCapacity,           // unknown, and nothing more can be remembered: to be rejected
};

struct Lookup {
  LookupOutcome outcome = LookupOutcome::kMiss;
  RequestId original_id = 0;  // of kDuplicate
  double retry_after = 0;     // seconds until the first entry expires, of kNoCapacity; 0: not known
};

enum class JoinOutcome : std::uint8_t {
  kCoalesced,       // waits for its original
  kInMemory,        // see result_in_memory()
  kInStore,         // the result is to be read from the store
  kOutcomeUnknown,  // its original has run with no known result
  kNeverRan,        // its original is over and never ran
};

class IdempotencyCache {
 public:
  // Memory of an entry without its result: its nodes in the maps, as the benchmark measures them.
  static constexpr std::size_t kEntryBytes = 400;
  // The longest result that is remembered, which is the longest that the callers' protocol carries.
  static constexpr std::size_t kMaxResultBytes = 4096;

  struct Entry {
    Key key;
    Fingerprint fingerprint = 0;
    RequestId id = 0;
    EntryKind kind = EntryKind::kKeyed;
    EntryState state = EntryState::kReserved;
    double expires_at = 0;
    std::optional<std::string> result;  // of kCompleted; without it, in the store
    std::uint64_t recency = 0;          // order in which results came to memory
    std::vector<RequestId> waiters;     // coalesced duplicates, in order of arrival

    [[nodiscard]] bool is_active() const {
      return state == EntryState::kReserved || state == EntryState::kRunning;
    }
  };

  explicit IdempotencyCache(CacheLimits limits) : limits_(limits) {}

  // Looks up an arriving request. May evict results to make room for it; remembers nothing of it.
  Lookup look_up(double now, const Key& key, Fingerprint fingerprint, EntryKind kind);
  // Remembers an admitted request until `expires_at`. False where it is a duplicate or there is no capacity.
  [[nodiscard]] bool reserve(double now, RequestId id, const Key& key, Fingerprint fingerprint,
                             EntryKind kind, double expires_at);
  // To be called before the request starts: from now on it may have run.
  void mark_running(RequestId id);
  // A duplicate is to be answered as its original is.
  JoinOutcome join(RequestId duplicate, const Key& key);
  // A coalesced duplicate was answered otherwise, or its caller has disconnected.
  void remove_waiter(RequestId duplicate);

  // The ends of an active entry. Each returns the duplicates that waited for it, in order of arrival.

  // It is certain that nothing ran: removes the entry.
  std::vector<RequestId> release(RequestId id);
  // It completed with this result, which is durable by now where there is a store.
  std::vector<RequestId> complete(double now, RequestId id, std::string result);
  // It has run, at least in part, and its result is not known.
  std::vector<RequestId> mark_outcome_unknown(double now, RequestId id);

  // It may have run, and its end is awaited no longer: as mark_outcome_unknown(), but an end may come all the
  // same.
  std::vector<RequestId> give_up(double now, RequestId id);
  // The key of an entry that was given up; null where there is none in its window.
  const Key* find_given_up(RequestId id) const;
  // The end of an entry that was given up came: its duplicates get the result from now on.
  void complete_given_up(RequestId id, std::string result);

  // Adds an entry from the store, whose result is in the store if it is completed. The limits do not apply:
  // it must be remembered.
  void restore(RequestId id, const Key& key, Fingerprint fingerprint, bool is_completed, double expires_at);
  // Removes an entry at an operator's request. False where there is none or it is active.
  bool drop(const Key& key);

  // Removes up to `max_entries` expired entries and returns the keys of those that are to be erased from the
  // store.
  std::vector<Key> expire(double now, std::size_t max_entries);
  // Lower limits evict at once what may be evicted; the rest goes as its windows end. `has_store` stays as it
  // was at the start.
  void set_limits(CacheLimits limits);

  const Entry* find(const Key& key) const;
  const Entry* find_active(RequestId id) const;
  // The result of a completed entry; null where it is not in memory.
  const std::string* result_in_memory(const Key& key) const;

  std::size_t entry_count() const { return entries_.size(); }
  std::size_t used_bytes() const { return used_bytes_; }
  std::size_t waiter_count() const { return waiter_keys_.size(); }
  std::uint64_t evicted_count() const { return evicted_count_; }
  // Whether sums and indices agree with the entries; for tests.
  [[nodiscard]] bool is_consistent() const;

 private:
  static std::size_t charge_of(const Entry& entry);

  Entry* active_entry(RequestId id);
  void add(Entry entry);
  void erase(Key key);
  void evict_result(Entry& entry);
  bool evict_one();
  // Evicts until so much more fits the limits; false where it does not.
  bool evict_until_fits(std::size_t bytes, std::size_t entries);
  // The same for an active entry with this key, which may replace an expired one.
  bool evict_until_key_fits(const Key& key);
  void schedule_expiry(double now, Entry& entry);
  std::vector<RequestId> take_waiters(Entry& entry);
  void set_result(Entry& entry, std::string result);
  [[nodiscard]] bool has_consistent_indices(const Entry& entry) const;

  CacheLimits limits_;
  std::unordered_map<Key, Entry, KeyHash> entries_;
  std::unordered_map<RequestId, Key> active_keys_;     // of active entries
  std::unordered_map<RequestId, Key> given_up_keys_;   // of entries that were given up, until their end comes
  std::unordered_map<RequestId, Key> waiter_keys_;     // of coalesced duplicates
  std::set<std::pair<double, Key>> expiries_;          // of entries that are not active
  std::set<std::pair<std::uint64_t, Key>> evictable_;  // results in memory that may be evicted, oldest first
  std::size_t used_bytes_ = 0;
  std::uint64_t last_recency_ = 0;
  std::uint64_t evicted_count_ = 0;
};

}  // namespace damsonspoke::results
