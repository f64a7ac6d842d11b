// Named entries at stable positions. An entry keeps its position while it exists, also when a successor
// replaces the table. Generations distinguish entries that occupy the same position one after another.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

#include "catalog/name_index.h"

namespace damsonspoke::catalog {

// Value: a trivially copyable type with a member `std::uint32_t generation`; 0 marks a free position.
template <typename Value>
class EntryTable {
 public:
  // Holds at most `capacity` entries. There are twice as many positions, because a table and its successor
  // may have no name in common.
  EntryTable(std::size_t capacity, std::uint64_t key, HashFunction hash = keyed_hash)
      : names_(capacity, key, hash), slots_(2 * capacity + 1) {}

  // The position of an entry; -1 if the name is unknown.
  int find(std::string_view name) const { return names_.find(name); }
  const Value& at(int position) const { return slots_[static_cast<std::size_t>(position)].value; }
  // Precondition: there is an entry at this position.
  std::string_view name_of(int position) const {
    return names_.name(slots_[static_cast<std::size_t>(position)].name);
  }
  std::size_t size() const { return names_.size(); }
  bool is_full() const { return names_.size() >= names_.capacity(); }
  std::size_t max_positions() const { return 2 * names_.capacity(); }
  std::size_t memory_bytes() const {
    return names_.memory_bytes() + slots_.memory_bytes() + free_positions_.capacity() * sizeof(int);
  }
  const NameIndex& names() const { return names_; }

  // Adds an entry, or replaces the value of an existing one. Returns its position. Precondition for a new
  // entry: the table is not full. If this table is the successor of `predecessor`, an entry of the same name
  // keeps the position and generation that it has there.
  int put(std::string_view name, Value value, const EntryTable* predecessor = nullptr) {
    if (const int position = names_.find(name); position >= 0) {
      value.generation = at(position).generation;
      slots_.writable(static_cast<std::size_t>(position)).value = value;
      return position;
    }
    int position = predecessor != nullptr ? predecessor->find(name) : -1;
    if (position >= 0) {
      value.generation = predecessor->at(position).generation;
    } else {
      position = allocate_position(predecessor);
      value.generation = ++last_generation_;
    }
    position_count_ = std::max(position_count_, static_cast<std::size_t>(position) + 1);
    slots_.writable(static_cast<std::size_t>(position)) = {value, names_.add(name, position)};
    return position;
  }

  // Does nothing if the name is unknown.
  void remove(std::string_view name) {
    const int position = names_.find(name);
    if (position < 0) return;
    names_.remove(name);
    slots_.writable(static_cast<std::size_t>(position)).value.generation = 0;
    free_positions_.push_back(position);
  }

  // Call this on a successor before its first entry, so that its new entries get generations that the
  // predecessor has not used.
  void continue_generations_of(const EntryTable& predecessor) {
    last_generation_ = predecessor.last_generation_;
  }
  // Call this on a successor that has all its entries: collects the free ones among the next `count`
  // positions. Returns false when all positions have been checked.
  bool collect_free_positions(std::size_t count) {
    const std::size_t end = std::min(position_count_, free_scan_position_ + count);
    for (; free_scan_position_ < end; ++free_scan_position_) {
      if (slots_[free_scan_position_].value.generation == 0)
        free_positions_.push_back(static_cast<int>(free_scan_position_));
    }
    return free_scan_position_ < position_count_;
  }

  // Frees at most `count` pages of a table that is no longer used. Returns false when none are left.
  bool release_pages(std::size_t count) { return slots_.release_pages(count) || names_.release_pages(count); }

 private:
  struct Slot {
    Value value;
    NameArena::Reference name;
  };

  // A successor does not use positions that are in use in its predecessor.
  int allocate_position(const EntryTable* predecessor) {
    if (predecessor != nullptr) {
      const std::vector<int>& free = predecessor->free_positions_;
      if (predecessor_positions_reused_ < free.size()) return free[predecessor_positions_reused_++];
      return static_cast<int>(std::max(position_count_, predecessor->position_count_));
    }
    if (free_positions_.empty()) return static_cast<int>(position_count_);
    const int position = free_positions_.back();
    free_positions_.pop_back();
    return position;
  }

  NameIndex names_;
  PagedArray<Slot> slots_;          // by position
  std::size_t position_count_ = 0;  // all positions that were ever used are below it
  std::vector<int> free_positions_;
  std::size_t predecessor_positions_reused_ = 0;  // how many of the predecessor's free positions are used
  std::size_t free_scan_position_ = 0;
  std::uint32_t last_generation_ = 0;
};

}  // namespace damsonspoke::catalog
