// Maps names to positions in constant time and in compact, bounded memory. Lookups do not allocate.
#pragma once

#include <cstdint>
#include <string_view>

#include "catalog/name_arena.h"
#include "catalog/paged_array.h"

namespace damsonspoke::catalog {

using HashFunction = std::uint64_t (*)(std::string_view name, std::uint64_t key);
// XXH3 with a key. The key must be random, so that an attacker can't choose names that collide.
std::uint64_t keyed_hash(std::string_view name, std::uint64_t key);

// A hash table with open addressing and linear probing; at most half of its cells are used. All cells for
// `capacity` names exist from the start, so that the table is never rehashed.
class NameIndex {
 public:
  NameIndex(std::size_t capacity, std::uint64_t key, HashFunction hash = keyed_hash);

  // The position of a name; -1 if it is unknown.
  int find(std::string_view name) const;
  // Precondition: the name is unknown and size() < capacity().
  NameArena::Reference add(std::string_view name, int position);
  // Does nothing if the name is unknown.
  void remove(std::string_view name);
  std::string_view name(NameArena::Reference reference) const { return arena_.at(reference); }

  std::size_t size() const { return size_; }
  std::size_t capacity() const { return capacity_; }
  std::size_t memory_bytes() const { return table_.memory_bytes() + arena_.memory_bytes(); }

  // Calls `visitor` with the name and the position of each used cell among `count` cells from `first` on.
  // Returns the next cell to visit, cells() at the end.
  template <typename Visitor>
  std::size_t visit(std::size_t first, std::size_t count, Visitor&& visitor) const {
    std::size_t cell = first;
    for (; cell < cells_ && cell < first + count; ++cell) {
      if (table_[cell].used()) visitor(arena_.at(table_[cell].name), table_[cell].position());
    }
    return cell;
  }
  std::size_t cells() const { return cells_; }

  // Frees at most `count` pages of an index that is no longer used. Returns false when none are left.
  bool release_pages(std::size_t count) {
    return table_.release_pages(count) || arena_.release_blocks(count);
  }

 private:
  // All zero if it is not used.
  struct Cell {
    std::uint32_t hash;
    std::int32_t position_plus_1;
    NameArena::Reference name;
    bool used() const { return position_plus_1 != 0; }
    int position() const { return position_plus_1 - 1; }
  };
  std::uint32_t hash_of(std::string_view name) const;
  std::size_t cell_of(std::string_view name, std::uint32_t hash) const;
  std::size_t next_cell(std::size_t cell) const { return (cell + 1) & (cells_ - 1); }

  std::size_t capacity_;
  std::size_t cells_;  // a power of 2
  std::size_t size_ = 0;
  std::uint64_t key_;
  HashFunction hash_;
  PagedArray<Cell> table_;
  NameArena arena_;
};

}  // namespace damsonspoke::catalog
