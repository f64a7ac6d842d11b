// Named entries at stable positions. An entry keeps its position while it exists, also over the change to a
// successor of the table; a position that another entry takes later is told apart by the entry's life.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

#include "catalog/name_index.h"

namespace damsonspoke::catalog {

// Value: a plain type with a member `std::uint32_t life`; 0, as in memory that is all zero, marks a position
// that nobody has.
template <typename Value>
class Table {
 public:
  // At most `most` entries. Two generations may have names of their own, hence twice as many positions.
  Table(std::size_t most, std::uint64_t key, HashFunction hash = keyed_hash)
      : names_(most, key, hash), slots_(2 * most + 1) {}

  int find(std::string_view name) const { return names_.find(name); }
  const Value& at(int position) const { return slots_[static_cast<std::size_t>(position)].value; }
  // Of an entry that is there.
  std::string_view name_of(int position) const {
    return names_.name(slots_[static_cast<std::size_t>(position)].name);
  }
  std::size_t size() const { return names_.size(); }
  bool full() const { return names_.size() >= names_.most(); }
  std::size_t max_positions() const { return 2 * names_.most(); }
  std::size_t memory_bytes() const {
    return names_.memory_bytes() + slots_.memory_bytes() + free_.capacity() * sizeof(int);
  }
  const NameIndex& names() const { return names_; }

  // Adds an entry, or gives one that is there another value. A new one must find room (see full()). Where
  // this table is to succeed another one, an entry of the same name there has its position and life.
  int put(std::string_view name, Value value, const Table* predecessor = nullptr) {
    int position = names_.find(name);
    if (position >= 0) {
      value.generation = at(position).generation;
      slots_.writable(static_cast<std::size_t>(position)).value = value;
      return position;
    }
    if (const int before = predecessor != nullptr ? predecessor->find(name) : -1; before >= 0) {
      position = before;
      value.generation = predecessor->at(before).generation;
    } else {
      position = new_position(predecessor);
      value.generation = ++last_generation_;
    }
    positions_ = std::max(positions_, static_cast<std::size_t>(position) + 1);
    slots_.writable(static_cast<std::size_t>(position)) = {value, names_.add(name, position)};
    return position;
  }

  void remove(std::string_view name) {
    const int position = names_.find(name);
    if (position < 0) return;
    names_.remove(name);
    slots_.writable(static_cast<std::size_t>(position)).value.generation = 0;
    free_.push_back(position);
  }

  // Of a successor, before its first entry: the lives that its predecessor has given are not given again.
  void continue_generations_of(const Table& predecessor) { last_generation_ = predecessor.last_generation_; }
  // Of a successor that is complete: looks at `count` more positions for those that nobody has. False when
  // all are known.
  bool collect_free_positions(std::size_t count) {
    const std::size_t end = std::min(positions_, free_scan_position_ + count);
    for (; free_scan_position_ < end; ++free_scan_position_) {
      if (slots_[free_scan_position_].value.generation == 0)
        free_.push_back(static_cast<int>(free_scan_position_));
    }
    return free_scan_position_ < positions_;
  }

  // For one that is no longer looked at: gives back at most so many pages. False when none are left.
  bool release(std::size_t pages) { return slots_.release(pages) || names_.release(pages); }

 private:
  struct Slot {
    Value value;
    NameArena::Reference name;
  };
  // While a predecessor is in force, positions that it uses are left alone.
  int new_position(const Table* predecessor) {
    const std::vector<int>& free = predecessor != nullptr ? predecessor->free_ : free_;
    if (predecessor != nullptr && taken_ < free.size()) return free[taken_++];
    if (predecessor != nullptr) return static_cast<int>(std::max(positions_, predecessor->positions_));
    if (free.empty()) return static_cast<int>(positions_);
    const int position = free_.back();
    free_.pop_back();
    return position;
  }

  NameIndex names_;
  PagedArray<Slot> slots_;     // by position
  std::size_t positions_ = 0;  // so many were ever in use
  std::vector<int> free_;      // of them
  std::size_t taken_ = 0;      // of the free positions of a predecessor
  std::size_t free_scan_position_ = 0;
  std::uint32_t last_generation_ = 0;
};

}  // namespace damsonspoke::catalog
