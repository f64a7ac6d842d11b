#include "results/idempotency_cache.h"

#include <algorithm>

namespace damsonspoke::results {

// What has not ended is charged the longest result that it may come to, so that there is room for it then.
std::size_t IdempotencyCache::size_of(const Entry& entry) {
  switch (entry.state) {
    case State::kReserved:
    case State::kRunning: return kEntryBytes + kMostResult;
    case State::kEnded: return kEntryBytes + (entry.result ? entry.result->size() : 0);
    case State::kUnknown: return kEntryBytes;
  }
  return kEntryBytes;
}

IdempotencyCache::Entry* IdempotencyCache::live(RequestId id) {
  const auto found = live_.find(id);
  return found == live_.end() ? nullptr : &entries_.at(found->second);
}

const IdempotencyCache::Entry* IdempotencyCache::find(const Key& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second;
}
const IdempotencyCache::Entry* IdempotencyCache::entry_of(RequestId id) const {
  const auto found = live_.find(id);
  return found == live_.end() ? nullptr : find(found->second);
}
const std::string* IdempotencyCache::result(const Key& key) const {
  const Entry* entry = find(key);
  return entry && entry->state == State::kEnded && entry->result ? &*entry->result : nullptr;
}

// ---- Room.
void IdempotencyCache::add(Entry entry) {
  bytes_ += size_of(entry);
  const Key key = entry.key;
  entries_.emplace(key, std::move(entry));
}

void IdempotencyCache::erase(const Key& key) {
  const auto found = entries_.find(key);
  Entry& entry = found->second;
  bytes_ -= size_of(entry);
  ends_.erase({entry.until, key});
  droppable_.erase({entry.touched, key});
  const auto live = live_.find(entry.id);
  if (live != live_.end() && live->second == key) live_.erase(live);
  entries_.erase(found);
}

void IdempotencyCache::let_go_of_result(Entry& entry) {
  bytes_ -= size_of(entry);
  entry.result.reset();
  bytes_ += size_of(entry);
  droppable_.erase({entry.touched, entry.key});
}

// The oldest of what need not be in memory: a read's answer goes whole, a stored result's bytes go. What must
// be remembered is never among them.
bool IdempotencyCache::give_up_one() {
  if (droppable_.empty()) return false;
  Entry& entry = entries_.at(droppable_.begin()->second);
  ++evicted_;
  if (entry.kind == Kind::kShared) {
    erase(entry.key);
  } else {
    let_go_of_result(entry);
  }
  return true;
}

bool IdempotencyCache::make_room(std::size_t bytes, std::size_t entries) {
  while (bytes_ + bytes > bounds_.bytes || entries_.size() + entries > bounds_.entries) {
    if (!give_up_one()) return false;
  }
  return true;
}

// For one more that is open, in the place of what has that key and is over, if anything has.
bool IdempotencyCache::make_room_for(const Key& key) {
  constexpr std::size_t kOpen = kEntryBytes + kMostResult;
  for (;;) {
    const auto found = entries_.find(key);
    if (found == entries_.end()) return make_room(kOpen, 1);
    const std::size_t old = size_of(found->second);
    if (!make_room(kOpen - old, 0)) return false;
    // Room may have been made by giving up that very one.
    const auto still = entries_.find(key);
    if (still != entries_.end() && size_of(still->second) == old) return true;
  }
}

void IdempotencyCache::set_bounds(CacheLimits bounds) {
  const bool stored = bounds_.stored;
  bounds_ = bounds;
  bounds_.stored = stored;  // of the life, not of a moment
  make_room(0, 0);
}

// ---- Meeting and joining.
Lookup IdempotencyCache::meet(double now, const Key& key, Fingerprint fingerprint, Kind kind) {
  const auto found = entries_.find(key);
  if (found != entries_.end()) {
    const Entry& entry = found->second;
    const bool over = entry.until <= now && entry.state != State::kReserved && entry.state != State::kRunning;
    if (!over) {
      if (entry.fingerprint != fingerprint) return {LookupOutcome::kOtherBody, 0, 0};
      if (entry.state == State::kUnknown) return {LookupOutcome::kUnknown, 0, 0};
      return {LookupOutcome::kRepeat, entry.id, 0};
    }
  }
  if (make_room_for(key) || kind == Kind::kShared) return {LookupOutcome::kNew, 0, 0};
  return {LookupOutcome::kNoRoom, 0, ends_.empty() ? 0 : std::max(0.0, ends_.begin()->first - now)};
}

bool IdempotencyCache::reserve(double now, RequestId id, const Key& key, Fingerprint fingerprint, Kind kind,
                               double until) {
  const auto found = entries_.find(key);
  if (found != entries_.end()) {
    const Entry& old = found->second;
    if (live_.contains(old.id) || old.until > now) return false;  // it is a repeat of that
    erase(key);
  }
  if (live_.contains(id) || !make_room(kEntryBytes + kMostResult, 1)) return false;
  Entry entry;
  entry.key = key;
  entry.fingerprint = fingerprint;
  entry.id = id;
  entry.kind = kind;
  entry.until = until;
  add(std::move(entry));
  live_[id] = key;
  return true;
}

void IdempotencyCache::start(RequestId id) {
  if (Entry* entry = live(id)) entry->state = State::kRunning;
}

JoinOutcome IdempotencyCache::join(RequestId repeat, const Key& key) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return JoinOutcome::kNeverRan;
  Entry& entry = found->second;
  switch (entry.state) {
    case State::kUnknown: return JoinOutcome::kUnknown;
    case State::kEnded: return entry.result ? JoinOutcome::kHere : JoinOutcome::kStored;
    default: break;
  }
  entry.waiting.push_back(repeat);
  originals_[repeat] = key;
  return JoinOutcome::kWaits;
}

