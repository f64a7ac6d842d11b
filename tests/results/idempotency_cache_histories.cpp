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
  Kind kind = Kind::kKeyed;
  State state = State::kReserved;
  Fingerprint fingerprint = 0;
  double until = 0;
  std::string result;
  std::vector<RequestId> waiting;
  bool open() const { return state == State::kReserved || state == State::kRunning; }
};

constexpr double kFresh = 2, kWindow = 6;

// Everything in plain lists; no room, no index, no order of eviction.
class Play {
 public:
  explicit Play(bool stored) : stored_(stored), bounds_{12 * kBig, 8, stored, kFresh}, table_(bounds_) {}

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
  static constexpr std::size_t kBig = IdempotencyCache::kEntryBytes + IdempotencyCache::kMostResult;

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
      if (t.state == State::kEnded && t.kind == Kind::kKeyed)
        bytes += IdempotencyCache::kEntryBytes + (stored_ ? 0 : t.result.size());
      if (t.state == State::kUnknown) bytes += IdempotencyCache::kEntryBytes;
    }
    return bytes;
  }
  std::size_t must_stay() const {
    std::size_t n = 0;
    for (const auto& [k, t] : things_) n += t.open() || t.kind == Kind::kKeyed;
    return n;
  }

  void act(const Step& s) {
    switch (s.act) {
      case Act::kArrive: return arrive(s);
      case Act::kPass: return pass(s);
      case Act::kStart:
        if (Thing* t = nth_open(s.a)) {
          table_.start(t->id);
          t->state = State::kRunning;
        }
        return;
      case Act::kEnd:
        if (Thing* t = nth_open(s.a)) end(*t, s);
        return;
      case Act::kLose:
        if (Thing* t = nth_open(s.a)) {
          must(table_.lose(now_, t->id) == t->waiting, "lose: other repeats than those that wait");
          t->waiting.clear();
          t->state = State::kUnknown;
          t->until = std::max(t->until, now_);
          if (t->kind == Kind::kShared) things_.erase(key_of(t));
        }
        return;
      case Act::kRelease:
        if (Thing* t = nth_open(s.a)) {
          must(table_.release(t->id) == t->waiting, "release: other repeats than those that wait");
          things_.erase(key_of(t));
        }
        return;
      case Act::kLeave:
        for (auto& [k, t] : things_) {
          if (t.waiting.empty()) continue;
          const std::size_t at = s.a % t.waiting.size();
          table_.leave(t.waiting[at]);
          t.waiting.erase(t.waiting.begin() + static_cast<std::ptrdiff_t>(at));
          seen.insert("a repeat left");
          return;
        }
        return;
      case Act::kDrop: {
        const auto found = things_.find(s.a % 12);
        const bool there = found != things_.end() && !found->second.open();
        const bool evictable = there && found->second.kind == Kind::kShared;
        const bool dropped = table_.drop(key(s.a % 12));
        must(evictable || dropped == there, "drop: of what is open, or not of what has ended");
        if (dropped && there) things_.erase(found);
        return;
      }
      case Act::kBounds:
        bounds_.entries = 3 + s.a % 8;
        bounds_.bytes = (2 + s.b % 10) * kBig;
        table_.set_bounds(bounds_);
        return;
      case Act::kRecover:
        if (stored_ && !things_.contains(s.a % 12)) {
          Thing t;
          t.id = ++last_id_;
          t.fingerprint = s.b % 2;
          t.state = s.c % 2 ? State::kEnded : State::kUnknown;
          t.until = now_ + 1 + s.c % 4;
          table_.recover(t.id, key(s.a % 12), t.fingerprint, t.state == State::kEnded, t.until);
          recovered_.insert(s.a % 12);
          things_[s.a % 12] = t;
        }
        return;
    }
  }

  void arrive(const Step& s) {
    const unsigned k = s.a % 12;
    const Kind kind = k < 9 ? Kind::kKeyed : Kind::kShared;
    const Fingerprint print = kind == Kind::kKeyed ? s.b % 2 : 0;
    const Lookup met = table_.meet(now_, key(k), print, kind);
    const RequestId id = ++last_id_;
    const auto found = things_.find(k);
    const bool valid = found != things_.end() && (found->second.open() || found->second.until > now_);
    if (valid && (kind == Kind::kKeyed || found->second.open())) {
      const Thing& t = found->second;
      const LookupOutcome expected = t.fingerprint != print       ? LookupOutcome::kOtherBody
                                     : t.state == State::kUnknown ? LookupOutcome::kUnknown
                                                                  : LookupOutcome::kRepeat;
      must(met.what == expected, "meet: what must be known was met otherwise");
      if (met.what == LookupOutcome::kRepeat) must(met.original == t.id, "meet: another's original");
    }
    if (!valid)
      must(met.what == LookupOutcome::kNew || met.what == LookupOutcome::kNoRoom,
           "meet: something that is not there");
    seen.insert("met " + std::to_string(static_cast<int>(met.what)));
    if (met.what == LookupOutcome::kNoRoom) {
      must(kind == Kind::kKeyed, "no room: for a read");
      must(needed() + kBig > bounds_.bytes || must_stay() + 1 > bounds_.entries, "no room: though there is");
    } else if (met.what == LookupOutcome::kRepeat) {
      join(id, k);
    } else if (met.what == LookupOutcome::kNew) {
      if (found != things_.end() && !found->second.open()) things_.erase(found);  // evicted, or over
      const bool kept = table_.reserve(now_, id, key(k), print, kind, now_ + kWindow);
      must(kept || kind == Kind::kShared, "reserve: refused right after there was room");
      recovered_.erase(k);
      if (kept) things_[k] = {id, kind, State::kReserved, print, now_ + kWindow, {}, {}};
    }
  }

  void join(RequestId id, unsigned k) {
    Thing& t = things_.at(k);
    const JoinOutcome joined = table_.join(id, key(k));
    seen.insert("joined " + std::to_string(static_cast<int>(joined)));
    if (t.open()) {
      must(joined == JoinOutcome::kWaits, "join: does not wait for what goes on");
      t.waiting.push_back(id);
      return;
    }
    if (joined == JoinOutcome::kStored) {
      must(stored_ && t.kind == Kind::kKeyed, "join: in a store that is not there");
      return;
    }
    must(joined == JoinOutcome::kHere, "join: no result of what has ended");
    const std::string* result = table_.result(key(k));
    must(result != nullptr && *result == t.result, "join: another result");
    must(!recovered_.contains(k), "join: a result in memory that was never there");
  }

  void end(Thing& t, const Step& s) {
    const bool too_long = s.b % 16 == 0;
    std::string result(too_long ? IdempotencyCache::kMostResult + 1 : s.b % 3000,
                       static_cast<char>('a' + s.c % 26));
    must(table_.end(now_, t.id, result) == t.waiting, "end: other repeats than those that wait");
    t.waiting.clear();
    t.until = std::max(t.until, now_);
    t.state = State::kEnded;
    if (too_long && !stored_) t.state = State::kUnknown;
    if (too_long) seen.insert("too long");
    t.result = too_long ? std::string() : std::move(result);
    if (t.kind == Kind::kShared) {
      t.until = std::min(t.until, now_ + kFresh);
      if (too_long) things_.erase(key_of(&t));
    }
  }

  void pass(const Step& s) {
    now_ += 0.25 * (s.a % 8);
    const std::vector<Key> gone = table_.age(now_, 100);
    std::set<Key> expected;
    for (auto it = things_.begin(); it != things_.end();) {
      const Thing& t = it->second;
      const bool over = !t.open() && t.until <= now_;
      if (over && t.kind == Kind::kKeyed) expected.insert(key(it->first));
      it = over ? things_.erase(it) : std::next(it);
    }
    must(std::set<Key>(gone.begin(), gone.end()) == expected, "age: other keys than those that are over");
    if (!gone.empty()) seen.insert("aged");
  }

  void check() {
    must(table_.consistent(), "the sums do not hold");
    must(table_.bytes() <= std::max(bounds_.bytes, needed()),
         "more bytes than the bound and than must be held");
    must(table_.entries() <= std::max(bounds_.entries, must_stay()), "more entries than the bound");
    if (table_.evicted() > 0) seen.insert("evicted");
    for (const auto& [k, t] : things_) {
      const IdempotencyCache::Entry* entry = table_.find(key(k));
      if (t.kind == Kind::kKeyed || t.open()) {
        must(entry != nullptr, "forgotten: what must be remembered");
        if (entry) must(entry->state == t.state && entry->id == t.id, "an entry in another state");
      }
    }
  }

  const bool stored_;
  CacheLimits bounds_;
  IdempotencyCache table_;
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
