#include "wire/base64.h"

#include <array>
#include <cstdint>

namespace damsonspoke::wire {
namespace {

constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

constexpr std::array<std::int8_t, 256> make_values() {
  std::array<std::int8_t, 256> values{};
  for (auto& value : values) value = -1;
  for (int i = 0; i < 64; ++i) values[static_cast<unsigned char>(kDigits[i])] = static_cast<std::int8_t>(i);
  return values;
}
constexpr auto kValues = make_values();

}  // namespace

void append_base64(std::string& out, std::string_view bytes) {
  out.reserve(out.size() + (bytes.size() + 2) / 3 * 4);
  std::size_t i = 0;
  const auto at = [&](std::size_t k) {
    return static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[k]));
  };
  for (; i + 3 <= bytes.size(); i += 3) {
    const std::uint32_t group = at(i) << 16 | at(i + 1) << 8 | at(i + 2);
    for (int shift = 18; shift >= 0; shift -= 6) out += kDigits[group >> shift & 63];
  }
  if (bytes.size() - i == 1) {
    const std::uint32_t group = at(i) << 16;
    out += kDigits[group >> 18 & 63];
    out += kDigits[group >> 12 & 63];
    out += "==";
  } else if (bytes.size() - i == 2) {
    const std::uint32_t group = at(i) << 16 | at(i + 1) << 8;
    out += kDigits[group >> 18 & 63];
    out += kDigits[group >> 12 & 63];
    out += kDigits[group >> 6 & 63];
    out += '=';
  }
}

bool decode_base64(std::string_view text, std::string& out) {
  out.clear();
  if (text.size() % 4 != 0) return false;
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') ++padding;
  const std::string_view digits = text.substr(0, text.size() - padding);
  out.reserve(text.size() / 4 * 3);
  std::uint32_t group = 0;
  int bits = 0;
  for (const char c : digits) {
    const auto value = kValues[static_cast<unsigned char>(c)];
    if (value < 0) return false;
    group = group << 6 | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(group >> bits & 0xff);
    }
  }
  return (group & ((1u << bits) - 1)) == 0;
}

}  // namespace damsonspoke::wire
