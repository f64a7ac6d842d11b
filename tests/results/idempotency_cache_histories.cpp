// The table of results against a naive model, over thousands of seeded histories. A history that breaks what
// must hold is cut down to the shortest that still does, and printed. usage: results_table [SEEDS]
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

enum class Act { kArrive, kStart, kEnd, kLose, kRelease, kLeave, kPass, kDrop, kBounds, kRecover };
const char* const kActs[] = {"arrive", "start", "end",  "lose",   "release",
                             "leave",  "pass",  "drop", "bounds", "recover"};

struct Step {
  Act act = Act::kPass;
  unsigned a = 0, b = 0, c = 0;
};

struct Thing {
  RequestId id = 0;
  EntryKind kind = EntryKind::kKeyed;
  EntryState state = EntryState::kReserved;
  Fingerprint fingerprint = 0;
  double until = 0;
  std::string result;
  std::vector<RequestId> waiting;
  bool open() const { return state == EntryState::kReserved || state == EntryState::kRunning; }
};

constexpr double kFresh = 2, kWindow = 6;

// Everything in plain lists; no room, no index, no order of eviction.
class Play {
 public:
  explicit Play(bool stored) : stored_(stored), limits_{12 * kBig, 8, stored, kFresh}, cache_(limits_) {}

  // What was broken, or nothing.
  std::string run(const std::vector<Step>& steps) {
    for (const Step& step : steps) {
      act(step);
      if (wrong_.empty()) check();
      if (!wrong_.empty()) return wrong_;
    }
    return {};
  }
  std::set<std::string> seen;  // that were met, so that a harness that tests nothing is noticed

 private:
  static constexpr std::size_t kBig = IdempotencyCache::kEntryBytes + IdempotencyCache::kMaxResultBytes;

  static Key key(unsigned n) { return {n, n * 7919ULL}; }
  void must(bool holds, const std::string& what) {
    if (!holds && wrong_.empty()) wrong_ = what;
  }
  Thing* nth_open(unsigned n) {
    std::vector<Thing*> open;
    for (auto& [k, thing] : things_) {
      if (thing.open()) open.push_back(&thing);
    }
    return open.empty() ? nullptr : open[n % open.size()];
  }
  unsigned key_of(const Thing* thing) {
    for (auto& [k, t] : things_) {
      if (&t == thing) return k;
    }
    return 0;
  }
  std::size_t needed() const {  // bytes that must be held
    std::size_t bytes = 0;
    for (const auto& [k, t] : things_) {
      if (t.open()) bytes += kBig;
      if (t.state == EntryState::kCompleted && t.kind == EntryKind::kKeyed)
        bytes += IdempotencyCache::kEntryBytes + (stored_ ? 0 : t.result.size());
      if (t.state == EntryState::kOutcomeUnknown) bytes += IdempotencyCache::kEntryBytes;
    }
    return bytes;
  }
  std::size_t must_stay() const {
    std::size_t n = 0;
    for (const auto& [k, t] : things_) n += t.open() || t.kind == EntryKind::kKeyed;
    return n;
  }

  void act(const Step& s) {
    switch (s.act) {
      case Act::kArrive: return arrive(s);
      case Act::kPass: return pass(s);
      case Act::kStart:
        if (Thing* t = nth_open(s.a)) {
          cache_.mark_running(t->id);
          t->state = EntryState::kRunning;
        }
        return;
      case Act::kEnd:
        if (Thing* t = nth_open(s.a)) end(*t, s);
        return;
      case Act::kLose:
        if (Thing* t = nth_open(s.a)) {
          must(cache_.mark_outcome_unknown(now_, t->id) == t->waiting,
               "lose: other repeats than those that wait");
          t->waiting.clear();
          t->state = EntryState::kOutcomeUnknown;
          t->until = std::max(t->until, now_);
          if (t->kind == EntryKind::kSharedRead) things_.erase(key_of(t));
        }
        return;
      case Act::kRelease:
        if (Thing* t = nth_open(s.a)) {
          must(cache_.release(t->id) == t->waiting, "release: other repeats than those that wait");
          things_.erase(key_of(t));
        }
        return;
      case Act::kLeave:
        for (auto& [k, t] : things_) {
          if (t.waiting.empty()) continue;
          const std::size_t at = s.a % t.waiting.size();
          cache_.remove_waiter(t.waiting[at]);
          t.waiting.erase(t.waiting.begin() + static_cast<std::ptrdiff_t>(at));
          seen.insert("a repeat left");
          return;
        }
        return;
      case Act::kDrop: {
        const auto found = things_.find(s.a % 12);
        const bool there = found != things_.end() && !found->second.open();
        const bool evictable = there && found->second.kind == EntryKind::kSharedRead;
        const bool dropped = cache_.drop(key(s.a % 12));
        must(evictable || dropped == there, "drop: of what is open, or not of what has ended");
        if (dropped && there) things_.erase(found);
        return;
      }
      case Act::kBounds:
        limits_.max_entries = 3 + s.a % 8;
        limits_.max_bytes = (2 + s.b % 10) * kBig;
        cache_.set_limits(limits_);
        return;
      case Act::kRecover:
        if (stored_ && !things_.contains(s.a % 12)) {
          Thing t;
          t.id = ++last_id_;
          t.fingerprint = s.b % 2;
          t.state = s.c % 2 ? EntryState::kCompleted : EntryState::kOutcomeUnknown;
          t.until = now_ + 1 + s.c % 4;
          cache_.restore(t.id, key(s.a % 12), t.fingerprint, t.state == EntryState::kCompleted, t.until);
          recovered_.insert(s.a % 12);
          things_[s.a % 12] = t;
        }
        return;
    }
  }

