#include "results/key.h"

#include <fmt/format.h>
#define XXH_STATIC_LINKING_ONLY  // the state on the stack
#include <xxhash.h>

#include <charconv>

namespace damsonspoke::results {
namespace {

// Each part goes in with its length before it: "ab" + "c" is not "a" + "bc".
class Hasher {
 public:
  Hasher(std::uint64_t seed, char domain) {
    XXH3_INITSTATE(&state_);
    XXH3_128bits_reset_withSeed(&state_, seed);
    XXH3_128bits_update(&state_, &domain, 1);
  }
  Hasher& part(std::string_view text) {
    const std::uint64_t length = text.size();
    XXH3_128bits_update(&state_, &length, sizeof length);
    XXH3_128bits_update(&state_, text.data(), text.size());
    return *this;
  }
  Hasher& part(std::uint64_t number) {
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

}  // namespace

Key KeyDeriver::from_idempotency_key(std::string_view type, std::string_view mark) const {
  return Hasher(seed_, 'm').part(type).part(mark).key();
}
Key KeyDeriver::from_body(std::string_view type, std::uint32_t caller, std::string_view body) const {
  return Hasher(seed_, 'd').part(type).part(std::uint64_t{caller}).part(body).key();
}
Key KeyDeriver::from_read(std::string_view type, std::uint64_t subject, std::string_view body) const {
  return Hasher(seed_, 'r').part(type).part(subject).part(body).key();
}
Fingerprint KeyDeriver::fingerprint(std::string_view body) const {
  return XXH3_64bits_withSeed(body.data(), body.size(), seed_);
}

std::string to_hex(const Key& key) { return fmt::format("{:016x}{:016x}", key.high, key.low); }

bool parse_key(std::string_view text, Key& key) {
  if (text.size() != 32) return false;
  const auto read = [](std::string_view part, std::uint64_t& out) {
    const auto [stop, error] = std::from_chars(part.data(), part.data() + part.size(), out, 16);
    return error == std::errc() && stop == part.data() + part.size();
  };
  return read(text.substr(0, 16), key.high) && read(text.substr(16), key.low);
}

}  // namespace damsonspoke::results
