// Keys by which duplicates of a request are recognised. A key is derived from the idempotency key that the
// caller sent, or from the request itself.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace damsonspoke::results {

// A 128-bit XXH3 hash over the fields that identify a request. The seed belongs to the store, so that no
// client can search for two idempotency keys that collide.
struct Key {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  auto operator<=>(const Key&) const = default;  // NOLINT(modernize-use-nullptr): misread by the check
};

struct KeyHash {
  std::size_t operator()(const Key& key) const { return static_cast<std::size_t>(key.low); }
};

// A hash of the body. Distinguishes different requests that carry the same idempotency key.
using Fingerprint = std::uint64_t;

class KeyDeriver {
 public:
  explicit KeyDeriver(std::uint64_t seed = 0) : seed_(seed) {}

  Key from_idempotency_key(std::string_view route, std::string_view idempotency_key) const;
  // For requests without an idempotency key: the same body from the same caller (0: any caller) counts as the
  // same request.
  Key from_body(std::string_view route, std::uint32_t caller, std::string_view body) const;
  // For a read of a subject. The body is part of the key: another query about the same subject is another
  // read.
  Key from_read(std::string_view route, std::uint64_t subject, std::string_view body) const;
  Fingerprint fingerprint(std::string_view body) const;

 private:
  std::uint64_t seed_;
};

// Formats a key as 32 hexadecimal digits, for operators.
std::string to_hex(const Key& key);
// Returns nullopt if the text does not consist of 32 hexadecimal digits.
std::optional<Key> parse_key(std::string_view text);

}  // namespace damsonspoke::results
