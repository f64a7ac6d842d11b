// The lexical structure of the operators' file: a section's name at the margin, one directive an indented
// line, words separated by blanks, `#` begins a comment, quotes stand around words that hold blanks. The
// meaning of the words is in operator_schema.h. Grammar: PEGTL.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damsonspoke {

// An error with its place, for operators.
struct OperatorError {
  std::size_t line = 0;    // from 1; 0: the file as a whole
  std::size_t column = 0;  // bytes, from 1
  std::string text;
};

struct OperatorWord {
  std::string text;        // without quotes and escapes
  std::size_t column = 0;  // bytes, from 1
};

struct OperatorLine {
  bool is_section = false;
  std::size_t line = 0;             // from 1
  std::vector<OperatorWord> words;  // at least one
};

struct OperatorLines {
  std::vector<OperatorLine> lines;    // without those that have an error
  std::vector<OperatorError> errors;  // of lines that can't be read
};

OperatorLines read_operator_lines(std::string_view text);

// The values of words; nothing when the word does not have the form.
// Bytes; the units K, M and G are powers of 1024.
[[nodiscard]] std::optional<double> read_size(std::string_view word);
// Seconds; the units are us, ms, s, m, h and d.
[[nodiscard]] std::optional<double> read_duration(std::string_view word);
// A share: 1 for 100%.
[[nodiscard]] std::optional<double> read_percentage(std::string_view word);
// An integer of at most 12 digits.
[[nodiscard]] std::optional<double> read_count(std::string_view word);

}  // namespace damsonspoke
