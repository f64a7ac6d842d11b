// What is remembered of requests whose repeats must not run again, or need not: the states that an entry goes
// through, who waits for it, and which entry makes room. Pure policy: the clock is handed in, and what is to
// be written, sent or answered is returned. Seconds on one clock that never steps back; bytes.
//
// After RIFL (SOSP 2015): a completion record lives as long as its client may try again, and is never given
// up for room; and the Idempotency-Key draft of the IETF: a key with another body is refused.
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

enum class EntryKind {
  kKeyed,       // must be remembered until its window ends
  kSharedRead,  // a read that is worth remembering while its answer is fresh
};

enum class EntryState {
  kReserved,        // admitted, nothing has run
  kRunning,         // may have run
  kCompleted,       // with a result
  kOutcomeUnknown,  // has run, perhaps in part; what it came to is not known
};

struct CacheLimits {
  std::size_t max_bytes = 0;    // entries, results in memory, and room for the results of what has not ended
  std::size_t max_entries = 0;  // at least 1
  bool has_store = false;       // results of keyed requests are in a store too, and need not stay in memory
  double shared_ttl_seconds = 0;  // s; how long a read's answer may serve others
};

enum class LookupOutcome {
  kMiss,                 // nothing like it is remembered: the module decides
  kDuplicate,            // the module decides whether it joins
  kOutcomeUnknown,       // its original has run with no known result: failed, never run
  kFingerprintMismatch,  // its key belongs to a request that said something else
  kNoCapacity,           // nothing like it is remembered and nothing more can be: rejected, never ran
};
struct Lookup {
  LookupOutcome outcome = LookupOutcome::kMiss;
  RequestId original_id = 0;  // of kRepeat
  double retry_after = 0;     // s, of kNoRoom: when the first entry ends its window; 0: nobody knows
};

enum class JoinOutcome {
  kCoalesced,       // until its original ends; see complete()
  kInMemory,        // the result is in memory: result()
  kInStore,         // the result is in the store
  kOutcomeUnknown,  // its original has run with no known result
  kNeverRan,        // its original has gone without a run
};

class IdempotencyCache {
 public:
  // Bytes of an entry without its result: its nodes in the map and its indices, as measured by the benchmark.
  static constexpr std::size_t kEntryBytes = 400;
  // Bytes of the longest result that is remembered, as the callers' protocol bounds it.
  static constexpr std::size_t kMaxResultBytes = 4096;

  explicit IdempotencyCache(CacheLimits limits) : limits_(limits) {}

  // A request comes whose repeats could be known. Keeps nothing.
  Lookup look_up(double now, const Key& key, Fingerprint fingerprint, EntryKind kind);
  // The module keeps it, until its window ends. False where there is no room: it is not remembered.
  bool reserve(double now, RequestId id, const Key& key, Fingerprint fingerprint, EntryKind kind,
               double until);
  // It is about to run: from now on it may have.
  void mark_running(RequestId id);
  // A repeat is to be answered as its original is.
  JoinOutcome join(RequestId repeat, const Key& key);
  // A repeat is answered otherwise, or its caller has gone.
  void remove_waiter(RequestId repeat);

  // What became of an entry: each returns the repeats that waited for it, in the order in which they came.
  // It is proven that nothing ran: the entry goes.
  std::vector<RequestId> release(RequestId id);
  // It ended with this result. A keyed one's is durable by now.
  std::vector<RequestId> complete(double now, RequestId id, std::string result);
  // It has run, at least in part, and its result is not known.
  std::vector<RequestId> mark_outcome_unknown(double now, RequestId id);

  // What an earlier life remembered; taken whatever the bounds are, since it must be. Its result is in the
  // store. `until` is on this life's clock.
  void restore(RequestId id, const Key& key, Fingerprint fingerprint, bool ended, double until);
  // An operator's wish. False where it is not there, or has not ended.
  bool drop(const Key& key);

  // Entries whose window is over go, at most so many at a time; the keys of the keyed ones are returned, for
  // the store to let go of.
  std::vector<Key> expire(double now, std::size_t most);
  // Smaller bounds give up at once what need not be remembered; the rest goes as its windows end.
  void set_limits(CacheLimits limits);

  struct Entry {
    Key key;
    Fingerprint fingerprint = 0;
    RequestId id = 0;
    EntryKind kind = EntryKind::kKeyed;
    EntryState state = EntryState::kReserved;
    double expires_at = 0;
    std::optional<std::string> result;  // of kEnded; without it, in the store
    std::uint64_t recency = 0;          // order in which results came to memory
    std::vector<RequestId> waiters;
  };
  const Entry* find(const Key& key) const;
  const Entry* find_active(RequestId id) const;  // that has not ended
  // Result of an ended entry, where it is in memory.
  const std::string* result_in_memory(const Key& key) const;

  std::size_t entry_count() const { return entries_.size(); }
  std::size_t used_bytes() const { return used_bytes_; }
  std::size_t waiter_count() const { return waiter_keys_.size(); }
  std::uint64_t evicted_count() const { return evicted_count_; }
  // The sums that must hold at any time; for tests.
  bool is_consistent() const;

 private:
  using Entries = std::unordered_map<Key, Entry, KeyHash>;
  static std::size_t size_of(const Entry& entry);
  bool evict_until_fits(std::size_t bytes, std::size_t entries);
  bool reserve_capacity_for(const Key& key);
  bool evict_one();
  void add(Entry entry);
  void erase(const Key& key);
  void evict_result(Entry& entry);
  void schedule_expiry(double now, Entry& entry);
  std::vector<RequestId> take_waiters(Entry& entry);
  Entry* find_active_mutable(RequestId id);

  CacheLimits limits_;
  Entries entries_;
  std::unordered_map<RequestId, Key> active_keys_;     // what has not ended, by its request
  std::unordered_map<RequestId, Key> waiter_keys_;     // of the repeats that wait
  std::set<std::pair<double, Key>> expiries_;          // of windows, of what has ended
  std::set<std::pair<std::uint64_t, Key>> evictable_;  // what need not be in memory, oldest first
  std::size_t used_bytes_ = 0;
  std::uint64_t last_recency_ = 0, evicted_count_ = 0;
};

}  // namespace damsonspoke::results
