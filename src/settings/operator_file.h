// Reads and checks the operators' file as a whole. Without a file every option has its default.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "settings/operator_lines.h"
#include "settings/operator_options.h"

namespace damsonspoke {

// What is written for one directive.
struct OperatorValue {
  std::vector<std::string> words;
  std::size_t line = 0;                         // of its first occurrence, from 1
  std::vector<std::vector<std::string>> lines;  // the words of each occurrence of a directive of kLines
};
using OperatorValues =
    std::map<std::pair<std::string, std::string>, OperatorValue>;  // by section and directive

struct OperatorFile {
  OperatorValues given;
  OperatorOptions options;            // meaningless when there are errors
  std::vector<OperatorError> errors;  // of the whole file, by line

  // The text of a file with every directive, its value and where the value comes from.
  [[nodiscard]] std::string effective() const;
};

OperatorFile parse_operator_file(std::string_view text);
// Throws SettingsError when the file can't be read, or with its errors, one a line.
OperatorFile read_operator_file(const std::string& path);

}  // namespace damsonspoke
