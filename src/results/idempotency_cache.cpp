#include "results/idempotency_cache.h"

#include <algorithm>

namespace damsonspoke::results {

// What has not ended is charged the longest result that it may come to, so that there is room for it then.
std::size_t IdempotencyCache::size_of(const Entry& entry) {
  switch (entry.state) {
    case EntryState::kReserved:
    case EntryState::kRunning: return kEntryBytes + kMaxResultBytes;
    case EntryState::kCompleted: return kEntryBytes + (entry.result ? entry.result->size() : 0);
    case EntryState::kOutcomeUnknown: return kEntryBytes;
  }
  return kEntryBytes;
}

IdempotencyCache::Entry* IdempotencyCache::find_active_mutable(RequestId id) {
  const auto found = active_keys_.find(id);
  return found == active_keys_.end() ? nullptr : &entries_.at(found->second);
}

const IdempotencyCache::Entry* IdempotencyCache::find(const Key& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second;
}
const IdempotencyCache::Entry* IdempotencyCache::find_active(RequestId id) const {
  const auto found = active_keys_.find(id);
  return found == active_keys_.end() ? nullptr : find(found->second);
}
const std::string* IdempotencyCache::result_in_memory(const Key& key) const {
  const Entry* entry = find(key);
  return entry && entry->state == EntryState::kCompleted && entry->result ? &*entry->result : nullptr;
}

// ---- Room.
void IdempotencyCache::add(Entry entry) {
  used_bytes_ += size_of(entry);
  const Key key = entry.key;
  entries_.emplace(key, std::move(entry));
}

void IdempotencyCache::erase(const Key& key) {
  const auto found = entries_.find(key);
  Entry& entry = found->second;
  used_bytes_ -= size_of(entry);
  expiries_.erase({entry.expires_at, key});
  evictable_.erase({entry.recency, key});
  const auto live = active_keys_.find(entry.id);
  if (live != active_keys_.end() && live->second == key) active_keys_.erase(live);
  entries_.erase(found);
}

void IdempotencyCache::evict_result(Entry& entry) {
  used_bytes_ -= size_of(entry);
  entry.result.reset();
  used_bytes_ += size_of(entry);
  evictable_.erase({entry.recency, entry.key});
}

// The oldest of what need not be in memory: a read's answer goes whole, a stored result's bytes go. What must
// be remembered is never among them.
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

bool IdempotencyCache::evict_until_fits(std::size_t bytes, std::size_t entries) {
  while (used_bytes_ + bytes > limits_.max_bytes || entries_.size() + entries > limits_.max_entries) {
    if (!evict_one()) return false;
  }
  return true;
}

// For one more that is open, in the place of what has that key and is over, if anything has.
bool IdempotencyCache::reserve_capacity_for(const Key& key) {
  constexpr std::size_t kOpen = kEntryBytes + kMaxResultBytes;
  for (;;) {
    const auto found = entries_.find(key);
    if (found == entries_.end()) return evict_until_fits(kOpen, 1);
    const std::size_t old = size_of(found->second);
    if (!evict_until_fits(kOpen - old, 0)) return false;
    // Room may have been made by giving up that very one.
    const auto still = entries_.find(key);
    if (still != entries_.end() && size_of(still->second) == old) return true;
  }
}

void IdempotencyCache::set_limits(CacheLimits limits) {
  const bool stored = limits_.has_store;
  limits_ = limits;
  limits_.has_store = stored;  // of the life, not of a moment
  evict_until_fits(0, 0);
}

// ---- Meeting and joining.
Lookup IdempotencyCache::look_up(double now, const Key& key, Fingerprint fingerprint, EntryKind kind) {
  const auto found = entries_.find(key);
  if (found != entries_.end()) {
    const Entry& entry = found->second;
    const bool over = entry.expires_at <= now && entry.state != EntryState::kReserved &&
                      entry.state != EntryState::kRunning;
    if (!over) {
      if (entry.fingerprint != fingerprint) return {LookupOutcome::kFingerprintMismatch, 0, 0};
      if (entry.state == EntryState::kOutcomeUnknown) return {LookupOutcome::kOutcomeUnknown, 0, 0};
      return {LookupOutcome::kDuplicate, entry.id, 0};
    }
  }
  if (reserve_capacity_for(key) || kind == EntryKind::kSharedRead) return {LookupOutcome::kMiss, 0, 0};
  return {LookupOutcome::kNoCapacity, 0,
          expiries_.empty() ? 0 : std::max(0.0, expiries_.begin()->first - now)};
}

bool IdempotencyCache::reserve(double now, RequestId id, const Key& key, Fingerprint fingerprint,
                               EntryKind kind, double until) {
  const auto found = entries_.find(key);
  if (found != entries_.end()) {
    const Entry& old = found->second;
    if (active_keys_.contains(old.id) || old.expires_at > now) return false;  // it is a repeat of that
    erase(key);
  }
  if (active_keys_.contains(id) || !evict_until_fits(kEntryBytes + kMaxResultBytes, 1)) return false;
  Entry entry;
  entry.key = key;
  entry.fingerprint = fingerprint;
  entry.id = id;
  entry.kind = kind;
  entry.expires_at = until;
  add(std::move(entry));
  active_keys_[id] = key;
  return true;
}

void IdempotencyCache::mark_running(RequestId id) {
  if (Entry* entry = find_active_mutable(id)) entry->state = EntryState::kRunning;
}

JoinOutcome IdempotencyCache::join(RequestId repeat, const Key& key) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return JoinOutcome::kNeverRan;
  Entry& entry = found->second;
  switch (entry.state) {
    case EntryState::kOutcomeUnknown: return JoinOutcome::kOutcomeUnknown;
    case EntryState::kCompleted: return entry.result ? JoinOutcome::kInMemory : JoinOutcome::kInStore;
    default: break;
  }
  entry.waiters.push_back(repeat);
  waiter_keys_[repeat] = key;
  return JoinOutcome::kCoalesced;
}

