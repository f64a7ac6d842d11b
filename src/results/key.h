// How a repeat is known: by the mark that its caller gave it, or by a digest of what it says.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace damsonspoke::results {

// 128 bits of XXH3 over what tells a request from all others. The seed is the store's own, so that nobody
// outside can look for two marks that meet.
struct Key {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  auto operator<=>(const Key&) const = default;
};

struct KeyHash {
  std::size_t operator()(const Key& key) const { return static_cast<std::size_t>(key.low); }
};

// Of the body, so that a mark that is used for two different requests is seen.
using Fingerprint = std::uint64_t;

class KeyDeriver {
 public:
  explicit KeyDeriver(std::uint64_t seed = 0) : seed_(seed) {}

  Key from_idempotency_key(std::string_view type, std::string_view mark) const;
  // Without a mark: the same caller (0: any) saying the same again is taken to mean the same request.
  Key from_body(std::string_view type, std::uint32_t caller, std::string_view body) const;
  // A read of a subject. The body belongs to the key: another question about it is another read.
  Key from_read(std::string_view type, std::uint64_t subject, std::string_view body) const;
  Fingerprint fingerprint(std::string_view body) const;

 private:
  std::uint64_t seed_;
};

std::string to_hex(const Key& key);              // 32 digits
bool parse_key(std::string_view text, Key& key);  // false where it is not that

}  // namespace damsonspoke::results
