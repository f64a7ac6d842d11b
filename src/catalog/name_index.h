// An index of names: finds a name's position in constant time, in a bounded and compact memory. Pure; nothing
// is allocated on a look-up.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "catalog/paged_array.h"

namespace damsonspoke::catalog {

// A keyed hash. Callers draw the key, so that nobody can choose names that share a hash.
using HashFunction = std::uint64_t (*)(std::string_view name, std::uint64_t key);
std::uint64_t keyed_hash(std::string_view name, std::uint64_t key);

// Names without their terminators, one after another in blocks; the room of a name that is removed is used
// again by one of the same length.
class NameArena {
 public:
  using Reference = std::uint32_t;
  static constexpr std::size_t kMaxNameBytes = 1024;  // bytes

  Reference add(std::string_view name);
  void remove(Reference reference);
  std::string_view at(Reference reference) const;
  std::size_t memory_bytes() const;
  bool release(std::size_t blocks);  // at most so many; false when none are left

 private:
  static constexpr std::size_t kBlockBits = 16;
  static constexpr std::size_t kBlockBytes = std::size_t{1} << kBlockBits;

  std::vector<std::unique_ptr<char[]>> blocks_;
  std::size_t used_ = kBlockBytes;                         // of the last block
  std::map<std::size_t, std::vector<Reference>> removed_;  // by length
};

// Open addressing with linear probing; at most half of the cells are in use. There are cells for `most` names
// from the start, so that it never has to be built anew.
class NameIndex {
 public:
  NameIndex(std::size_t most, std::uint64_t key, HashFunction hash = keyed_hash);

  int find(std::string_view name) const;  // its position; -1: unknown
  // The name must be unknown, and there must be room.
  NameArena::Reference add(std::string_view name, int position);
  std::string_view name(NameArena::Reference reference) const { return arena_.at(reference); }
  void remove(std::string_view name);

  std::size_t size() const { return size_; }
  std::size_t most() const { return most_; }
  std::size_t memory_bytes() const { return table_.memory_bytes() + arena_.memory_bytes(); }
  // Calls `visit` with the name and the position of each cell in use, from cell `from` on, at most `count`
  // cells; returns the next cell, or cells() at the end.
  template <typename Visit>
  std::size_t visit(std::size_t from, std::size_t count, Visit&& visit) const {
    std::size_t at = from;
    for (; at < cells_ && at < from + count; ++at) {
      if (table_[at].used()) visit(arena_.at(table_[at].name), table_[at].position());
    }
    return at;
  }
  std::size_t cells() const { return cells_; }
  // For one that is no longer looked at: gives back at most so many pages. False when none are left.
  bool release(std::size_t pages) { return table_.release(pages) || arena_.release(pages); }

 private:
  // All zero: not in use.
  struct Cell {
    std::uint32_t hash;
    std::int32_t position_plus_1;
    NameArena::Reference name;
    bool used() const { return position_plus_1 != 0; }
    int position() const { return position_plus_1 - 1; }
  };
  std::uint32_t hash_of(std::string_view name) const;
  std::size_t cell_of(std::string_view name, std::uint32_t hash) const;

  std::size_t most_, cells_, size_ = 0;
  std::uint64_t key_;
  HashFunction hash_;
  PagedArray<Cell> table_;
  NameArena arena_;
};

}  // namespace damsonspoke::catalog
