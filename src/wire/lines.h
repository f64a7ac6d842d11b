// Lines of tokens that are separated by spaces and end in CR LF. Where the last token of a line is a
// length, a payload of that many bytes and CR LF follow it. The protocols of the runtime and the dependency
// have this format.
#pragma once

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace damsonspoke::wire {

// kBroken: the boundaries of messages are lost, so nothing more can be read from the link.
enum class LineState { kNeedMore, kLine, kBroken };

// One line split into tokens, without the payload that may follow.
struct TokenLine {
  LineState state = LineState::kNeedMore;
  std::size_t length = 0;                // including its CR LF
  std::vector<std::string_view> tokens;  // a view of the input; valid as long as that is
};

// Parses the line at the start of the input.
[[nodiscard]] TokenLine next_line(std::string_view input);

// The payload after a line.
struct Payload {
  LineState state = LineState::kNeedMore;
  std::size_t length = 0;  // including its CR LF
  std::string_view bytes;  // a view of the input; valid as long as that is
};

// Parses the payload at the start of the input. `length`: the token of its line, bounded before anything is
// buffered for it.
[[nodiscard]] Payload next_payload(std::string_view input, std::string_view length);

// Whether the entire text is a number that the type can hold; `out` is undefined where it is not.
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
