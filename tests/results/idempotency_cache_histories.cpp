// Compares the idempotency cache with a naive model, over thousands of seeded histories. A history that
// violates an invariant is shrunk to a minimal one and printed. CTest compares the output with
// tests/traces/results_cache_histories.txt. usage: idempotency_cache_histories [SEEDS]
#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

#include "results/idempotency_cache.h"

using namespace damsonspoke;
using namespace damsonspoke::results;

namespace {

enum class Action : std::uint8_t {
  kArrive,
  kStart,
  kComplete,
  kLoseOutcome,
  kRelease,
  kDisconnect,
  kPassTime,
  kDrop,
  kSetLimits,
  kRestore
};
constexpr std::array<const char*, 10> kActionNames = {"arrive",     "start",      "complete",  "lose outcome",
                                                      "release",    "disconnect", "pass time", "drop",
                                                      "set limits", "restore"};

struct Step {
  Action action = Action::kPassTime;
  // Random numbers, whose meaning depends on the action.
  unsigned a = 0;
  unsigned b = 0;
  unsigned c = 0;
};

struct ModelEntry {
  RequestId id = 0;
  EntryKind kind = EntryKind::kKeyed;
  EntryState state = EntryState::kReserved;
  Fingerprint fingerprint = 0;
  double expires_at = 0;
  std::string result;
  std::vector<RequestId> waiters;

  bool is_active() const { return state == EntryState::kReserved || state == EntryState::kRunning; }
};

constexpr double kSharedTtlSeconds = 2;
constexpr double kWindowSeconds = 6;
constexpr int kSteps = 120;  // of a history
constexpr unsigned kKeys = 12;
constexpr unsigned kKeyedKeys = 9;  // the other keys are of shared reads
constexpr std::size_t kActiveEntryBytes = IdempotencyCache::kEntryBytes + IdempotencyCache::kMaxResultBytes;

// Applies a history to the cache and to a model without limits, indices and eviction.
class ModelCheck {
 public:
  explicit ModelCheck(bool has_store)
      : has_store_(has_store),
        limits_{12 * kActiveEntryBytes, 8, has_store, kSharedTtlSeconds},
        cache_(limits_) {}

  // Returns the first invariant that was violated; an empty string if there is none.
  std::string run(const std::vector<Step>& steps) {
    for (const Step& step : steps) {
      apply(step);
      if (failure_.empty()) check_invariants();
      if (!failure_.empty()) return failure_;
    }
    return {};
  }

  // The cases that the history has reached. They are printed, so that cases which are no longer tested are
  // noticed.
  const std::set<std::string>& reached() const { return reached_; }

 private:
  static Key key(unsigned number) { return {number, number * 7919ULL}; }

  void expect(bool holds, const std::string& failure) {
    if (!holds && failure_.empty()) failure_ = failure;
  }

  ModelEntry* nth_active(unsigned n) {
    std::vector<ModelEntry*> active;
    for (auto& [number, entry] : model_) {
      if (entry.is_active()) active.push_back(&entry);
    }
    return active.empty() ? nullptr : active[n % active.size()];
  }

  unsigned number_of(const ModelEntry& entry) const {
    for (const auto& [number, other] : model_) {
      if (&other == &entry) return number;
    }
    return 0;
  }

  // The bytes and entries that cannot be evicted.
  std::size_t required_bytes() const {
    std::size_t bytes = 0;
    for (const auto& [number, entry] : model_) {
      if (entry.is_active()) bytes += kActiveEntryBytes;
      if (entry.state == EntryState::kCompleted && entry.kind == EntryKind::kKeyed)
        bytes += IdempotencyCache::kEntryBytes + (has_store_ ? 0 : entry.result.size());
      if (entry.state == EntryState::kOutcomeUnknown) bytes += IdempotencyCache::kEntryBytes;
    }
    return bytes;
  }
  std::size_t required_entries() const {
    return static_cast<std::size_t>(std::count_if(model_.begin(), model_.end(), [](const auto& item) {
      return item.second.is_active() || item.second.kind == EntryKind::kKeyed;
    }));
  }

