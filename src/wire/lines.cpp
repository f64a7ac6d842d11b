#include "wire/lines.h"

#include <fmt/format.h>

#include <cmath>

namespace damsonspoke::wire {
namespace {

constexpr std::size_t kMaxLineBytes = 4096;          // bytes; a remark may be long, nothing else is
constexpr std::size_t kMaxPayloadBytes = 64 * 1024;  // bytes; bodies hold 4 KiB at most

}  // namespace

WordLine next_line(std::string_view input) {
  WordLine line;
  const std::size_t end = input.substr(0, kMaxLineBytes).find("\r\n");
  if (end == std::string_view::npos) {
    if (input.size() >= kMaxLineBytes) line.state = LineState::kBroken;
    return line;
  }
  std::string_view rest = input.substr(0, end);
  while (!rest.empty()) {
    const std::size_t blank = rest.find(' ');
    const std::string_view word = rest.substr(0, blank);
    if (!word.empty()) line.words.push_back(word);
    if (blank == std::string_view::npos) break;
    rest.remove_prefix(blank + 1);
  }
  line.state = LineState::kLine;
  line.length = end + 2;
  return line;
}

Payload next_payload(std::string_view input, std::string_view length) {
  Payload payload;
  std::size_t size = 0;
  if (!parse_number(length, size) || size > kMaxPayloadBytes) {
    payload.state = LineState::kBroken;
    return payload;
  }
  if (input.size() < size + 2) return payload;
  const bool ends = input.substr(size, 2) == "\r\n";
  payload.state = ends ? LineState::kLine : LineState::kBroken;
  payload.length = size + 2;
  payload.bytes = input.substr(0, size);
  return payload;
}

bool parse_decimal(std::string_view text, double& out) {
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  return !text.empty() && error == std::errc() && stop == text.data() + text.size() && std::isfinite(out);
}

bool parse_id(std::string_view text, std::uint64_t& out) {
  return text.size() == 16 && parse_number(text, out, 16);
}

std::string format_id(std::uint64_t id) { return fmt::format("{:016x}", id); }

}  // namespace damsonspoke::wire
