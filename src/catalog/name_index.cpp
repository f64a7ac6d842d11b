#include "catalog/name_index.h"

#include <xxhash.h>

#include <bit>

namespace damsonspoke::catalog {

std::uint64_t keyed_hash(std::string_view name, std::uint64_t key) {
  return XXH3_64bits_withSeed(name.data(), name.size(), key);
}

NameIndex::NameIndex(std::size_t capacity, std::uint64_t key, HashFunction hash)
    : capacity_(capacity), cells_(std::bit_ceil(2 * capacity + 2)), key_(key), hash_(hash), table_(cells_) {}

std::uint32_t NameIndex::hash_of(std::string_view name) const {
  return static_cast<std::uint32_t>(hash_(name, key_));
}

// The cell of a name, or the free cell to which it would be added.
std::size_t NameIndex::cell_of(std::string_view name, std::uint32_t hash) const {
  std::size_t cell = hash & (cells_ - 1);
  while (table_[cell].used() && (table_[cell].hash != hash || arena_.at(table_[cell].name) != name))
    cell = next_cell(cell);
  return cell;
}

int NameIndex::find(std::string_view name) const {
  const Cell& cell = table_[cell_of(name, hash_of(name))];
  return cell.used() ? cell.position() : -1;
}

NameArena::Reference NameIndex::add(std::string_view name, int position) {
  const std::uint32_t hash = hash_of(name);
  const NameArena::Reference reference = arena_.add(name);
  table_.writable(cell_of(name, hash)) = {hash, position + 1, reference};
  ++size_;
  return reference;
}

// Deletion by backward shift (Knuth, TAOCP vol. 3, 6.4, algorithm R): cells after the gap move up, so that no
// tombstones are needed.
void NameIndex::remove(std::string_view name) {
  std::size_t gap = cell_of(name, hash_of(name));
  if (!table_[gap].used()) return;
  arena_.remove(table_[gap].name);
  --size_;
  for (std::size_t cell = next_cell(gap); table_[cell].used(); cell = next_cell(cell)) {
    const std::size_t preferred = table_[cell].hash & (cells_ - 1);
    const std::size_t distance_to_preferred = (cell - preferred) & (cells_ - 1);
    const std::size_t distance_to_gap = (cell - gap) & (cells_ - 1);
    if (distance_to_preferred < distance_to_gap) continue;  // a name must not move before its preferred cell
    table_.writable(gap) = table_[cell];
    gap = cell;
  }
  table_.writable(gap) = {};
}

}  // namespace damsonspoke::catalog
