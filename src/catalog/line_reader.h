// Splits a text into lines.
#pragma once

#include <optional>
#include <string_view>

namespace damsonspoke::catalog {

// Returns the line that starts at `offset`, without its line feed, and moves `offset` to the next line.
// Nothing if no complete line is left.
inline std::optional<std::string_view> next_line(std::string_view text, std::size_t& offset) {
  const std::size_t end = text.find('\n', offset);
  if (end == std::string_view::npos) return std::nullopt;
  const std::string_view line = text.substr(offset, end - offset);
  offset = end + 1;
  return line;
}

}  // namespace damsonspoke::catalog
