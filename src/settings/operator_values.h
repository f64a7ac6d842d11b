// Converts the checked values of the operators' file to options.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "conns/connection_limiter.h"
#include "settings/operator_file.h"
#include "settings/operator_options.h"
#include "settings/operator_schema.h"

namespace damsonspoke {

// Splits a text without quotes into words.
std::vector<std::string> split_words(std::string_view text);

// The numeric value of a word for a directive of this type; nothing if the word does not have that form.
[[nodiscard]] std::optional<double> read_number(DirectiveType type, std::string_view word);

struct ClientGroupError {
  std::size_t word = 0;  // the position of the word with the error, from 0
  std::string text;
};
// Reads the words of a line after `group`: a name, a percentage, addresses or networks.
[[nodiscard]] std::variant<conns::ClientGroup, ClientGroupError> read_client_group(
    const std::vector<std::string>& words);

// Converts the given values to options; directives that are not given have their defaults.
OperatorOptions convert_to_options(const OperatorValues& given);

}  // namespace damsonspoke
