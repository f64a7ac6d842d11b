#include "wire/lines.h"

#include <fmt/format.h>

#include <cmath>

namespace damsonspoke::wire {
namespace {

constexpr std::size_t kMaxLineBytes = 4096;          // only remarks may be long
constexpr std::size_t kMaxPayloadBytes = 64 * 1024;  // bodies have 4 KiB at most
constexpr std::size_t kIdDigits = 16;
constexpr std::string_view kLineEnd = "\r\n";

std::vector<std::string_view> split(std::string_view line) {
  std::vector<std::string_view> tokens;
  while (!line.empty()) {
    const std::size_t space = line.find(' ');
    const std::string_view token = line.substr(0, space);
    if (!token.empty()) tokens.push_back(token);
    if (space == std::string_view::npos) break;
    line.remove_prefix(space + 1);
  }
  return tokens;
}

}  // namespace

TokenLine next_line(std::string_view input) {
  TokenLine line;
  const std::size_t end = input.substr(0, kMaxLineBytes).find(kLineEnd);
  if (end == std::string_view::npos) {
    if (input.size() >= kMaxLineBytes) line.state = LineState::kBroken;
    return line;
  }
  line.state = LineState::kLine;
  line.length = end + kLineEnd.size();
  line.tokens = split(input.substr(0, end));
  return line;
}

Payload next_payload(std::string_view input, std::string_view length) {
  Payload payload;
  std::size_t size = 0;
  if (!parse_number(length, size) || size > kMaxPayloadBytes) {
    payload.state = LineState::kBroken;
    return payload;
  }
  if (input.size() < size + kLineEnd.size()) return payload;
  const bool is_ended = input.substr(size).starts_with(kLineEnd);
  payload.state = is_ended ? LineState::kLine : LineState::kBroken;
  payload.length = size + kLineEnd.size();
  payload.bytes = input.substr(0, size);
  return payload;
}

bool parse_decimal(std::string_view text, double& out) {
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  return !text.empty() && error == std::errc() && stop == text.data() + text.size() && std::isfinite(out);
}

bool parse_id(std::string_view text, std::uint64_t& out) {
  return text.size() == kIdDigits && parse_number(text, out, 16);
}

std::string format_id(std::uint64_t id) { return fmt::format("{:016x}", id); }

}  // namespace damsonspoke::wire
