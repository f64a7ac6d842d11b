// The table of all directives of the operators' file. The parser, `config check`, `config show` and the
// reference page are driven by it.
#pragma once

#include <span>
#include <string>
#include <string_view>

namespace damsonspoke {

enum class DirectiveType {
  kFlag,  // on or off
  kSize,
  kDuration,
  kPercentage,
  kCount,
  kChoice,  // one of a list of words
  kText,    // one word
  kWords,   // any number of words
  kLines    // may be repeated; each line is an entry of a table
};

struct Directive {
  std::string_view section;
  std::string_view name;
  DirectiveType type;
  std::string_view default_value;  // as written in the file; empty: none
  double minimum = 0;        // in bytes, seconds, as a share or a count; kText: bytes; kWords, kLines: words
  double maximum = 0;        // in the same unit
  std::string_view choices;  // with kChoice: the words, separated by blanks
  std::string_view meaning;
};

std::span<const Directive> directives();
// Null if there is no such directive.
const Directive* find_directive(std::string_view section, std::string_view name);
bool is_section(std::string_view name);

// Describes the values that the directive accepts, for error messages: "a duration from 1ms to 10s".
std::string describe_expected(const Directive& directive);
// The known name that is most similar to an unknown one; empty if none is similar.
std::string nearest_section(std::string_view name);
std::string nearest_directive(std::string_view section, std::string_view name);

// The reference of all directives as a Markdown page.
std::string directive_reference();

}  // namespace damsonspoke
