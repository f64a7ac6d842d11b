// Internet addresses and prefixes as plain values. An IPv4 address is stored as an IPv4-mapped IPv6 address
// (RFC 4291, 2.5.5.2), so that one table can hold both families. This module opens no sockets and resolves no
// names.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace damsonspoke::conns {

struct Address {
  std::array<std::uint8_t, 16> bytes{};
  bool operator==(const Address&) const = default;
  auto operator<=>(const Address&) const = default;  // NOLINT(modernize-use-nullptr): a literal 0 is compared
  [[nodiscard]] bool is_v4() const;
};

// Invariant: the bits of `base` beyond the prefix are 0. `bits` counts in the IPv6 form: 128 is a single
// address, and an IPv4 /24 is 120.
struct Prefix {
  Address base;
  int bits = 128;
  bool operator==(const Prefix&) const = default;
  auto operator<=>(const Prefix&) const = default;  // NOLINT(modernize-use-nullptr): as above
  [[nodiscard]] bool contains(const Address& address) const;
};

// The prefix that counts as one client: an IPv4 address or an IPv6 /64, the smallest prefix that a site has.
[[nodiscard]] Prefix client_of(const Address& address);
// The prefix that counts as one network: an IPv4 /24 or an IPv6 /48.
[[nodiscard]] Prefix network_of(const Address& address);
// The prefix that contains the address and has `bits` bits in the IPv6 form, clamped to 0 .. 128.
[[nodiscard]] Prefix masked(const Address& address, int bits);

// Parses a numeric address; nothing if the text is not one.
[[nodiscard]] std::optional<Address> parse_address(std::string_view text);
// Parses ADDRESS or ADDRESS/BITS, with bits of the address's own family; nothing if the text is neither.
[[nodiscard]] std::optional<Prefix> parse_prefix(std::string_view text);
// The text form that parse_prefix reads, without /BITS for a single address.
[[nodiscard]] std::string text_of(const Prefix& prefix);

struct PrefixHash {
  std::size_t operator()(const Prefix& prefix) const;
};

}  // namespace damsonspoke::conns
