// Stores names compactly in consecutive memory blocks.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace damsonspoke::catalog {

// Each name is preceded by two bytes with its length. The memory of a removed name is reused for a name of
// the same length. References stay valid until their name is removed.
class NameArena {
 public:
  using Reference = std::uint32_t;  // block number and offset
  static constexpr std::size_t kMaxNameBytes = 1024;

  Reference add(std::string_view name);
  void remove(Reference reference);
  std::string_view at(Reference reference) const;
  std::size_t memory_bytes() const { return blocks_.size() * kBlockBytes; }
  // Frees at most `count` blocks; all references become invalid. Returns false when none are left.
  bool release_blocks(std::size_t count);

 private:
  static constexpr std::size_t kBlockBits = 16;
  static constexpr std::size_t kBlockBytes = std::size_t{1} << kBlockBits;

  Reference allocate(std::size_t length);

  std::vector<std::unique_ptr<char[]>> blocks_;
  std::size_t last_block_used_bytes_ = kBlockBytes;
  std::map<std::size_t, std::vector<Reference>> removed_by_length_;
};

}  // namespace damsonspoke::catalog
