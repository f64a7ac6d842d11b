#include "catalog/name_arena.h"

#include <cstring>

namespace damsonspoke::catalog {
namespace {

constexpr std::size_t kLengthBytes = sizeof(std::uint16_t);

}  // namespace

NameArena::Reference NameArena::allocate(std::size_t length) {
  std::vector<Reference>& removed = removed_by_length_[length];
  if (!removed.empty()) {
    const Reference reference = removed.back();
    removed.pop_back();
    return reference;
  }
  if (last_block_used_bytes_ + kLengthBytes + length > kBlockBytes) {
    blocks_.push_back(std::make_unique_for_overwrite<char[]>(kBlockBytes));
    last_block_used_bytes_ = 0;
  }
  const auto reference = static_cast<Reference>((blocks_.size() - 1) << kBlockBits | last_block_used_bytes_);
  last_block_used_bytes_ += kLengthBytes + length;
  return reference;
}

NameArena::Reference NameArena::add(std::string_view name) {
  const Reference reference = allocate(name.size());
  char* to = blocks_[reference >> kBlockBits].get() + (reference & (kBlockBytes - 1));
  const auto length = static_cast<std::uint16_t>(name.size());
  std::memcpy(to, &length, kLengthBytes);
  std::memcpy(to + kLengthBytes, name.data(), name.size());
  return reference;
}

void NameArena::remove(Reference reference) { removed_by_length_[at(reference).size()].push_back(reference); }

std::string_view NameArena::at(Reference reference) const {
  const char* from = blocks_[reference >> kBlockBits].get() + (reference & (kBlockBytes - 1));
  std::uint16_t length = 0;
  std::memcpy(&length, from, kLengthBytes);
  return {from + kLengthBytes, length};
}

bool NameArena::release_blocks(std::size_t count) {
  for (; count > 0 && !blocks_.empty(); --count) blocks_.pop_back();
  return !blocks_.empty();
}

}  // namespace damsonspoke::catalog
