#include "results/idempotency_cache.h"

#include <algorithm>

namespace damsonspoke::results {
namespace {

// An active entry is charged for the largest result, so that there is capacity for any result.
constexpr std::size_t kActiveEntryBytes = IdempotencyCache::kEntryBytes + IdempotencyCache::kMaxResultBytes;

}  // namespace

std::size_t IdempotencyCache::charge_of(const Entry& entry) {
  if (entry.is_active()) return kActiveEntryBytes;
  return kEntryBytes + (entry.result ? entry.result->size() : 0);
}

IdempotencyCache::Entry* IdempotencyCache::active_entry(RequestId id) {
  const auto found = active_keys_.find(id);
  return found == active_keys_.end() ? nullptr : &entries_.at(found->second);
}

const IdempotencyCache::Entry* IdempotencyCache::find_active(RequestId id) const {
  const auto found = active_keys_.find(id);
  return found == active_keys_.end() ? nullptr : &entries_.at(found->second);
}

const IdempotencyCache::Entry* IdempotencyCache::find(const Key& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second;
}

const std::string* IdempotencyCache::result_in_memory(const Key& key) const {
  const Entry* entry = find(key);
  return entry && entry->state == EntryState::kCompleted && entry->result ? &*entry->result : nullptr;
}

// ---- Capacity and eviction.

void IdempotencyCache::add(Entry entry) {
  used_bytes_ += charge_of(entry);
  const Key key = entry.key;
  entries_.emplace(key, std::move(entry));
}

void IdempotencyCache::erase(Key key) {
  const auto found = entries_.find(key);
  const Entry& entry = found->second;
  used_bytes_ -= charge_of(entry);
  expiries_.erase({entry.expires_at, key});
  evictable_.erase({entry.recency, key});
  const auto active = active_keys_.find(entry.id);
  if (active != active_keys_.end() && active->second == key) active_keys_.erase(active);
  const auto given_up = given_up_keys_.find(entry.id);
  if (given_up != given_up_keys_.end() && given_up->second == key) given_up_keys_.erase(given_up);
  entries_.erase(found);
}

void IdempotencyCache::evict_result(Entry& entry) {
  used_bytes_ -= charge_of(entry);
  entry.result.reset();
  used_bytes_ += charge_of(entry);
  evictable_.erase({entry.recency, entry.key});
}

// Evicts the entry of a shared read entirely. Of a keyed entry whose result is in the store, only the result
// in memory is evicted.
bool IdempotencyCache::evict_one() {
  if (evictable_.empty()) return false;
  Entry& entry = entries_.at(evictable_.begin()->second);
  ++evicted_count_;
  if (entry.kind == EntryKind::kSharedRead) {
    erase(entry.key);
  } else {
    evict_result(entry);
  }
  return true;
}

// The retained entries of the oldest windows make room for new requests: a request that is read so late that
// it could be a duplicate of them then fails, by the watermark.
bool IdempotencyCache::evict_ended_window(double now) {
  if (expiries_.empty() || expiries_.begin()->first >= now) return false;
  const auto [expires_at, key] = *expiries_.begin();
  if (entries_.at(key).kind == EntryKind::kKeyed) {
    raise_watermark(expires_at);
    evicted_keys_.push_back(key);
  }
  erase(key);
  ++evicted_count_;
  return true;
}

bool IdempotencyCache::evict_until_fits(std::size_t bytes, std::size_t entries, std::optional<double> now) {
  while (used_bytes_ + bytes > limits_.max_bytes || entries_.size() + entries > limits_.max_entries) {
    if (!evict_one() && !(now && evict_ended_window(*now))) return false;
  }
  return true;
}

bool IdempotencyCache::evict_until_key_fits(const Key& key, double now) {
  for (;;) {
    const auto found = entries_.find(key);
    if (found == entries_.end()) return evict_until_fits(kActiveEntryBytes, 1, now);
    const std::size_t old_charge = charge_of(found->second);
    if (!evict_until_fits(kActiveEntryBytes - old_charge, 0, now)) return false;
    // The entry to be replaced may itself have been evicted, so its charge no longer counts.
    const auto current = entries_.find(key);
    if (current != entries_.end() && charge_of(current->second) == old_charge) return true;
  }
}

void IdempotencyCache::set_limits(CacheLimits limits) {
  const bool has_store = limits_.has_store;
  limits_ = limits;
  limits_.has_store = has_store;
  evict_until_fits(0, 0);
}

// ---- Arriving requests and duplicates.

Lookup IdempotencyCache::look_up(double now, double arrived_at, const Key& key, Fingerprint fingerprint,
                                 EntryKind kind) {
  const Entry* entry = find(key);
  if (entry != nullptr && (entry->is_active() || entry->expires_at > arrived_at)) {
    if (entry->fingerprint != fingerprint) return {LookupOutcome::kFingerprintMismatch, 0, 0};
    if (entry->state == EntryState::kOutcomeUnknown) return {LookupOutcome::kOutcomeUnknown, 0, 0};
    return {LookupOutcome::kDuplicate, entry->id, 0};
  }
  // An entry that was not erased is proof that no later window of its key was.
  if (kind == EntryKind::kKeyed && entry == nullptr) {
    if (arrived_at < watermark_) return {LookupOutcome::kPossiblyForgotten, 0, 0};
    if (arrived_at < unrecovered_windows_end_at_) return {LookupOutcome::kNotRecovered, 0, 0};
  }
  // A read that cannot be remembered may still run.
  if (evict_until_key_fits(key, now) || kind == EntryKind::kSharedRead) return {LookupOutcome::kMiss, 0, 0};
  const double first_expiry = expiries_.empty() ? now : expiries_.begin()->first;
  return {LookupOutcome::kNoCapacity, 0, std::max(0.0, first_expiry - now)};
}

bool IdempotencyCache::may_have_run(double arrived_at, const Key& key) const {
  const Entry* entry = find(key);
  if (entry == nullptr) return arrived_at < std::max(watermark_, unrecovered_windows_end_at_);
  return entry->is_active() || entry->expires_at > arrived_at;
}

bool IdempotencyCache::reserve(double now, const Reservation& reservation) {
  std::optional<double> replaced_expires_at;
  const auto found = entries_.find(reservation.key);
  if (found != entries_.end()) {
    const Entry& old = found->second;
    if (active_keys_.contains(old.id) || old.expires_at > reservation.arrived_at) return false;
    const bool is_retained = old.expires_at + limits_.allowed_lateness_seconds > now;
    if (old.kind == EntryKind::kKeyed && is_retained) replaced_expires_at = old.expires_at;
    erase(reservation.key);
  }
  const bool fits = !active_keys_.contains(reservation.id) && evict_until_fits(kActiveEntryBytes, 1, now);
  if (!fits) {
    if (replaced_expires_at) raise_watermark(*replaced_expires_at);
    return false;
  }
  std::erase(evicted_keys_, reservation.key);  // the store's row will be that of this request
  Entry entry;
  entry.key = reservation.key;
  entry.fingerprint = reservation.fingerprint;
  entry.id = reservation.id;
  entry.kind = reservation.kind;
  entry.expires_at = reservation.expires_at;
  entry.replaced_expires_at = replaced_expires_at;
  add(std::move(entry));
  active_keys_[reservation.id] = reservation.key;
  return true;
}

void IdempotencyCache::mark_running(RequestId id) {
  if (Entry* entry = active_entry(id)) entry->state = EntryState::kRunning;
}

JoinOutcome IdempotencyCache::join(RequestId duplicate, const Key& key) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return JoinOutcome::kOutcomeUnknown;
  Entry& entry = found->second;
  switch (entry.state) {
    case EntryState::kOutcomeUnknown: return JoinOutcome::kOutcomeUnknown;
    case EntryState::kCompleted: return entry.result ? JoinOutcome::kInMemory : JoinOutcome::kInStore;
    case EntryState::kReserved:
    case EntryState::kRunning: break;
  }
  entry.waiters.push_back(duplicate);
  waiter_keys_[duplicate] = key;
  return JoinOutcome::kCoalesced;
}

