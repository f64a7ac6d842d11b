#include "results/key.h"

#include <fmt/format.h>
#define XXH_STATIC_LINKING_ONLY  // permits a hash state on the stack
#include <xxhash.h>

#include <charconv>

namespace damsonspoke::results {
namespace {

constexpr std::size_t kHexDigits = 32;
constexpr std::size_t kHalfHexDigits = kHexDigits / 2;
constexpr int kHexBase = 16;

// Keys of different kinds never collide, because the domain is hashed first. Stored keys depend on these
// values, so they must not change.
enum class Domain : char { kIdempotencyKey = 'm', kBody = 'd', kRead = 'r' };

// Hashes the length of each text before the text, so that "ab" + "c" differs from "a" + "bc".
class Hasher {
 public:
  Hasher(std::uint64_t seed, Domain domain) {
    XXH3_INITSTATE(&state_);
    XXH3_128bits_reset_withSeed(&state_, seed);
    XXH3_128bits_update(&state_, &domain, 1);
  }
  Hasher& add(std::string_view text) {
    const std::uint64_t length = text.size();
    XXH3_128bits_update(&state_, &length, sizeof length);
    XXH3_128bits_update(&state_, text.data(), text.size());
    return *this;
  }
  Hasher& add(std::uint64_t number) {
    XXH3_128bits_update(&state_, &number, sizeof number);
    return *this;
  }
  Key key() const {
    const XXH128_hash_t hash = XXH3_128bits_digest(&state_);
    return {hash.high64, hash.low64};
  }

 private:
  XXH3_state_t state_;
};

std::optional<std::uint64_t> parse_hex(std::string_view digits) {
  std::uint64_t value = 0;
  const char* const end = digits.data() + digits.size();
  const auto [stop, error] = std::from_chars(digits.data(), end, value, kHexBase);
  if (error != std::errc() || stop != end) return std::nullopt;
  return value;
}

}  // namespace

Key KeyDeriver::from_idempotency_key(std::string_view route, std::string_view idempotency_key) const {
  return Hasher(seed_, Domain::kIdempotencyKey).add(route).add(idempotency_key).key();
}

Key KeyDeriver::from_body(std::string_view route, std::uint32_t caller, std::string_view body) const {
  return Hasher(seed_, Domain::kBody).add(route).add(std::uint64_t{caller}).add(body).key();
}

Key KeyDeriver::from_read(std::string_view route, std::uint64_t subject, std::string_view body) const {
  return Hasher(seed_, Domain::kRead).add(route).add(subject).add(body).key();
}

Fingerprint KeyDeriver::fingerprint(std::string_view body) const {
  return XXH3_64bits_withSeed(body.data(), body.size(), seed_);
}

std::string to_hex(const Key& key) { return fmt::format("{:016x}{:016x}", key.high, key.low); }

std::optional<Key> parse_key(std::string_view text) {
  if (text.size() != kHexDigits) return std::nullopt;
  const std::optional<std::uint64_t> high = parse_hex(text.substr(0, kHalfHexDigits));
  const std::optional<std::uint64_t> low = parse_hex(text.substr(kHalfHexDigits));
  if (!high || !low) return std::nullopt;
  return Key{*high, *low};
}

}  // namespace damsonspoke::results
