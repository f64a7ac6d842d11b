// Reads and checks a complete operators' file. Without a file every option has its default.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "settings/operator_lines.h"
#include "settings/operator_options.h"

namespace damsonspoke {

// The value given for one directive.
struct OperatorValue {
  std::vector<std::string> words;
  std::size_t line = 0;                         // of its first occurrence, from 1
  std::vector<std::vector<std::string>> lines;  // with kLines: the words of each occurrence
};
using OperatorValues =
    std::map<std::pair<std::string, std::string>, OperatorValue>;  // by section and directive

struct OperatorFile {
  OperatorValues given;
  OperatorOptions options;            // valid only if there are no errors
  std::vector<OperatorError> errors;  // of the whole file, ordered by line

  // The text of an operators' file with every directive, its value, and the origin of the value as a comment.
  [[nodiscard]] std::string effective() const;
};

OperatorFile parse_operator_file(std::string_view text);
// Throws SettingsError if the file can't be read, or with all of its errors, one per line.
OperatorFile read_operator_file(const std::string& path);

}  // namespace damsonspoke
