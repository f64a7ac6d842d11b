#include "settings/operator_file.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>

#include "settings/operator_schema.h"
#include "settings/operator_values.h"
#include "settings/settings.h"

namespace damsonspoke {
namespace {

using Type = DirectiveType;

constexpr std::size_t kMaxFileBytes = 1 << 20;
constexpr std::size_t kMaxErrorsShown = 50;

bool is_within(const Directive& directive, double value) {
  return value >= directive.minimum && value <= directive.maximum;
}

// Whether the words have the form and the range that the directive expects.
bool fits(const Directive& directive, const std::vector<std::string>& words) {
  if (directive.type == Type::kWords || directive.type == Type::kLines)
    return is_within(directive, static_cast<double>(words.size()));
  if (words.size() != 1) return false;
  const std::string& word = words.front();
  switch (directive.type) {
    case Type::kFlag: return word == "on" || word == "off";
    case Type::kChoice: {
      const std::vector<std::string> choices = split_words(directive.choices);
      return std::find(choices.begin(), choices.end(), word) != choices.end();
    }
    case Type::kText: return is_within(directive, static_cast<double>(word.size()));
    default: {
      const std::optional<double> number = read_number(directive.type, word);
      return number && is_within(directive, *number);
    }
  }
}

// Whether all words of the directive must be addresses or networks.
bool expects_prefixes(const Directive& directive) {
  return (directive.section == "gate" && directive.name == "known") ||
         (directive.section == "members" && directive.name == "peers");
}

// Checks a file line by line and adds its values and errors to the OperatorFile.
class Checker {
 public:
  explicit Checker(OperatorFile& file) : file_(file) {}

  void add(const OperatorLine& line) {
    if (line.is_section) {
      add_section(line);
    } else {
      add_directive(line);
    }
  }

 private:
  void add_section(const OperatorLine& line) {
    const OperatorWord& name = line.words.front();
    section_.clear();
    is_section_invalid_ = true;  // errors that follow from an invalid section are not reported
    if (!is_section(name.text))
      return add_error(line, name,
                       fmt::format("'{}' is not a section{}", name.text, hint(nearest_section(name.text))));
    if (line.words.size() > 1)
      return add_error(line, line.words[1], fmt::format("unexpected word after section '{}'", name.text));
    section_ = name.text;
    is_section_invalid_ = false;
  }

  void add_directive(const OperatorLine& line) {
    const OperatorWord& name = line.words.front();
    if (section_.empty()) {
      if (!is_section_invalid_)
        add_error(line, name, fmt::format("directive '{}' is outside of a section", name.text));
      return;
    }
    const Directive* directive = find_directive(section_, name.text);
    if (directive == nullptr)
      return add_error(line, name,
                       fmt::format("'{}' is not a directive of section '{}'{}", name.text, section_,
                                   hint(nearest_directive(section_, name.text))));
    std::vector<std::string> words;
    for (std::size_t i = 1; i < line.words.size(); ++i) words.push_back(line.words[i].text);
    if (!fits(*directive, words)) {
      const OperatorWord& place = line.words.size() > 1 ? line.words[1] : name;
      return add_error(line, place,
                       fmt::format("'{}' expects {}", directive->name, describe_expected(*directive)));
    }
    if (directive->type == Type::kLines) return add_table_line(line, name.text, std::move(words));
    if (expects_prefixes(*directive) && !check_prefixes(line, words)) return;
    add_value(line, std::move(words));
  }

  bool check_prefixes(const OperatorLine& line, const std::vector<std::string>& words) {
    for (std::size_t i = 0; i < words.size(); ++i) {
      if (conns::parse_prefix(words[i])) continue;
      add_error(line, line.words[i + 1], fmt::format("'{}' is not an address or network", words[i]));
      return false;
    }
    return true;
  }

  void add_value(const OperatorLine& line, std::vector<std::string> words) {
    const OperatorWord& name = line.words.front();
    const auto [value, is_new] = file_.given.try_emplace({section_, name.text});
    if (!is_new)
      return add_error(
          line, name,
          fmt::format("duplicate directive '{}', first given on line {}", name.text, value->second.line));
    value->second = {std::move(words), line.line, {}};
  }

