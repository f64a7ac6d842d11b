#include "settings/operator_lines.h"

#include <cstdlib>
#include <tao/pegtl.hpp>

namespace damsonspoke {
namespace {

namespace p = tao::pegtl;

// ---- Grammar of lines.
struct Blanks : p::plus<p::blank> {};
struct Comment : p::seq<p::one<'#'>, p::until<p::at<p::eolf>>> {};
struct PlainChar : p::not_one<' ', '\t', '\r', '\n', '"', '#', '\0'> {};
struct Plain : p::plus<PlainChar> {};
struct Escaped : p::seq<p::one<'\\'>, p::one<'"', '\\'>> {};
struct QuotedText : p::star<p::sor<Escaped, p::not_one<'"', '\\', '\r', '\n', '\0'>>> {};
struct Quoted : p::seq<p::one<'"'>, QuotedText, p::one<'"'>> {};
struct Word : p::sor<Quoted, Plain> {};
struct Words : p::list<Word, Blanks> {};
struct Indent : Blanks {};
struct LineEnd : p::seq<p::opt<Blanks>, p::opt<Comment>, p::at<p::eolf>> {};
struct EmptyLine : LineEnd {};
struct DirectiveLine : p::seq<Indent, Words, LineEnd> {};
struct SectionLine : p::seq<Words, LineEnd> {};
struct GoodLine : p::sor<EmptyLine, DirectiveLine, SectionLine> {};
struct BadLine : p::until<p::at<p::eolf>> {};
struct OneLine : p::seq<p::not_at<p::eof>, p::sor<GoodLine, BadLine>, p::eolf> {};
struct WholeFile : p::must<p::star<OneLine>, p::eof> {};

struct ParseState {
  OperatorLines result;
  std::vector<OperatorWord> words;  // of the current line
};

std::string unescape(std::string_view text) {
  std::string unescaped;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '\\' && i + 1 < text.size()) ++i;
    unescaped += text[i];
  }
  return unescaped;
}

template <typename Rule>
struct Action {};
template <>
struct Action<Plain> {
  template <typename Input>
  static void apply(const Input& in, ParseState& state) {
    state.words.push_back({in.string(), in.position().column});
  }
};
template <>
struct Action<QuotedText> {
  template <typename Input>
  static void apply(const Input& in, ParseState& state) {
    state.words.push_back({unescape(in.string()), in.position().column});
  }
};

void add_line(ParseState& state, bool is_section, std::size_t line) {
  state.result.lines.push_back({is_section, line, std::move(state.words)});
  state.words.clear();
}
template <>
struct Action<DirectiveLine> {
  template <typename Input>
  static void apply(const Input& in, ParseState& state) {
    add_line(state, false, in.position().line);
  }
};
template <>
struct Action<SectionLine> {
  template <typename Input>
  static void apply(const Input& in, ParseState& state) {
    add_line(state, true, in.position().line);
  }
};
// Discards words that a failed alternative of the grammar may have added.
template <>
struct Action<Indent> {
  static void apply0(ParseState& state) { state.words.clear(); }
};
template <>
struct Action<BadLine> {
  template <typename Input>
  static void apply(const Input& in, ParseState& state) {
    const std::string text = in.string();
    const std::size_t quote = text.find('"');
    const std::size_t column = quote == std::string::npos ? 1 : quote + 1;
    const bool is_unclosed = quote != std::string::npos && text.find('"', quote + 1) == std::string::npos;
    state.result.errors.push_back(
        {in.position().line, column,
         is_unclosed
             ? "unterminated quote: it must end on the same line"
             : "invalid line: words must be separated by blanks, and quotes must enclose whole words"});
    state.words.clear();
  }
};

// ---- Grammar of values.
struct NumberText : p::seq<p::plus<p::digit>, p::opt<p::one<'.'>, p::plus<p::digit>>> {};
struct IntegerText : p::plus<p::digit> {};
template <typename Unit>
struct WithUnit : p::seq<NumberText, Unit, p::eof> {};
struct SizeUnit : p::opt<p::one<'K', 'M', 'G'>> {};
struct TimeUnit : p::sor<p::string<'u', 's'>, p::string<'m', 's'>, p::one<'s', 'm', 'h', 'd'>> {};
struct PercentSign : p::one<'%'> {};

struct Value {
  double number = 0;
  std::string unit;
};
template <typename Rule>
struct ValueAction {};
template <>
struct ValueAction<NumberText> {
  template <typename Input>
  static void apply(const Input& in, Value& value) {
    value.number = std::strtod(in.string().c_str(), nullptr);
  }
};
struct StoreUnit {
  template <typename Input>
  static void apply(const Input& in, Value& value) {
    value.unit = in.string();
  }
};
template <>
struct ValueAction<SizeUnit> : StoreUnit {};
template <>
struct ValueAction<TimeUnit> : StoreUnit {};

template <typename Unit>
std::optional<Value> read_value(std::string_view text) {
  Value value;
  p::memory_input in(text.data(), text.size(), "");
  if (!p::parse<WithUnit<Unit>, ValueAction>(in, value)) return std::nullopt;
  return value;
}

constexpr double kKilobyte = 1024;
constexpr std::size_t kMaxCountDigits = 12;

double bytes_per(std::string_view unit) {
  if (unit == "K") return kKilobyte;
  if (unit == "M") return kKilobyte * kKilobyte;
  if (unit == "G") return kKilobyte * kKilobyte * kKilobyte;
  return 1;
}

double seconds_per(std::string_view unit) {
  if (unit == "us") return 1e-6;
  if (unit == "ms") return 1e-3;
  if (unit == "m") return 60;
  if (unit == "h") return 3600;
  if (unit == "d") return 86400;
  return 1;
}

}  // namespace

OperatorLines read_operator_lines(std::string_view text) {
  ParseState state;
  p::memory_input in(text.data(), text.size(), "");
  p::parse<WholeFile, Action>(in, state);
  return std::move(state.result);
}

std::optional<double> read_size(std::string_view word) {
  const auto value = read_value<SizeUnit>(word);
  if (!value) return std::nullopt;
  return value->number * bytes_per(value->unit);
}

std::optional<double> read_duration(std::string_view word) {
  const auto value = read_value<TimeUnit>(word);
  if (!value) return std::nullopt;
  return value->number * seconds_per(value->unit);
}

std::optional<double> read_percentage(std::string_view word) {
  const auto value = read_value<PercentSign>(word);
  if (!value) return std::nullopt;
  return value->number / 100;
}

std::optional<double> read_count(std::string_view word) {
  p::memory_input in(word.data(), word.size(), "");
  if (!p::parse<p::seq<IntegerText, p::eof>>(in) || word.size() > kMaxCountDigits) return std::nullopt;
  return std::strtod(std::string(word).c_str(), nullptr);
}

}  // namespace damsonspoke