  void apply(const Step& step) {
    switch (step.action) {
      case Action::kArrive: return arrive(step);
      case Action::kPassTime: return pass_time(step);
      case Action::kDisconnect: return disconnect(step);
      case Action::kDrop: return drop(step);
      case Action::kSetLimits: return set_limits(step);
      case Action::kRestore: return restore(step);
      default: break;
    }
    ModelEntry* entry = nth_active(step.a);
    if (entry == nullptr) return;
    switch (step.action) {
      case Action::kStart: return start(*entry);
      case Action::kComplete: return complete(*entry, step);
      case Action::kLoseOutcome: return lose_outcome(*entry);
      case Action::kRelease: return release(*entry);
      default: break;
    }
  }

  // ---- Arriving requests.

  void arrive(const Step& step) {
    const unsigned number = step.a % kKeys;
    const EntryKind kind = number < kKeyedKeys ? EntryKind::kKeyed : EntryKind::kSharedRead;
    const Fingerprint fingerprint = kind == EntryKind::kKeyed ? step.b % 2 : 0;
    const Lookup lookup = cache_.look_up(now_, now_, key(number), fingerprint, kind);
    const RequestId id = ++last_id_;
    check_lookup(lookup, number, fingerprint, kind);
    reached_.insert("looked up " + std::to_string(static_cast<int>(lookup.outcome)));
    if (lookup.outcome == LookupOutcome::kNoCapacity) {
      expect(kind == EntryKind::kKeyed, "no capacity: for a read");
      expect(required_bytes() + kActiveEntryBytes > limits_.max_bytes ||
                 required_entries() + 1 > limits_.max_entries,
             "no capacity: although the limits allow an entry");
    } else if (lookup.outcome == LookupOutcome::kDuplicate) {
      join(id, number);
    } else if (lookup.outcome == LookupOutcome::kMiss) {
      reserve(id, number, fingerprint, kind);
    }
  }

  void check_lookup(const Lookup& lookup, unsigned number, Fingerprint fingerprint, EntryKind kind) {
    const auto found = model_.find(number);
    const bool is_valid =
        found != model_.end() && (found->second.is_active() || found->second.expires_at > now_);
    if (!is_valid) {
      expect(lookup.outcome == LookupOutcome::kMiss || lookup.outcome == LookupOutcome::kNoCapacity,
             "look_up: found an entry that does not exist");
      return;
    }
    const ModelEntry& entry = found->second;
    if (kind != EntryKind::kKeyed && !entry.is_active()) return;  // it may have been evicted
    LookupOutcome expected = LookupOutcome::kDuplicate;
    if (entry.state == EntryState::kOutcomeUnknown) expected = LookupOutcome::kOutcomeUnknown;
    if (entry.fingerprint != fingerprint) expected = LookupOutcome::kFingerprintMismatch;
    expect(lookup.outcome == expected, "look_up: another outcome than that of the entry");
    if (lookup.outcome == LookupOutcome::kDuplicate)
      expect(lookup.original_id == entry.id, "look_up: another original");
  }

  void reserve(RequestId id, unsigned number, Fingerprint fingerprint, EntryKind kind) {
    const auto found = model_.find(number);
    if (found != model_.end() && !found->second.is_active()) model_.erase(found);  // evicted, or expired
    const double expires_at = now_ + kWindowSeconds;
    const bool is_reserved = cache_.reserve(now_, {id, key(number), fingerprint, kind, now_, expires_at});
    expect(is_reserved || kind == EntryKind::kSharedRead,
           "reserve: rejected although look_up found capacity");
    restored_.erase(number);
    if (is_reserved) model_[number] = {id, kind, EntryState::kReserved, fingerprint, expires_at, {}, {}};
  }

  void join(RequestId id, unsigned number) {
    ModelEntry& entry = model_.at(number);
    const JoinOutcome outcome = cache_.join(id, key(number));
    reached_.insert("joined " + std::to_string(static_cast<int>(outcome)));
    if (entry.is_active()) {
      expect(outcome == JoinOutcome::kCoalesced, "join: not coalesced with an active entry");
      entry.waiters.push_back(id);
      return;
    }
    if (outcome == JoinOutcome::kInStore) {
      expect(has_store_ && entry.kind == EntryKind::kKeyed, "join: result in a store that does not exist");
      return;
    }
    expect(outcome == JoinOutcome::kInMemory, "join: no result of a completed entry");
    const std::string* result = cache_.result_in_memory(key(number));
    expect(result != nullptr && *result == entry.result, "join: another result");
    expect(!restored_.contains(number), "join: a result in memory that was never added");
  }