void IdempotencyCache::remove_waiter(RequestId repeat) {
  const auto found = waiter_keys_.find(repeat);
  if (found == waiter_keys_.end()) return;
  const auto entry = entries_.find(found->second);
  if (entry != entries_.end()) std::erase(entry->second.waiters, repeat);
  waiter_keys_.erase(found);
}

std::vector<RequestId> IdempotencyCache::take_waiters(Entry& entry) {
  for (const RequestId repeat : entry.waiters) waiter_keys_.erase(repeat);
  return std::exchange(entry.waiters, {});
}

// ---- What becomes of an entry.
std::vector<RequestId> IdempotencyCache::release(RequestId id) {
  Entry* entry = find_active_mutable(id);
  if (entry == nullptr) return {};
  std::vector<RequestId> waiters = take_waiters(*entry);
  erase(entry->key);
  return waiters;
}

// From now on its window may end.
void IdempotencyCache::schedule_expiry(double now, Entry& entry) {
  active_keys_.erase(entry.id);
  entry.expires_at = std::max(entry.expires_at, now);
  expiries_.insert({entry.expires_at, entry.key});
}

std::vector<RequestId> IdempotencyCache::complete(double now, RequestId id, std::string result) {
  Entry* entry = find_active_mutable(id);
  if (entry == nullptr) return {};
  std::vector<RequestId> waiters = take_waiters(*entry);
  const bool shared = entry->kind == EntryKind::kSharedRead;
  const bool too_long = result.size() > kMaxResultBytes;
  if (shared && (too_long || limits_.shared_ttl_seconds <= 0)) {
    erase(entry->key);
    return waiters;
  }
  if (shared) entry->expires_at = std::min(entry->expires_at, now + limits_.shared_ttl_seconds);
  used_bytes_ -= size_of(*entry);
  entry->state = too_long && !limits_.has_store ? EntryState::kOutcomeUnknown : EntryState::kCompleted;
  if (!too_long) {
    entry->result = std::move(result);
    if (shared || limits_.has_store) {
      entry->recency = ++last_recency_;
      evictable_.insert({entry->recency, entry->key});
    }
  }
  used_bytes_ += size_of(*entry);
  schedule_expiry(now, *entry);
  evict_until_fits(0, 0);  // bounds may have shrunk meanwhile
  return waiters;
}

std::vector<RequestId> IdempotencyCache::mark_outcome_unknown(double now, RequestId id) {
  Entry* entry = find_active_mutable(id);
  if (entry == nullptr) return {};
  std::vector<RequestId> waiters = take_waiters(*entry);
  if (entry->kind == EntryKind::kSharedRead) {  // a read may run again
    erase(entry->key);
    return waiters;
  }
  used_bytes_ -= size_of(*entry);
  entry->state = EntryState::kOutcomeUnknown;
  used_bytes_ += size_of(*entry);
  schedule_expiry(now, *entry);
  return waiters;
}

void IdempotencyCache::restore(RequestId id, const Key& key, Fingerprint fingerprint, bool ended,
                               double until) {
  if (entries_.contains(key)) return;
  Entry entry;
  entry.key = key;
  entry.fingerprint = fingerprint;
  entry.id = id;
  entry.state = ended ? EntryState::kCompleted : EntryState::kOutcomeUnknown;
  entry.expires_at = until;
  expiries_.insert({until, key});
  add(std::move(entry));
  evict_until_fits(0, 0);  // it stays; what need not be remembered goes for it
}

bool IdempotencyCache::drop(const Key& key) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return false;
  const EntryState state = found->second.state;
  if (state == EntryState::kReserved || state == EntryState::kRunning) return false;
  erase(key);
  return true;
}

std::vector<Key> IdempotencyCache::expire(double now, std::size_t most) {
  std::vector<Key> gone;
  for (std::size_t i = 0; i < most && !expiries_.empty() && expiries_.begin()->first <= now; ++i) {
    const Key key = expiries_.begin()->second;
    if (entries_.at(key).kind == EntryKind::kKeyed) gone.push_back(key);
    erase(key);
  }
  return gone;
}

bool IdempotencyCache::is_consistent() const {
  std::size_t bytes = 0, live = 0, ended = 0, waiters = 0, droppable = 0;
  for (const auto& [key, entry] : entries_) {
    bytes += size_of(entry);
    const bool open = entry.state == EntryState::kReserved || entry.state == EntryState::kRunning;
    (open ? live : ended) += 1;
    if (open != (active_keys_.contains(entry.id) && active_keys_.at(entry.id) == key)) return false;
    if (!open && !expiries_.contains({entry.expires_at, key})) return false;
    if (!open && !entry.waiters.empty()) return false;
    if (entry.result && entry.state != EntryState::kCompleted) return false;
    if (evictable_.contains({entry.recency, key})) ++droppable;
    waiters += entry.waiters.size();
    for (const RequestId repeat : entry.waiters) {
      const auto found = waiter_keys_.find(repeat);
      if (found == waiter_keys_.end() || found->second != key) return false;
    }
  }
  return bytes == used_bytes_ && live == active_keys_.size() && ended == expiries_.size() &&
         waiters == waiter_keys_.size() && droppable == evictable_.size();
}

}  // namespace damsonspoke::results
