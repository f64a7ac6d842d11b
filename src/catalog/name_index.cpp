#include "catalog/name_index.h"

#include <xxhash.h>

#include <bit>
#include <cstring>

namespace damsonspoke::catalog {
namespace {

constexpr std::size_t kLengthBytes = sizeof(std::uint16_t);

}  // namespace

std::uint64_t keyed_hash(std::string_view name, std::uint64_t key) {
  return XXH3_64bits_withSeed(name.data(), name.size(), key);
}

// ---- NameArena. A name stands behind two bytes with its length; the reference is block and offset.

NameArena::Reference NameArena::add(std::string_view name) {
  Reference reference = 0;
  std::vector<Reference>& removed = removed_[name.size()];
  if (!removed.empty()) {
    reference = removed.back();
    removed.pop_back();
  } else {
    if (used_ + kLengthBytes + name.size() > kBlockBytes) {
      blocks_.push_back(std::make_unique_for_overwrite<char[]>(kBlockBytes));
      used_ = 0;
    }
    reference = static_cast<Reference>((blocks_.size() - 1) << kBlockBits | used_);
    used_ += kLengthBytes + name.size();
  }
  char* to = blocks_[reference >> kBlockBits].get() + (reference & (kBlockBytes - 1));
  const auto length = static_cast<std::uint16_t>(name.size());
  std::memcpy(to, &length, kLengthBytes);
  std::memcpy(to + kLengthBytes, name.data(), name.size());
  return reference;
}

void NameArena::remove(Reference reference) { removed_[at(reference).size()].push_back(reference); }

std::string_view NameArena::at(Reference reference) const {
  const char* from = blocks_[reference >> kBlockBits].get() + (reference & (kBlockBytes - 1));
  std::uint16_t length = 0;
  std::memcpy(&length, from, kLengthBytes);
  return {from + kLengthBytes, length};
}

std::size_t NameArena::memory_bytes() const { return blocks_.size() * kBlockBytes; }

bool NameArena::release(std::size_t blocks) {
  for (; blocks > 0 && !blocks_.empty(); --blocks) blocks_.pop_back();
  return !blocks_.empty();
}

// ---- NameIndex.

NameIndex::NameIndex(std::size_t most, std::uint64_t key, HashFunction hash)
    : most_(most), cells_(std::bit_ceil(2 * most + 2)), key_(key), hash_(hash), table_(cells_) {}

std::uint32_t NameIndex::hash_of(std::string_view name) const {
  return static_cast<std::uint32_t>(hash_(name, key_));
}

// Its cell, or the free one where it would stand.
std::size_t NameIndex::cell_of(std::string_view name, std::uint32_t hash) const {
  std::size_t at = hash & (cells_ - 1);
  while (table_[at].used() && (table_[at].hash != hash || arena_.at(table_[at].name) != name))
    at = (at + 1) & (cells_ - 1);
  return at;
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

// The cells behind it move up, so that no look-up meets a gap.
void NameIndex::remove(std::string_view name) {
  std::size_t gap = cell_of(name, hash_of(name));
  if (!table_[gap].used()) return;
  arena_.remove(table_[gap].name);
  --size_;
  for (std::size_t at = (gap + 1) & (cells_ - 1); table_[at].used(); at = (at + 1) & (cells_ - 1)) {
    const std::size_t home = table_[at].hash & (cells_ - 1);
    const std::size_t from_home = (at - home) & (cells_ - 1), from_gap = (at - gap) & (cells_ - 1);
    if (from_home < from_gap) continue;  // it may not stand before its home
    table_.writable(gap) = table_[at];
    gap = at;
  }
  table_.writable(gap) = {};
}

}  // namespace damsonspoke::catalog