void IdempotencyCache::remove_waiter(RequestId duplicate) {
  const auto found = waiter_keys_.find(duplicate);
  if (found == waiter_keys_.end()) return;
  const auto entry = entries_.find(found->second);
  if (entry != entries_.end()) std::erase(entry->second.waiters, duplicate);
  waiter_keys_.erase(found);
}

std::vector<RequestId> IdempotencyCache::take_waiters(Entry& entry) {
  for (const RequestId duplicate : entry.waiters) waiter_keys_.erase(duplicate);
  return std::exchange(entry.waiters, {});
}

// ---- The ends of an active entry.

// An entry never expires before its request has ended.
void IdempotencyCache::schedule_expiry(double now, Entry& entry) {
  active_keys_.erase(entry.id);
  entry.expires_at = std::max(entry.expires_at, now);
  expiries_.insert({entry.expires_at, entry.key});
}

std::vector<RequestId> IdempotencyCache::release(RequestId id) {
  Entry* entry = active_entry(id);
  if (entry == nullptr) return {};
  std::vector<RequestId> waiters = take_waiters(*entry);
  const Entry released = *entry;
  erase(released.key);
  restore_replaced(released);
  return waiters;
}

// A request that never ran does not make its key's earlier run forgotten: late duplicates of that must not
// run either. Its result is gone.
void IdempotencyCache::restore_replaced(const Entry& entry) {
  if (!entry.replaced_expires_at) return;
  Entry replaced;
  replaced.key = entry.key;
  replaced.fingerprint = entry.fingerprint;
  replaced.id = entry.id;
  replaced.state = EntryState::kOutcomeUnknown;
  replaced.expires_at = *entry.replaced_expires_at;
  expiries_.insert({replaced.expires_at, replaced.key});
  add(std::move(replaced));
}