  // Adds a line of a table. Each line is checked separately.
  void add_table_line(const OperatorLine& line, const std::string& name, std::vector<std::string> words) {
    if (section_ == "gate") {
      const auto group = read_client_group(words);
      if (const auto* error = std::get_if<ClientGroupError>(&group))
        return add_error(line, line.words[error->word + 1], error->text);
    } else {
      const auto route = read_ajp_route(words);
      if (const auto* error = std::get_if<AjpRouteError>(&route))
        return add_error(line, line.words[error->word + 1], error->text);
    }
    OperatorValue& value = file_.given[{section_, name}];
    if (value.lines.empty()) value.line = line.line;
    value.lines.push_back(std::move(words));
  }

  static std::string hint(const std::string& nearest) {
    return nearest.empty() ? "" : fmt::format("; did you mean '{}'?", nearest);
  }
  void add_error(const OperatorLine& line, const OperatorWord& place, std::string text) {
    file_.errors.push_back({line.line, place.column, std::move(text)});
  }

  OperatorFile& file_;
  std::string section_;
  bool is_section_invalid_ = false;
};

std::string format_errors(const std::string& path, const std::vector<OperatorError>& errors) {
  std::string text;
  const std::size_t shown = std::min(errors.size(), kMaxErrorsShown);
  for (std::size_t i = 0; i < shown; ++i) {
    const OperatorError& error = errors[i];
    if (!text.empty()) text += '\n';
    text += fmt::format("{}:{}:{}: {}", path, error.line, error.column, error.text);
  }
  if (errors.size() > shown) text += fmt::format("\n{}: {} more errors", path, errors.size() - shown);
  return text;
}

// A word as it is written in the file, with quotes where they are needed.
std::string quote_word(const std::string& word) {
  const bool needs_quotes = word.empty() || word.find_first_of(" \t\"#\\") != std::string::npos;
  if (!needs_quotes) return word;
  std::string quoted(1, '"');
  for (const char c : word) {
    if (c == '"' || c == '\\') quoted += '\\';
    quoted += c;
  }
  return quoted + '"';
}

std::string join_words(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    if (!text.empty()) text += ' ';
    text += quote_word(word);
  }
  return text;
}

// The lines of one directive in the output of `config show`.
std::string format_directive(const Directive& directive, const OperatorValue* given) {
  const std::string origin = given != nullptr ? fmt::format("line {}", given->line) : "default";
  if (given != nullptr && !given->lines.empty()) {
    std::string text;
    for (const std::vector<std::string>& line : given->lines)
      text += fmt::format("    {:<14} {:<20} # from {} on\n", directive.name, join_words(line), origin);
    return text;
  }
  const std::string value =
      join_words(given != nullptr ? given->words : split_words(directive.default_value));
  // A directive without a value is printed as a comment, so that the output is a valid file.
  if (value.empty()) return fmt::format("    # {} is not set ({})\n", directive.name, origin);
  return fmt::format("    {:<14} {:<20} # {}\n", directive.name, value, origin);
}

}  // namespace

OperatorFile parse_operator_file(std::string_view text) {
  OperatorFile file;
  OperatorLines lines = read_operator_lines(text);
  file.errors = std::move(lines.errors);
  Checker checker(file);
  for (const OperatorLine& line : lines.lines) checker.add(line);
  std::stable_sort(file.errors.begin(), file.errors.end(),
                   [](const OperatorError& a, const OperatorError& b) { return a.line < b.line; });
  file.options = convert_to_options(file.given);
  return file;
}

OperatorFile read_operator_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (in) text << in.rdbuf();
  if (!in || in.bad() || text.str().size() > kMaxFileBytes)
    throw SettingsError("operators' file: cannot read '" + path + "'");
  OperatorFile file = parse_operator_file(text.str());
  if (!file.errors.empty()) throw SettingsError(format_errors(path, file.errors));
  return file;
}

std::string OperatorFile::effective() const {
  std::string text;
  std::string_view section;
  for (const Directive& directive : directives()) {
    if (directive.section != section) {
      section = directive.section;
      text += fmt::format("{}\n", section);
    }
    const auto found = given.find({std::string(directive.section), std::string(directive.name)});
    text += format_directive(directive, found != given.end() ? &found->second : nullptr);
  }
  return text;
}

}  // namespace damsonspoke
