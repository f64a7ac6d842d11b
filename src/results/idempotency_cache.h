// The idempotency cache: remembers requests whose duplicates must not, or need not, run again. It holds the
// state of each entry, the duplicates that wait for it, and the order of eviction.
//
// Pure policy without I/O: the time is passed in, and keys to erase, duplicates to answer and results are
// returned. Times are seconds on one monotonic clock; sizes are bytes.
//
// A window covers the requests that arrive before its end, however late they are read. Entries are therefore
// retained for a while after their windows, as a stream processor keeps a window for its allowed lateness
// (Akidau et al., The Dataflow Model, VLDB 2015). What is erased raises a watermark: a keyed request that
// arrived before it and whose key is unknown may have run, and must not run again.
//
// Based on RIFL (Lee et al., SOSP 2015): a completion record is retained for as long as its client may retry
// and is never evicted. Based on the IETF draft "The Idempotency-Key HTTP Header Field": a request that
// reuses a key with another body is rejected.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
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
  kKeyed,       // must be remembered until its idempotency window ends
  kSharedRead,  // may be remembered while its result is fresh
};

enum class EntryState : std::uint8_t {
  kReserved,        // admitted; has not run
  kRunning,         // may have run
  kCompleted,       // has a result
  kOutcomeUnknown,  // has run at least in part; its result is unknown
};

struct CacheLimits {
  std::size_t max_bytes = 0;    // of entries and results in memory, with the largest result per active entry
  std::size_t max_entries = 0;  // at least 1
  bool has_store = false;       // results of keyed requests are also stored on disk and may be evicted
  double shared_ttl_seconds = 0;  // how long the result of a read may be shared; 0: not at all
  // How long an entry is retained after its window, for requests that are read later than they arrived.
  double allowed_lateness_seconds = 0;
};

enum class LookupOutcome : std::uint8_t {
  kMiss,                 // the key is unknown: admission decides
  kDuplicate,            // the original request is known: admission decides whether this one joins it
  kOutcomeUnknown,       // the original request has run with an unknown result: this one must fail, not run
  kFingerprintMismatch,  // the key belongs to a request with another body
  kNoCapacity,           // the key is unknown and no entry can be added: the request must be rejected
  kPossiblyForgotten,    // the key is unknown, but its entry may have been erased since the request arrived:
                         // this one must fail, not run
  kNotRecovered,         // the key is unknown, but its entry may not be recovered yet: this one must fail,
                         // not run; its result may be found later
};

struct Lookup {
  LookupOutcome outcome = LookupOutcome::kMiss;
  RequestId original_id = 0;  // for kDuplicate
  double retry_after = 0;     // for kNoCapacity: seconds until the first entry expires; 0: unknown
};

// An admitted request whose duplicates must be recognized until `expires_at`.
struct Reservation {
  RequestId id = 0;
  Key key;
  Fingerprint fingerprint = 0;
  EntryKind kind = EntryKind::kKeyed;
  double arrived_at = 0;
  double expires_at = 0;  // of the window: duplicates that arrive before it are recognized
};

enum class JoinOutcome : std::uint8_t {
  kCoalesced,       // the duplicate waits for the original request
  kInMemory,        // the result is in memory, see result_in_memory()
  kInStore,         // the result must be read from the store
  kOutcomeUnknown,  // the original request has run with an unknown result, or its entry is gone
};

class IdempotencyCache {
 public:
  // Memory of an entry without its result: its nodes in the maps, as measured by the benchmark.
  static constexpr std::size_t kEntryBytes = 400;
  // The largest result that is remembered, which is the largest that the callers' protocol carries.
  static constexpr std::size_t kMaxResultBytes = 4096;

  struct Entry {
    Key key;
    Fingerprint fingerprint = 0;
    RequestId id = 0;
    EntryKind kind = EntryKind::kKeyed;
    EntryState state = EntryState::kReserved;
    double expires_at = 0;
    // End of the window of the run whose entry this one has replaced; nullopt: there was none.
    std::optional<double> replaced_expires_at;
    std::optional<std::string> result;  // for kCompleted; nullopt: the result is in the store only
    std::uint64_t recency = 0;          // order in which results were added to memory
    std::vector<RequestId> waiters;     // coalesced duplicates, in order of arrival

    [[nodiscard]] bool is_active() const {
      return state == EntryState::kReserved || state == EntryState::kRunning;
    }
  };

  explicit IdempotencyCache(CacheLimits limits) : limits_(limits) {}

  // Looks up a request that arrived at `arrived_at` and is read now. May evict results, and entries whose
  // windows have ended, to free capacity for it; adds no entry.
  Lookup look_up(double now, double arrived_at, const Key& key, Fingerprint fingerprint, EntryKind kind);
  // Whether a keyed request with this key has run, or may still run, so that one that arrived at `arrived_at`
  // must not be rejected.
  [[nodiscard]] bool may_have_run(double arrived_at, const Key& key) const;
  // Adds an entry for an admitted request. Returns false if the request is a duplicate or there is no
  // capacity.
  [[nodiscard]] bool reserve(double now, const Reservation& reservation);
  // Must be called before the request starts: afterwards it counts as possibly run.
  void mark_running(RequestId id);
  // Joins a duplicate to its original request: it gets the same answer.
  JoinOutcome join(RequestId duplicate, const Key& key);
  // Removes a coalesced duplicate that was answered otherwise or whose caller has disconnected.
  void remove_waiter(RequestId duplicate);

