// The lexical structure of the operators' file. The name of a section starts in the first column; each
// directive is one indented line of words separated by blanks. `#` starts a comment, and quotes enclose words
// that contain blanks. operator_schema.h defines the meaning of the words. The grammar uses PEGTL.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damsonspoke {

// An error and its position, for operators.
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
  std::vector<OperatorLine> lines;    // without invalid lines
  std::vector<OperatorError> errors;  // of invalid lines
};

OperatorLines read_operator_lines(std::string_view text);

// The following functions return the value of a word, or nothing if the word does not have that form.

// Bytes; the units K, M and G are powers of 1024.
[[nodiscard]] std::optional<double> read_size(std::string_view word);
// Seconds; the units are us, ms, s, m, h and d.
[[nodiscard]] std::optional<double> read_duration(std::string_view word);
// A share; 100% is 1.
[[nodiscard]] std::optional<double> read_percentage(std::string_view word);
// An integer of at most 12 digits.
[[nodiscard]] std::optional<double> read_count(std::string_view word);

}  // namespace damsonspoke
