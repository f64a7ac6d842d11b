#include "conns/prefix.h"

#include <arpa/inet.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace damsonspoke::conns {
namespace {

constexpr int kV6Bits = 128;
constexpr int kV4Bits = 32;
constexpr int kV4OffsetBits = kV6Bits - kV4Bits;  // bits before an IPv4 address in its IPv6 form
constexpr int kV4NetworkBits = 24;
constexpr int kV6NetworkBits = 48;
constexpr int kV6ClientBits = 64;
constexpr std::array<std::uint8_t, 12> kV4MappedPrefix{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};

}  // namespace

bool Address::is_v4() const {
  return std::equal(kV4MappedPrefix.begin(), kV4MappedPrefix.end(), bytes.begin());
}

Prefix masked(const Address& address, int bits) {
  Prefix prefix{address, std::clamp(bits, 0, kV6Bits)};
  for (std::size_t i = 0; i < prefix.base.bytes.size(); ++i) {
    const int kept_bits = std::clamp(prefix.bits - 8 * static_cast<int>(i), 0, 8);
    prefix.base.bytes[i] &= static_cast<std::uint8_t>(0xff00 >> kept_bits);
  }
  return prefix;
}

bool Prefix::contains(const Address& address) const { return masked(address, bits).base == base; }

Prefix client_of(const Address& address) {
  return masked(address, address.is_v4() ? kV6Bits : kV6ClientBits);
}
Prefix network_of(const Address& address) {
  return masked(address, address.is_v4() ? kV4OffsetBits + kV4NetworkBits : kV6NetworkBits);
}

std::optional<Address> parse_address(std::string_view text) {
  const std::string terminated(text);
  Address address;
  std::copy(kV4MappedPrefix.begin(), kV4MappedPrefix.end(), address.bytes.begin());
  if (::inet_pton(AF_INET, terminated.c_str(), address.bytes.data() + kV4MappedPrefix.size()) == 1)
    return address;
  if (::inet_pton(AF_INET6, terminated.c_str(), address.bytes.data()) == 1) return address;
  return std::nullopt;
}

std::optional<Prefix> parse_prefix(std::string_view text) {
  const std::size_t slash = text.find('/');
  const std::optional<Address> address = parse_address(text.substr(0, slash));
  if (!address) return std::nullopt;
  const int max_bits = address->is_v4() ? kV4Bits : kV6Bits;
  int bits = max_bits;
  if (slash != std::string_view::npos) {
    const std::string_view number = text.substr(slash + 1);
    const char* const end = number.data() + number.size();
    const auto [parsed_to, error] = std::from_chars(number.data(), end, bits);
    if (number.empty() || error != std::errc() || parsed_to != end) return std::nullopt;
    if (bits < 0 || bits > max_bits) return std::nullopt;
  }
  return masked(*address, kV6Bits - max_bits + bits);
}

std::string text_of(const Prefix& prefix) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  const bool is_v4 = prefix.base.is_v4() && prefix.bits >= kV4OffsetBits;
  const auto* const bytes = prefix.base.bytes.data();
  ::inet_ntop(is_v4 ? AF_INET : AF_INET6, is_v4 ? bytes + kV4MappedPrefix.size() : bytes, text.data(),
              text.size());
  std::string out(text.data());
  if (prefix.bits < kV6Bits) {
    out.push_back('/');
    out.append(std::to_string(is_v4 ? prefix.bits - kV4OffsetBits : prefix.bits));
  }
  return out;
}

std::size_t PrefixHash::operator()(const Prefix& prefix) const {
  return XXH3_64bits_withSeed(prefix.base.bytes.data(), prefix.base.bytes.size(),
                              static_cast<std::uint64_t>(prefix.bits));
}

}  // namespace damsonspoke::conns