  void disconnect(const Step& step) {
    for (auto& [number, entry] : model_) {
      if (entry.waiters.empty()) continue;
      const std::size_t position = step.a % entry.waiters.size();
      cache_.remove_waiter(entry.waiters[position]);
      entry.waiters.erase(entry.waiters.begin() + static_cast<std::ptrdiff_t>(position));
      reached_.insert("a duplicate disconnected");
      return;
    }
  }

  // ---- Active entries.

  void start(ModelEntry& entry) {
    cache_.mark_running(entry.id);
    entry.state = EntryState::kRunning;
  }

  void complete(ModelEntry& entry, const Step& step) {
    const bool is_too_long = step.b % 16 == 0;
    std::string result(is_too_long ? IdempotencyCache::kMaxResultBytes + 1 : step.b % 3000,
                       static_cast<char>('a' + step.c % 26));
    expect(cache_.complete(now_, entry.id, result) == entry.waiters,
           "complete: other duplicates than those that wait");
    entry.waiters.clear();
    entry.expires_at = std::max(entry.expires_at, now_);
    entry.state = is_too_long && !has_store_ ? EntryState::kOutcomeUnknown : EntryState::kCompleted;
    if (is_too_long) reached_.insert("too long");
    entry.result = is_too_long ? std::string() : std::move(result);
    if (entry.kind != EntryKind::kSharedRead) return;
    entry.expires_at = std::min(entry.expires_at, now_ + kSharedTtlSeconds);
    if (is_too_long) model_.erase(number_of(entry));
  }

  void lose_outcome(ModelEntry& entry) {
    expect(cache_.mark_outcome_unknown(now_, entry.id) == entry.waiters,
           "mark_outcome_unknown: other duplicates than those that wait");
    entry.waiters.clear();
    entry.state = EntryState::kOutcomeUnknown;
    entry.expires_at = std::max(entry.expires_at, now_);
    if (entry.kind == EntryKind::kSharedRead) model_.erase(number_of(entry));
  }

  void release(ModelEntry& entry) {
    expect(cache_.release(entry.id) == entry.waiters, "release: other duplicates than those that wait");
    model_.erase(number_of(entry));
  }

  // ---- Operators' requests, limits, recovery, expiry.

  void drop(const Step& step) {
    const unsigned number = step.a % kKeys;
    const auto found = model_.find(number);
    const bool is_droppable = found != model_.end() && !found->second.is_active();
    const bool is_evictable = is_droppable && found->second.kind == EntryKind::kSharedRead;
    const bool is_dropped = cache_.drop(now_, key(number));
    expect(is_evictable || is_dropped == is_droppable, "drop: of an active entry, or not of a completed one");
    if (is_dropped && is_droppable) model_.erase(found);
  }

  void set_limits(const Step& step) {
    limits_.max_entries = 3 + step.a % 8;
    limits_.max_bytes = (2 + step.b % 10) * kActiveEntryBytes;
    cache_.set_limits(limits_);
  }

  void restore(const Step& step) {
    const unsigned number = step.a % kKeys;
    if (!has_store_ || model_.contains(number)) return;
    ModelEntry entry;
    entry.id = ++last_id_;
    entry.fingerprint = step.b % 2;
    entry.state = step.c % 2 == 1 ? EntryState::kCompleted : EntryState::kOutcomeUnknown;
    entry.expires_at = now_ + 1 + step.c % 4;
    cache_.restore(entry.id, key(number), entry.fingerprint, entry.state == EntryState::kCompleted,
                   entry.expires_at);
    restored_.insert(number);
    model_[number] = entry;
  }

