// A table of fixed size that holds the keys with the largest values, whatever keys clients choose. A new key
// replaces the entry with the smallest value.
//
// Algorithm: space-saving (Metwally, Agrawal and El Abbadi, ICDT 2005). With n entries an upper bound exceeds
// the true value by at most 1/n of the sum of all additions.
#pragma once

#include <cstddef>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "conns/prefix.h"

namespace damsonspoke::conns {

// Invariant: of each key in the table the true value lies between `lower` and `upper`; the value of any other
// key is at most max_absent(). The entry with the smallest upper bound is replaced. Clients must be rejected
// by their lower bound only, so that no client is rejected because of another one.
class SpaceSaving {
 public:
  struct Entry {
    Prefix key;
    double upper = 0;
    double lower = 0;
  };

  explicit SpaceSaving(std::size_t capacity) : capacity_(capacity) { entries_.reserve(capacity); }

  // Null if the key is not in the table. The pointer is valid until the next change.
  [[nodiscard]] const Entry* find(const Prefix& key) const;
  // Returns the entry of the key. A key that is not in the table is inserted with `initial` as its lower
  // bound; its upper bound is the larger of `initial` and the upper bound of the entry that it replaces.
  Entry insert(const Prefix& key, double initial);
  // Does nothing if the key is not in the table.
  void update(const Prefix& key, double upper, double lower);
  // Applies a monotonically increasing function to all values.
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
