// Addresses of those who connect, and prefixes of them, as plain values: 16 bytes, an IPv4 address in its
// IPv6 form (RFC 4291, 2.5.5.2), so that one table holds both. No socket, no look-up of names.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace damsonspoke::conns {

struct Address {
  std::array<std::uint8_t, 16> bytes{};
  bool operator==(const Address&) const = default;
  auto operator<=>(const Address&) const = default;
  bool is_v4() const;
};

// Bits are counted in the IPv6 form: 128 is one address, an IPv4 /24 is 120.
struct Prefix {
  Address base;  // bits beyond the prefix are 0
  int bits = 128;
  bool operator==(const Prefix&) const = default;
  auto operator<=>(const Prefix&) const = default;
  bool contains(const Address& address) const;
};

// Whoever has one address of IPv6 has at least a /64 of them: those count as one.
Prefix client_of(const Address& address);   // /32 or /64
Prefix network_of(const Address& address);  // /24 or /48

Prefix masked(const Address& address, int bits);
std::optional<Address> parse_address(std::string_view text);  // numeric
std::optional<Prefix> parse_prefix(
    std::string_view text);  // an address, or address/bits as operators write it
std::string text_of(const Prefix& prefix);

struct PrefixHash {
  std::size_t operator()(const Prefix& prefix) const;
};

}  // namespace damsonspoke::conns