void IdempotencyCache::set_result(Entry& entry, std::string result) {
  entry.result = std::move(result);
  if (entry.kind != EntryKind::kSharedRead && !limits_.has_store) return;
  entry.recency = ++last_recency_;
  evictable_.insert({entry.recency, entry.key});
}

std::vector<RequestId> IdempotencyCache::complete(double now, RequestId id, std::string result) {
  Entry* entry = active_entry(id);
  if (entry == nullptr) return {};
  std::vector<RequestId> waiters = take_waiters(*entry);
  const bool is_shared = entry->kind == EntryKind::kSharedRead;
  const bool is_too_long = result.size() > kMaxResultBytes;
  if (is_shared && (is_too_long || limits_.shared_ttl_seconds <= 0)) {
    erase(entry->key);
    return waiters;
  }
  if (is_shared) entry->expires_at = std::min(entry->expires_at, now + limits_.shared_ttl_seconds);
  used_bytes_ -= charge_of(*entry);
  entry->state = is_too_long && !limits_.has_store ? EntryState::kOutcomeUnknown : EntryState::kCompleted;
  if (!is_too_long) set_result(*entry, std::move(result));
  used_bytes_ += charge_of(*entry);
  schedule_expiry(now, *entry);
  evict_until_fits(0, 0);  // the limits may have been lowered while the request ran
  return waiters;
}

std::vector<RequestId> IdempotencyCache::mark_outcome_unknown(double now, RequestId id) {
  Entry* entry = active_entry(id);
  if (entry == nullptr) return {};
  std::vector<RequestId> waiters = take_waiters(*entry);
  if (entry->kind == EntryKind::kSharedRead) {  // a read may run again
    erase(entry->key);
    return waiters;
  }
  used_bytes_ -= charge_of(*entry);
  entry->state = EntryState::kOutcomeUnknown;
  used_bytes_ += charge_of(*entry);
  schedule_expiry(now, *entry);
  return waiters;
}

// ---- Entries that were given up.

std::vector<RequestId> IdempotencyCache::give_up(double now, RequestId id) {
  const Entry* entry = active_entry(id);
  if (entry == nullptr) return {};
  if (entry->kind == EntryKind::kKeyed) given_up_keys_[id] = entry->key;
  return mark_outcome_unknown(now, id);
}

