// Who is seen most, in fixed memory, though whoever connects chooses the addresses: a table of so many keys
// in which a new one takes the place of the least. Each entry has two values: `upper`, at least what is true,
// by which places are given away, and `lower`, at most what is true, on which alone anybody may be refused.
// So nobody is refused for what another did, and who does more than the error below is in the table.
//
// After the space-saving algorithm (Metwally, Agrawal and El Abbadi, ICDT 2005): with n keys, `upper` is
// wrong by at most the n-th part of all that was added.
#pragma once

#include <cstddef>
#include <set>
#include <unordered_map>
#include <vector>

#include "conns/prefix.h"

namespace damsonspoke::conns {

class SpaceSaving {
 public:
  struct Entry {
    Prefix key;
    double upper = 0, lower = 0;
  };
  explicit SpaceSaving(std::size_t entries) : capacity_(entries) { entries_.reserve(entries); }

  const Entry* find(const Prefix& key) const;
  // A key that is not there is entered with `nothing` for its lower value, and for its upper one the higher
  // of that and what the entry had whose place it takes.
  Entry insert(const Prefix& key, double nothing);
  void update(const Prefix& key, double upper, double lower);  // of one that is there
  // All values at once, by a function that keeps their order.
  template <typename F>
  void transform(F&& to) {
    order_.clear();
    for (std::size_t at = 0; at < entries_.size(); ++at) {
      Entry& entry = entries_[at];
      entry.upper = to(entry.upper), entry.lower = to(entry.lower);
      order_.insert({entry.upper, at});
    }
  }
  std::size_t size() const { return entries_.size(); }
  std::size_t capacity() const { return capacity_; }
  // No key that is not in the table has more than this.
  double max_absent() const;

 private:
  const std::size_t capacity_;
  std::vector<Entry> entries_;
  std::unordered_map<Prefix, std::size_t, PrefixHash> at_;
  std::set<std::pair<double, std::size_t>> order_;  // by upper
};

// New connections by prefix: at most `rate` a second on the long run and `burst` at once. A leaky bucket kept
// as the time at which it will be empty (the theoretical arrival time of ITU-T I.371's generic cell rate
// algorithm): all empty equally fast, so the order of entries does not change as time passes.
class RateSketch {
 public:
  RateSketch(std::size_t entries, double rate, double burst)
      : entries_(entries), rate_(rate), burst_(burst) {}
  bool has_capacity(const Prefix& key, double now) const;
  void add(const Prefix& key, double now);
  double wait_seconds(const Prefix& key, double now) const;  // s until there is room
  double max_error(
      double now) const;  // connections that one outside the table may have had beyond what is reckoned
  // Other terms from now on; what is in the buckets stays. Guards against times reckoned at the old rate, by
  // which a client would wait as long as before a limit was raised.
  void reconfigure(double rate, double burst, double now);

 private:
  SpaceSaving entries_;
  double rate_, burst_;
};

// What clients have wasted, in points that fade to half in `half_life` seconds. Kept as the time at which one
// point would be left, in half-lives: its order does not change as time passes either.
class DecayingScoreSketch {
 public:
  DecayingScoreSketch(std::size_t entries, double half_life) : entries_(entries), half_life_(half_life) {}
  double score(const Prefix& key, double now) const;
  void add(const Prefix& key, double points, double now);
  double seconds_until(const Prefix& key, double points, double now) const;  // s until then
  void reconfigure(double half_life, double now);                            // points stay what they are

 private:
  SpaceSaving entries_;
  double half_life_;
};

}  // namespace damsonspoke::conns