  void arrive(const Step& s) {
    const unsigned k = s.a % 12;
    const EntryKind kind = k < 9 ? EntryKind::kKeyed : EntryKind::kSharedRead;
    const Fingerprint print = kind == EntryKind::kKeyed ? s.b % 2 : 0;
    const Lookup lookup = cache_.look_up(now_, key(k), print, kind);
    const RequestId id = ++last_id_;
    const auto found = things_.find(k);
    const bool valid = found != things_.end() && (found->second.open() || found->second.until > now_);
    if (valid && (kind == EntryKind::kKeyed || found->second.open())) {
      const Thing& t = found->second;
      const LookupOutcome expected = t.fingerprint != print ? LookupOutcome::kFingerprintMismatch
                                     : t.state == EntryState::kOutcomeUnknown ? LookupOutcome::kOutcomeUnknown
                                                                              : LookupOutcome::kDuplicate;
      must(lookup.outcome == expected, "meet: what must be known was met otherwise");
      if (lookup.outcome == LookupOutcome::kDuplicate)
        must(lookup.original_id == t.id, "meet: another's original");
    }
    if (!valid)
      must(lookup.outcome == LookupOutcome::kMiss || lookup.outcome == LookupOutcome::kNoCapacity,
           "meet: something that is not there");
    seen.insert("met " + std::to_string(static_cast<int>(lookup.outcome)));
    if (lookup.outcome == LookupOutcome::kNoCapacity) {
      must(kind == EntryKind::kKeyed, "no room: for a read");
      must(needed() + kBig > limits_.max_bytes || must_stay() + 1 > limits_.max_entries,
           "no room: though there is");
    } else if (lookup.outcome == LookupOutcome::kDuplicate) {
      join(id, k);
    } else if (lookup.outcome == LookupOutcome::kMiss) {
      if (found != things_.end() && !found->second.open()) things_.erase(found);  // evicted, or over
      const bool kept = cache_.reserve(now_, id, key(k), print, kind, now_ + kWindow);
      must(kept || kind == EntryKind::kSharedRead, "reserve: refused right after there was room");
      recovered_.erase(k);
      if (kept) things_[k] = {id, kind, EntryState::kReserved, print, now_ + kWindow, {}, {}};
    }
  }

  void join(RequestId id, unsigned k) {
    Thing& t = things_.at(k);
    const JoinOutcome joined = cache_.join(id, key(k));
    seen.insert("joined " + std::to_string(static_cast<int>(joined)));
    if (t.open()) {
      must(joined == JoinOutcome::kCoalesced, "join: does not wait for what goes on");
      t.waiting.push_back(id);
      return;
    }
    if (joined == JoinOutcome::kInStore) {
      must(stored_ && t.kind == EntryKind::kKeyed, "join: in a store that is not there");
      return;
    }
    must(joined == JoinOutcome::kInMemory, "join: no result of what has ended");
    const std::string* result = cache_.result_in_memory(key(k));
    must(result != nullptr && *result == t.result, "join: another result");
    must(!recovered_.contains(k), "join: a result in memory that was never there");
  }

