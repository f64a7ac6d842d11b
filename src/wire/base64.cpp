#include "wire/base64.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace damsonspoke::wire {
namespace {

constexpr std::string_view kAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t kBytesPerGroup = 3;
constexpr std::size_t kDigitsPerGroup = 4;
constexpr int kBitsPerByte = 8;
constexpr int kBitsPerDigit = 6;
constexpr std::uint32_t kDigitMask = 63;
constexpr std::uint32_t kByteMask = 0xff;
constexpr char kPadding = '=';

// The value of each character as a digit; < 0: it is none.
constexpr std::array<std::int8_t, 256> make_digit_values() {
  std::array<std::int8_t, 256> values{};
  values.fill(-1);
  for (std::size_t i = 0; i < kAlphabet.size(); ++i)
    values[static_cast<unsigned char>(kAlphabet[i])] = static_cast<std::int8_t>(i);
  return values;
}
constexpr std::array<std::int8_t, 256> kDigitValues = make_digit_values();

// Appends the four characters of one to three bytes.
void append_group(std::string& out, std::string_view bytes) {
  std::uint32_t bits = 0;
  for (std::size_t i = 0; i < kBytesPerGroup; ++i)
    bits = bits << kBitsPerByte | (i < bytes.size() ? static_cast<unsigned char>(bytes[i]) : 0u);
  for (std::size_t i = 0; i < kDigitsPerGroup; ++i) {
    const std::uint32_t digit = bits >> kBitsPerDigit * (kDigitsPerGroup - 1 - i) & kDigitMask;
    out += i <= bytes.size() ? kAlphabet[digit] : kPadding;
  }
}

std::size_t count_padding(std::string_view text) {
  if (text.ends_with("==")) return 2;
  return text.ends_with(kPadding) ? 1 : 0;
}

}  // namespace

void append_base64(std::string& out, std::string_view bytes) {
  out.reserve(out.size() + (bytes.size() + kBytesPerGroup - 1) / kBytesPerGroup * kDigitsPerGroup);
  while (!bytes.empty()) {
    const std::string_view group = bytes.substr(0, kBytesPerGroup);
    append_group(out, group);
    bytes.remove_prefix(group.size());
  }
}

bool decode_base64(std::string_view text, std::string& out) {
  out.clear();
  if (text.size() % kDigitsPerGroup != 0) return false;
  out.reserve(text.size() / kDigitsPerGroup * kBytesPerGroup);
  std::uint32_t bits = 0;  // the lowest ones are those read last
  int unused_bits = 0;
  for (const char c : text.substr(0, text.size() - count_padding(text))) {
    const std::int8_t value = kDigitValues[static_cast<unsigned char>(c)];
    if (value < 0) return false;
    bits = bits << kBitsPerDigit | static_cast<std::uint32_t>(value);
    unused_bits += kBitsPerDigit;
    if (unused_bits < kBitsPerByte) continue;
    unused_bits -= kBitsPerByte;
    out += static_cast<char>(bits >> unused_bits & kByteMask);
  }
  return (bits & ((1u << unused_bits) - 1)) == 0;
}

}  // namespace damsonspoke::wire
