#include "conns/prefix.h"

#include <arpa/inet.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace damsonspoke::conns {
namespace {

constexpr int kBits = 128, kV4Bits = 32, kV4Before = kBits - kV4Bits;
constexpr std::array<std::uint8_t, 12> kV4Head{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};

}  // namespace

bool Address::is_v4() const { return std::equal(kV4Head.begin(), kV4Head.end(), bytes.begin()); }

Prefix masked(const Address& address, int bits) {
  Prefix out{address, std::clamp(bits, 0, kBits)};
  for (int i = 0; i < 16; ++i) {
    const int kept = std::clamp(out.bits - 8 * i, 0, 8);
    out.base.bytes[static_cast<std::size_t>(i)] &= static_cast<std::uint8_t>(0xff00 >> kept);
  }
  return out;
}

bool Prefix::contains(const Address& address) const { return masked(address, bits).base == base; }

Prefix client_of(const Address& address) { return masked(address, address.is_v4() ? kBits : 64); }
Prefix network_of(const Address& address) { return masked(address, address.is_v4() ? kV4Before + 24 : 48); }

std::optional<Address> parse_address(std::string_view text) {
  const std::string whole(text);
  Address out;
  std::copy(kV4Head.begin(), kV4Head.end(), out.bytes.begin());
  if (::inet_pton(AF_INET, whole.c_str(), out.bytes.data() + kV4Head.size()) == 1) return out;
  if (::inet_pton(AF_INET6, whole.c_str(), out.bytes.data()) == 1) return out;
  return std::nullopt;
}

std::optional<Prefix> parse_prefix(std::string_view text) {
  const std::size_t slash = text.find('/');
  const std::optional<Address> address = parse_address(text.substr(0, slash));
  if (!address) return std::nullopt;
  const int most = address->is_v4() ? kV4Bits : kBits;
  int bits = most;
  if (slash != std::string_view::npos) {
    const std::string_view number = text.substr(slash + 1);
    const auto read = std::from_chars(number.data(), number.data() + number.size(), bits);
    if (number.empty() || read.ec != std::errc() || read.ptr != number.data() + number.size())
      return std::nullopt;
    if (bits < 0 || bits > most) return std::nullopt;
  }
  return masked(*address, kBits - most + bits);
}

std::string text_of(const Prefix& prefix) {
  char text[INET6_ADDRSTRLEN] = "";
  const bool v4 = prefix.base.is_v4() && prefix.bits >= kV4Before;
  const auto* from = prefix.base.bytes.data();
  ::inet_ntop(v4 ? AF_INET : AF_INET6, v4 ? from + kV4Head.size() : from, text, sizeof text);
  std::string out(text);
  if (prefix.bits < kBits) {
    out.push_back('/');
    out.append(std::to_string(v4 ? prefix.bits - kV4Before : prefix.bits));
  }
  return out;
}

std::size_t PrefixHash::operator()(const Prefix& prefix) const {
  return XXH3_64bits_withSeed(prefix.base.bytes.data(), prefix.base.bytes.size(),
                              static_cast<std::uint64_t>(prefix.bits));
}

}  // namespace damsonspoke::conns
