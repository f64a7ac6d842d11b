// Internet addresses and prefixes as plain values. An IPv4 address is stored in its IPv6 form (RFC 4291,
// 2.5.5.2), so that one table can hold both families. Nothing here opens a socket or resolves a name.
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

// Invariant: the bits of `base` beyond the prefix are 0. The length counts bits of the IPv6 form: 128 is one
// address, an IPv4 /24 is 120.
struct Prefix {
  Address base;
  int bits = 128;
  bool operator==(const Prefix&) const = default;
  auto operator<=>(const Prefix&) const = default;  // NOLINT(modernize-use-nullptr): as above
  [[nodiscard]] bool contains(const Address& address) const;
};

// The prefix that counts as one client: an IPv4 address or an IPv6 /64, which is the least that a site has.
[[nodiscard]] Prefix client_of(const Address& address);
// The prefix that counts as one network: an IPv4 /24 or an IPv6 /48.
[[nodiscard]] Prefix network_of(const Address& address);
// The prefix of so many bits (of the IPv6 form, clamped to 0 .. 128) that contains the address.
[[nodiscard]] Prefix masked(const Address& address, int bits);

// A numeric address; none where the text is anything else.
[[nodiscard]] std::optional<Address> parse_address(std::string_view text);
// ADDRESS or ADDRESS/BITS, with the bits of the address's own family; none where the text is anything else.
[[nodiscard]] std::optional<Prefix> parse_prefix(std::string_view text);
// The form that parse_prefix reads; without a length where it is one address.
[[nodiscard]] std::string text_of(const Prefix& prefix);

struct PrefixHash {
  std::size_t operator()(const Prefix& prefix) const;
};

}  // namespace damsonspoke::conns