void IdempotencyCache::leave(RequestId repeat) {
  const auto found = originals_.find(repeat);
  if (found == originals_.end()) return;
  const auto entry = entries_.find(found->second);
  if (entry != entries_.end()) std::erase(entry->second.waiting, repeat);
  originals_.erase(found);
}

std::vector<RequestId> IdempotencyCache::no_longer_waiting(Entry& entry) {
  for (const RequestId repeat : entry.waiting) originals_.erase(repeat);
  return std::exchange(entry.waiting, {});
}

// ---- What becomes of an entry.
std::vector<RequestId> IdempotencyCache::release(RequestId id) {
  Entry* entry = live(id);
  if (entry == nullptr) return {};
  std::vector<RequestId> waited = no_longer_waiting(*entry);
  erase(entry->key);
  return waited;
}

// From now on its window may end.
void IdempotencyCache::settle(double now, Entry& entry) {
  live_.erase(entry.id);
  entry.until = std::max(entry.until, now);
  ends_.insert({entry.until, entry.key});
}

std::vector<RequestId> IdempotencyCache::end(double now, RequestId id, std::string result) {
  Entry* entry = live(id);
  if (entry == nullptr) return {};
  std::vector<RequestId> waited = no_longer_waiting(*entry);
  const bool shared = entry->kind == Kind::kShared;
  const bool too_long = result.size() > kMostResult;
  if (shared && (too_long || bounds_.fresh <= 0)) {
    erase(entry->key);
    return waited;
  }
  if (shared) entry->until = std::min(entry->until, now + bounds_.fresh);
  bytes_ -= size_of(*entry);
  entry->state = too_long && !bounds_.stored ? State::kUnknown : State::kEnded;
  if (!too_long) {
    entry->result = std::move(result);
    if (shared || bounds_.stored) {
      entry->touched = ++touches_;
      droppable_.insert({entry->touched, entry->key});
    }
  }
  bytes_ += size_of(*entry);
  settle(now, *entry);
  make_room(0, 0);  // bounds may have shrunk meanwhile
  return waited;
}

std::vector<RequestId> IdempotencyCache::lose(double now, RequestId id) {
  Entry* entry = live(id);
  if (entry == nullptr) return {};
  std::vector<RequestId> waited = no_longer_waiting(*entry);
  if (entry->kind == Kind::kShared) {  // a read may run again
    erase(entry->key);
    return waited;
  }
  bytes_ -= size_of(*entry);
  entry->state = State::kUnknown;
  bytes_ += size_of(*entry);
  settle(now, *entry);
  return waited;
}

void IdempotencyCache::recover(RequestId id, const Key& key, Fingerprint fingerprint, bool ended,
                               double until) {
  if (entries_.contains(key)) return;
  Entry entry;
  entry.key = key;
  entry.fingerprint = fingerprint;
  entry.id = id;
  entry.state = ended ? State::kEnded : State::kUnknown;
  entry.until = until;
  ends_.insert({until, key});
  add(std::move(entry));
  make_room(0, 0);  // it stays; what need not be remembered goes for it
}

bool IdempotencyCache::drop(const Key& key) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return false;
  const State state = found->second.state;
  if (state == State::kReserved || state == State::kRunning) return false;
  erase(key);
  return true;
}

std::vector<Key> IdempotencyCache::age(double now, std::size_t most) {
  std::vector<Key> gone;
  for (std::size_t i = 0; i < most && !ends_.empty() && ends_.begin()->first <= now; ++i) {
    const Key key = ends_.begin()->second;
    if (entries_.at(key).kind == Kind::kKeyed) gone.push_back(key);
    erase(key);
  }
  return gone;
}

bool IdempotencyCache::consistent() const {
  std::size_t bytes = 0, live = 0, ended = 0, waiting = 0, droppable = 0;
  for (const auto& [key, entry] : entries_) {
    bytes += size_of(entry);
    const bool open = entry.state == State::kReserved || entry.state == State::kRunning;
    (open ? live : ended) += 1;
    if (open != (live_.contains(entry.id) && live_.at(entry.id) == key)) return false;
    if (!open && !ends_.contains({entry.until, key})) return false;
    if (!open && !entry.waiting.empty()) return false;
    if (entry.result && entry.state != State::kEnded) return false;
    if (droppable_.contains({entry.touched, key})) ++droppable;
    waiting += entry.waiting.size();
    for (const RequestId repeat : entry.waiting) {
      const auto found = originals_.find(repeat);
      if (found == originals_.end() || found->second != key) return false;
    }
  }
  return bytes == bytes_ && live == live_.size() && ended == ends_.size() && waiting == originals_.size() &&
         droppable == droppable_.size();
}

}  // namespace damsonspoke::results