  // The following functions end an active entry. Each returns the duplicates that waited for it, in order of
  // arrival.

  // The request certainly has not run: removes the entry.
  std::vector<RequestId> release(RequestId id);
  // The request completed with this result, which is already durable if there is a store.
  std::vector<RequestId> complete(double now, RequestId id, std::string result);
  // The request has run at least in part, and its result is unknown.
  std::vector<RequestId> mark_outcome_unknown(double now, RequestId id);

  // The request may have run, and its end is no longer awaited. Same as mark_outcome_unknown(), but the end
  // may still be reported to complete_given_up().
  std::vector<RequestId> give_up(double now, RequestId id);
  // Returns the key of an entry that was given up; null if there is none or it has expired.
  const Key* find_given_up(RequestId id) const;
  // A request that was given up has completed after all: duplicates get its result from now on.
  void complete_given_up(RequestId id, std::string result);

  // Adds an entry from the store; the result of a completed entry remains in the store. The limits do not
  // apply, because the entry must be remembered.
  void restore(RequestId id, const Key& key, Fingerprint fingerprint, bool is_completed, double expires_at);
  // An earlier process may have erased entries whose windows ended before `time`.
  void raise_watermark(double time) { watermark_ = std::max(watermark_, time); }
  // Until finish_recovery(), entries of an earlier process whose windows end before `windows_end_at` may be
  // missing.
  void begin_recovery(double windows_end_at) { unrecovered_windows_end_at_ = windows_end_at; }
  void finish_recovery() { unrecovered_windows_end_at_ = kNever; }
  // Removes an entry at an operator's request. Returns false if there is none or it is active.
  bool drop(double now, const Key& key);

  // Removes up to `max_entries` entries whose windows ended longer ago than the allowed lateness. Returns the
  // keys that must be erased from the store, including those of entries that were evicted since.
  std::vector<Key> expire(double now, std::size_t max_entries);
  // Lower limits evict immediately what may be evicted; the other entries remain until they expire.
  // `has_store` keeps its initial value.
  void set_limits(CacheLimits limits);

  const Entry* find(const Key& key) const;
  const Entry* find_active(RequestId id) const;
  // Returns the result of a completed entry; null if it is not in memory.
  const std::string* result_in_memory(const Key& key) const;

  std::size_t entry_count() const { return entries_.size(); }
  std::size_t used_bytes() const { return used_bytes_; }
  std::size_t waiter_count() const { return waiter_keys_.size(); }
  std::uint64_t evicted_count() const { return evicted_count_; }
  // Entries whose windows ended before it may be erased.
  double watermark() const { return watermark_; }
  // Whether totals and indices agree with the entries; for tests.
  [[nodiscard]] bool is_consistent() const;

 private:
  static constexpr double kNever = -std::numeric_limits<double>::infinity();

  static std::size_t charge_of(const Entry& entry);

  Entry* active_entry(RequestId id);
  void add(Entry entry);
  void erase(Key key);
  void evict_result(Entry& entry);
  bool evict_one();
  // Erases the oldest of the entries whose windows have ended.
  bool evict_ended_window(double now);
  // Evicts until the limits allow so many more bytes and entries. Returns false if that is impossible. With
  // `now`, entries whose windows have ended are evicted, too.
  bool evict_until_fits(std::size_t bytes, std::size_t entries, std::optional<double> now = std::nullopt);
  // The same for a new active entry with this key, which may replace an expired one.
  bool evict_until_key_fits(const Key& key, double now);
  void restore_replaced(const Entry& entry);
  void schedule_expiry(double now, Entry& entry);
  std::vector<RequestId> take_waiters(Entry& entry);
  void set_result(Entry& entry, std::string result);
  [[nodiscard]] bool has_consistent_indices(const Entry& entry) const;

  CacheLimits limits_;
  std::unordered_map<Key, Entry, KeyHash> entries_;
  std::unordered_map<RequestId, Key> active_keys_;     // of active entries
  std::unordered_map<RequestId, Key> given_up_keys_;   // of entries that were given up and have not ended
  std::unordered_map<RequestId, Key> waiter_keys_;     // of coalesced duplicates
  std::set<std::pair<double, Key>> expiries_;          // of entries that are not active
  std::set<std::pair<std::uint64_t, Key>> evictable_;  // results in memory that may be evicted, oldest first
  std::size_t used_bytes_ = 0;
  std::uint64_t last_recency_ = 0;
  std::uint64_t evicted_count_ = 0;
  double watermark_ = kNever;
  double unrecovered_windows_end_at_ = kNever;
  std::vector<Key> evicted_keys_;  // to be returned by expire()
};

}  // namespace damsonspoke::results
