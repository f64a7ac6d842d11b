// The keys with the largest values, in a table of fixed size, although clients choose the keys. A new key
// replaces the entry with the smallest value.
//
// Algorithm: space-saving (Metwally, Agrawal and El Abbadi, ICDT 2005). With n entries an upper bound exceeds
// the true value by at most the n-th part of the sum of all additions.
#pragma once

#include <cstddef>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "conns/prefix.h"

namespace damsonspoke::conns {

// Invariant: of each key in the table the true value lies between `lower` and `upper`; the value of any other
// key is at most max_absent(). Replacement goes by the upper bound. A client may be rejected by the lower
// bound only, so that nobody is rejected for what another client did.
class SpaceSaving {
 public:
  struct Entry {
    Prefix key;
    double upper = 0;
    double lower = 0;
  };

  explicit SpaceSaving(std::size_t capacity) : capacity_(capacity) { entries_.reserve(capacity); }

  // Null where the key is not in the table. The pointer is valid until the next change.
  [[nodiscard]] const Entry* find(const Prefix& key) const;
  // The entry of the key. A key that is not in the table is inserted with `initial` as its lower bound and,
  // as its upper one, the larger of `initial` and the bound of the entry that it replaces.
  Entry insert(const Prefix& key, double initial);
  // Does nothing where the key is not in the table.
  void update(const Prefix& key, double upper, double lower);
  // Applies an increasing function to all values.
  template <typename F>
  void transform(F&& function) {
    order_.clear();
    for (std::size_t index = 0; index < entries_.size(); ++index) {
      Entry& entry = entries_[index];
      entry.upper = function(entry.upper);
      entry.lower = function(entry.lower);
      order_.insert({entry.upper, index});
    }
  }
  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  [[nodiscard]] std::size_t capacity() const { return capacity_; }
  // The largest value that a key outside the table may have; minus infinity while the table is not full.
  [[nodiscard]] double max_absent() const;

 private:
  const std::size_t capacity_;
  std::vector<Entry> entries_;
  std::unordered_map<Prefix, std::size_t, PrefixHash> index_by_key_;
  std::set<std::pair<double, std::size_t>> order_;  // upper bounds and indices
};

}  // namespace damsonspoke::conns
