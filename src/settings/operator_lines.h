// The operators' file as lines: sections at the margin, one directive an indented line, words separated by
// blanks, `#` to the end of the line, quotes around words that hold blanks. What the words mean is the
// schema's business. Grammar: PEGTL.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace damsonspoke {

struct OperatorError {
  std::size_t line = 0;    // from 1; 0: of the file as a whole
  std::size_t column = 0;  // bytes, from 1
  std::string text;
};

struct OperatorWord {
  std::string text;
  std::size_t column = 0;
};

struct OperatorLine {
  bool section = false;
  std::size_t line = 0;
  std::vector<OperatorWord> words;  // never empty
};

struct OperatorLines {
  std::vector<OperatorLine> lines;
  std::vector<OperatorError> errors;  // of lines that can't be read; the others are there
};

OperatorLines read_operator_lines(std::string_view text);

// The values that words stand for; false where the word is none. Sizes in bytes (K, M, G: powers of 1024),
// durations in seconds (us, ms, s, m, h, d), percentages as a share of 1.
bool read_size(std::string_view word, double& bytes);
bool read_duration(std::string_view word, double& seconds);
bool read_percentage(std::string_view word, double& share);
bool read_count(std::string_view word, double& count);

}  // namespace damsonspoke