const Key* IdempotencyCache::find_given_up(RequestId id) const {
  const auto found = given_up_keys_.find(id);
  return found == given_up_keys_.end() ? nullptr : &found->second;
}

// Without a store, the outcome stays unknown if there is no capacity for the result, because keyed entries
// are never evicted.
void IdempotencyCache::complete_given_up(RequestId id, std::string result) {
  const auto found = given_up_keys_.find(id);
  if (found == given_up_keys_.end()) return;
  Entry& entry = entries_.at(found->second);
  given_up_keys_.erase(found);
  const bool fits = result.size() <= kMaxResultBytes && evict_until_fits(result.size(), 0);
  if (!fits && !limits_.has_store) return;
  entry.state = EntryState::kCompleted;
  if (!fits) return;
  used_bytes_ -= charge_of(entry);
  set_result(entry, std::move(result));
  used_bytes_ += charge_of(entry);
}

// ---- Entries from the store, operators' requests, expiry.

void IdempotencyCache::restore(RequestId id, const Key& key, Fingerprint fingerprint, bool is_completed,
                               double expires_at) {
  if (entries_.contains(key)) return;
  Entry entry;
  entry.key = key;
  entry.fingerprint = fingerprint;
  entry.id = id;
  entry.state = is_completed ? EntryState::kCompleted : EntryState::kOutcomeUnknown;
  entry.expires_at = expires_at;
  expiries_.insert({expires_at, key});
  add(std::move(entry));
  evict_until_fits(0, 0);
}

bool IdempotencyCache::drop(double now, const Key& key) {
  const Entry* entry = find(key);
  if (entry == nullptr || entry->is_active()) return false;
  // Only a key that is dropped inside its window may run again.
  if (entry->kind == EntryKind::kKeyed && entry->expires_at <= now) raise_watermark(entry->expires_at);
  erase(key);
  return true;
}

std::vector<Key> IdempotencyCache::expire(double now, std::size_t max_entries) {
  std::vector<Key> expired = std::exchange(evicted_keys_, {});
  const double max_expires_at = now - limits_.allowed_lateness_seconds;
  for (std::size_t i = 0; i < max_entries; ++i) {
    if (expiries_.empty() || expiries_.begin()->first > max_expires_at) break;
    const auto [expires_at, key] = *expiries_.begin();
    if (entries_.at(key).kind == EntryKind::kKeyed) {
      raise_watermark(expires_at);
      expired.push_back(key);
    }
    erase(key);
  }
  return expired;
}

// ---- Invariants.

bool IdempotencyCache::has_consistent_indices(const Entry& entry) const {
  const auto active = active_keys_.find(entry.id);
  const bool is_indexed_active = active != active_keys_.end() && active->second == entry.key;
  if (entry.is_active() != is_indexed_active) return false;
  if (!entry.is_active() && !expiries_.contains({entry.expires_at, entry.key})) return false;
  if (!entry.is_active() && !entry.waiters.empty()) return false;
  if (entry.result && entry.state != EntryState::kCompleted) return false;
  return std::all_of(entry.waiters.begin(), entry.waiters.end(), [&](RequestId duplicate) {
    const auto found = waiter_keys_.find(duplicate);
    return found != waiter_keys_.end() && found->second == entry.key;
  });
}

bool IdempotencyCache::is_consistent() const {
  std::size_t bytes = 0;
  std::size_t active = 0;
  std::size_t waiters = 0;
  std::size_t evictable = 0;
  for (const auto& [key, entry] : entries_) {
    if (!has_consistent_indices(entry)) return false;
    bytes += charge_of(entry);
    active += entry.is_active() ? 1 : 0;
    waiters += entry.waiters.size();
    evictable += evictable_.contains({entry.recency, key}) ? 1 : 0;
  }
  return bytes == used_bytes_ && active == active_keys_.size() &&
         entries_.size() - active == expiries_.size() && waiters == waiter_keys_.size() &&
         evictable == evictable_.size();
}

}  // namespace damsonspoke::results