  void end(Thing& t, const Step& s) {
    const bool too_long = s.b % 16 == 0;
    std::string result(too_long ? IdempotencyCache::kMaxResultBytes + 1 : s.b % 3000,
                       static_cast<char>('a' + s.c % 26));
    must(cache_.complete(now_, t.id, result) == t.waiting, "end: other repeats than those that wait");
    t.waiting.clear();
    t.until = std::max(t.until, now_);
    t.state = EntryState::kCompleted;
    if (too_long && !stored_) t.state = EntryState::kOutcomeUnknown;
    if (too_long) seen.insert("too long");
    t.result = too_long ? std::string() : std::move(result);
    if (t.kind == EntryKind::kSharedRead) {
      t.until = std::min(t.until, now_ + kFresh);
      if (too_long) things_.erase(key_of(&t));
    }
  }

  void pass(const Step& s) {
    now_ += 0.25 * (s.a % 8);
    const std::vector<Key> gone = cache_.expire(now_, 100);
    std::set<Key> expected;
    for (auto it = things_.begin(); it != things_.end();) {
      const Thing& t = it->second;
      const bool over = !t.open() && t.until <= now_;
      if (over && t.kind == EntryKind::kKeyed) expected.insert(key(it->first));
      it = over ? things_.erase(it) : std::next(it);
    }
    must(std::set<Key>(gone.begin(), gone.end()) == expected, "age: other keys than those that are over");
    if (!gone.empty()) seen.insert("aged");
  }

  void check() {
    must(cache_.is_consistent(), "the sums do not hold");
    must(cache_.used_bytes() <= std::max(limits_.max_bytes, needed()),
         "more bytes than the bound and than must be held");
    must(cache_.entry_count() <= std::max(limits_.max_entries, must_stay()), "more entries than the bound");
    if (cache_.evicted_count() > 0) seen.insert("evicted");
    for (const auto& [k, t] : things_) {
      const IdempotencyCache::Entry* entry = cache_.find(key(k));
      if (t.kind == EntryKind::kKeyed || t.open()) {
        must(entry != nullptr, "forgotten: what must be remembered");
        if (entry) must(entry->state == t.state && entry->id == t.id, "an entry in another state");
      }
    }
  }

  const bool stored_;
  CacheLimits limits_;
  IdempotencyCache cache_;
  std::map<unsigned, Thing> things_;
  std::set<unsigned> recovered_;
  double now_ = 0;
  RequestId last_id_ = 0;
  std::string wrong_;
};

std::vector<Step> history(std::uint64_t seed) {
  pcg32 random(seed);
  std::vector<Step> steps;
  for (int i = 0; i < 120; ++i) {
    const unsigned what = random() % 20;
    Step s;
    s.act = what < 9    ? Act::kArrive
            : what < 11 ? Act::kStart
            : what < 13 ? Act::kEnd
            : what < 14 ? Act::kLose
            : what < 15 ? Act::kRelease
            : what < 16 ? Act::kLeave
            : what < 18 ? Act::kPass
            : what < 19 ? Act::kDrop
            : i % 2     ? Act::kBounds
                        : Act::kRecover;
    s.a = random(), s.b = random(), s.c = random();
    steps.push_back(s);
  }
  return steps;
}

std::vector<Step> shortest(std::vector<Step> steps, bool stored) {
  for (bool shorter = true; shorter;) {
    shorter = false;
    for (std::size_t i = steps.size(); i-- > 0;) {
      std::vector<Step> less = steps;
      less.erase(less.begin() + static_cast<std::ptrdiff_t>(i));
      if (Play(stored).run(less).empty()) continue;
      steps = std::move(less);
      shorter = true;
    }
  }
  return steps;
}

}  // namespace

int main(int argc, char** argv) {
  const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 3000;
  for (const bool stored : {false, true}) {
    std::set<std::string> seen;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      const std::vector<Step> steps = history(seed);
      Play play(stored);
      const std::string wrong = play.run(steps);
      seen.insert(play.seen.begin(), play.seen.end());
      if (wrong.empty()) continue;
      const std::vector<Step> least = shortest(steps, stored);
      std::printf("seed %llu, %s: %s\n", static_cast<unsigned long long>(seed),
                  stored ? "stored" : "in memory", Play(stored).run(least).c_str());
      for (const Step& s : least)
        std::printf("  %s %u %u %u\n", kActs[static_cast<int>(s.act)], s.a % 12, s.b % 16, s.c % 4);
      return 1;
    }
    std::printf("%s: %llu histories hold; seen:", stored ? "stored" : "in memory",
                static_cast<unsigned long long>(seeds));
    for (const std::string& one : seen) std::printf(" %s,", one.c_str());
    std::printf("\n");
  }
  return 0;
}
