// Lines of words that end in CR LF; where a line ends in a length, that many bytes and CR LF follow it. The
// runtime and the layer below speak in this form.
#pragma once

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace damsonspoke::wire {

enum class LineState { kNeedMore, kLine, kBroken };

// One line split into words, with no payload yet.
struct WordLine {
  LineState state = LineState::kNeedMore;
  std::size_t length = 0;  // with its CR LF
  std::vector<std::string_view> words;
};

WordLine next_line(std::string_view input);

// The payload behind a line; the length is bounded before anything is kept for it.
struct Payload {
  LineState state = LineState::kNeedMore;
  std::size_t length = 0;  // with its CR LF
  std::string_view bytes;
};

Payload next_payload(std::string_view input, std::string_view length);

template <typename T>
bool parse_number(std::string_view text, T& out, int base = 10) {
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), out, base);
  return !text.empty() && error == std::errc() && stop == text.data() + text.size();
}
bool parse_decimal(std::string_view text, double& out);
bool parse_id(std::string_view text, std::uint64_t& out);  // 16 hex digits
std::string format_id(std::uint64_t id);

}  // namespace damsonspoke::wire