  void pass_time(const Step& step) {
    now_ += 0.25 * (step.a % 8);
    const std::vector<Key> expired = cache_.expire(now_, 100);
    std::set<Key> expected;
    for (auto it = model_.begin(); it != model_.end();) {
      const ModelEntry& entry = it->second;
      const bool is_expired = !entry.is_active() && entry.expires_at <= now_;
      if (is_expired && entry.kind == EntryKind::kKeyed) expected.insert(key(it->first));
      it = is_expired ? model_.erase(it) : std::next(it);
    }
    expect(std::set<Key>(expired.begin(), expired.end()) == expected,
           "expire: other keys than those that have expired");
    if (!expired.empty()) reached_.insert("entries expired");
  }

  void check_invariants() {
    expect(cache_.is_consistent(), "totals or indices do not agree with the entries");
    expect(cache_.used_bytes() <= std::max(limits_.max_bytes, required_bytes()),
           "more bytes than both the limit and the required bytes");
    expect(cache_.entry_count() <= std::max(limits_.max_entries, required_entries()),
           "more entries than both the limit and the required entries");
    if (cache_.evicted_count() > 0) reached_.insert("evicted");
    for (const auto& [number, entry] : model_) {
      if (entry.kind != EntryKind::kKeyed && !entry.is_active()) continue;
      const IdempotencyCache::Entry* cached = cache_.find(key(number));
      expect(cached != nullptr, "an entry is missing that must be remembered");
      if (cached != nullptr)
        expect(cached->state == entry.state && cached->id == entry.id, "an entry in another state");
    }
  }

  const bool has_store_;
  CacheLimits limits_;
  IdempotencyCache cache_;
  std::map<unsigned, ModelEntry> model_;  // by the number of the key
  std::set<unsigned> restored_;
  std::set<std::string> reached_;
  double now_ = 0;
  RequestId last_id_ = 0;
  std::string failure_;
};

Action random_action(unsigned number, int position) {
  if (number < 9) return Action::kArrive;
  if (number < 11) return Action::kStart;
  if (number < 13) return Action::kComplete;
  if (number < 14) return Action::kLoseOutcome;
  if (number < 15) return Action::kRelease;
  if (number < 16) return Action::kDisconnect;
  if (number < 18) return Action::kPassTime;
  if (number < 19) return Action::kDrop;
  return position % 2 == 1 ? Action::kSetLimits : Action::kRestore;
}

std::vector<Step> random_history(std::uint64_t seed) {
  pcg32 random(seed);
  std::vector<Step> steps;
  for (int i = 0; i < kSteps; ++i) {
    Step step;
    step.action = random_action(random() % 20, i);
    step.a = random();
    step.b = random();
    step.c = random();
    steps.push_back(step);
  }
  return steps;
}

// Removes steps for as long as the rest still fails.
std::vector<Step> shrink(std::vector<Step> steps, bool has_store) {
  for (bool is_shorter = true; is_shorter;) {
    is_shorter = false;
    for (std::size_t i = steps.size(); i-- > 0;) {
      std::vector<Step> fewer = steps;
      fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i));
      if (ModelCheck(has_store).run(fewer).empty()) continue;
      steps = std::move(fewer);
      is_shorter = true;
    }
  }
  return steps;
}

void print_failure(std::uint64_t seed, const std::vector<Step>& history, bool has_store) {
  const std::vector<Step> steps = shrink(history, has_store);
  std::printf("seed %llu, %s: %s\n", static_cast<unsigned long long>(seed),
              has_store ? "stored" : "in memory", ModelCheck(has_store).run(steps).c_str());
  for (const Step& step : steps) {
    std::printf("  %s %u %u %u\n", kActionNames.at(static_cast<std::size_t>(step.action)), step.a % kKeys,
                step.b % 16, step.c % 4);
  }
}

bool check_histories(std::uint64_t seeds, bool has_store) {
  std::set<std::string> reached;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const std::vector<Step> history = random_history(seed);
    ModelCheck check(has_store);
    const std::string failure = check.run(history);
    reached.insert(check.reached().begin(), check.reached().end());
    if (failure.empty()) continue;
    print_failure(seed, history, has_store);
    return false;
  }
  std::printf("%s: %llu histories passed; reached:", has_store ? "stored" : "in memory",
              static_cast<unsigned long long>(seeds));
  for (const std::string& name : reached) std::printf(" %s,", name.c_str());
  std::printf("\n");
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 3000;
  return check_histories(seeds, false) && check_histories(seeds, true) ? 0 : 1;
}
