#include "conns/space_saving.h"

#include <algorithm>
#include <limits>

namespace damsonspoke::conns {

const SpaceSaving::Entry* SpaceSaving::find(const Prefix& key) const {
  const auto found = index_by_key_.find(key);
  return found == index_by_key_.end() ? nullptr : &entries_[found->second];
}

SpaceSaving::Entry SpaceSaving::insert(const Prefix& key, double initial) {
  if (const Entry* existing = find(key)) return *existing;
  std::size_t index = entries_.size();
  double upper = initial;
  if (index < capacity_) {
    entries_.emplace_back();
  } else {
    const auto smallest = order_.begin();
    index = smallest->second;
    upper = std::max(initial, smallest->first);
    order_.erase(smallest);
    index_by_key_.erase(entries_[index].key);
  }
  entries_[index] = {key, upper, initial};
  index_by_key_[key] = index;
  order_.insert({upper, index});
  return entries_[index];
}

void SpaceSaving::update(const Prefix& key, double upper, double lower) {
  const auto found = index_by_key_.find(key);
  if (found == index_by_key_.end()) return;
  Entry& entry = entries_[found->second];
  order_.erase({entry.upper, found->second});
  entry.upper = upper;
  entry.lower = lower;
  order_.insert({upper, found->second});
}

double SpaceSaving::max_absent() const {
  return entries_.size() < capacity_ ? -std::numeric_limits<double>::infinity() : order_.begin()->first;
}

}  // namespace damsonspoke::conns
