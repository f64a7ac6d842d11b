// Lines of words that end in CR LF; where a line ends in a length, that many bytes and CR LF follow it. The
// runtime and the dependency speak in this form.
#pragma once

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace damsonspoke::wire {

// kBroken: what follows can't be told apart any more, so nothing more is to be read from the link.
enum class LineState { kNeedMore, kLine, kBroken };

// One line split into words, without the payload that may follow.
struct TokenLine {
  LineState state = LineState::kNeedMore;
  std::size_t length = 0;                // with its CR LF
  std::vector<std::string_view> tokens;  // of the input: valid as long as that is
};

// The line that the input begins with.
[[nodiscard]] TokenLine next_line(std::string_view input);

// The payload behind a line.
struct Payload {
  LineState state = LineState::kNeedMore;
  std::size_t length = 0;  // with its CR LF
  std::string_view bytes;  // of the input: valid as long as that is
};

// The payload that the input begins with. `length`: as the line tells it, bounded before anything is kept for
// it.
[[nodiscard]] Payload next_payload(std::string_view input, std::string_view length);

// Whether the whole text is a number that the type can hold. `out` is undefined where it is not.
template <typename T>
[[nodiscard]] bool parse_number(std::string_view text, T& out, int base = 10) {
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), out, base);
  return !text.empty() && error == std::errc() && stop == text.data() + text.size();
}
// The same for a finite decimal.
[[nodiscard]] bool parse_decimal(std::string_view text, double& out);
// An id is written as 16 hexadecimal digits.
[[nodiscard]] bool parse_id(std::string_view text, std::uint64_t& out);
[[nodiscard]] std::string format_id(std::uint64_t id);

}  // namespace damsonspoke::wire
