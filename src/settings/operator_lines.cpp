#include "settings/operator_lines.h"

#include <cstdlib>
#include <tao/pegtl.hpp>

namespace damsonspoke {
namespace {

namespace p = tao::pegtl;

// ---- The lines.
struct blanks : p::plus<p::blank> {};
struct comment : p::seq<p::one<'#'>, p::until<p::at<p::eolf>>> {};
struct plain_char : p::not_one<' ', '\t', '\r', '\n', '"', '#', '\0'> {};
struct plain : p::plus<plain_char> {};
struct escaped : p::seq<p::one<'\\'>, p::one<'"', '\\'>> {};
struct quoted_text : p::star<p::sor<escaped, p::not_one<'"', '\\', '\r', '\n', '\0'>>> {};
struct quoted : p::seq<p::one<'"'>, quoted_text, p::one<'"'>> {};
struct word : p::sor<quoted, plain> {};
struct words : p::list<word, blanks> {};
struct indent : blanks {};
struct line_end : p::seq<p::opt<blanks>, p::opt<comment>, p::at<p::eolf>> {};
struct empty_line : line_end {};
struct directive_line : p::seq<indent, words, line_end> {};
struct section_line : p::seq<words, line_end> {};
struct good_line : p::sor<empty_line, directive_line, section_line> {};
struct bad_line : p::until<p::at<p::eolf>> {};
struct one_line : p::seq<p::not_at<p::eof>, p::sor<good_line, bad_line>, p::eolf> {};
struct whole_file : p::must<p::star<one_line>, p::eof> {};

struct Reading {
  OperatorLines out;
  std::vector<OperatorWord> words;
};

std::string unescaped(std::string_view text) {
  std::string plain_text;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '\\' && i + 1 < text.size()) ++i;
    plain_text += text[i];
  }
  return plain_text;
}

template <typename Rule>
struct Action {};
template <>
struct Action<plain> {
  template <typename Input>
  static void apply(const Input& in, Reading& r) {
    r.words.push_back({in.string(), in.position().column});
  }
};
template <>
struct Action<quoted_text> {
  template <typename Input>
  static void apply(const Input& in, Reading& r) {
    r.words.push_back({unescaped(in.string()), in.position().column});
  }
};

void keep(Reading& r, bool section, std::size_t line) {
  r.out.lines.push_back({section, line, std::move(r.words)});
  r.words.clear();
}
template <>
struct Action<directive_line> {
  template <typename Input>
  static void apply(const Input& in, Reading& r) {
    keep(r, false, in.position().line);
  }
};
template <>
struct Action<section_line> {
  template <typename Input>
  static void apply(const Input& in, Reading& r) {
    keep(r, true, in.position().line);
  }
};
// The grammar goes back over what a failed alternative had collected.
template <>
struct Action<indent> {
  static void apply0(Reading& r) { r.words.clear(); }
};
template <>
struct Action<bad_line> {
  template <typename Input>
  static void apply(const Input& in, Reading& r) {
    const std::string text = in.string();
    const std::size_t quote = text.find('"');
    const std::size_t column = quote == std::string::npos ? 1 : quote + 1;
    const bool open = quote != std::string::npos && text.find('"', quote + 1) == std::string::npos;
    r.out.errors.push_back(
        {in.position().line, column,
         open ? "a quote that is not closed on its line"
              : "cannot be read: words are separated by blanks, quotes stand around whole words"});
    r.words.clear();
  }
};

// ---- The values.
struct number_text : p::seq<p::plus<p::digit>, p::opt<p::one<'.'>, p::plus<p::digit>>> {};
struct whole_text : p::plus<p::digit> {};
template <typename Unit>
struct with_unit : p::seq<number_text, Unit, p::eof> {};
struct size_unit : p::opt<p::one<'K', 'M', 'G'>> {};
struct time_unit : p::sor<p::string<'u', 's'>, p::string<'m', 's'>, p::one<'s', 'm', 'h', 'd'>> {};
struct percent_sign : p::one<'%'> {};

struct Value {
  double number = 0;
  std::string unit;
};
template <typename Rule>
struct ValueAction {};
template <>
struct ValueAction<number_text> {
  template <typename Input>
  static void apply(const Input& in, Value& v) {
    v.number = std::strtod(in.string().c_str(), nullptr);
  }
};
struct KeepUnit {
  template <typename Input>
  static void apply(const Input& in, Value& v) {
    v.unit = in.string();
  }
};
template <>
struct ValueAction<size_unit> : KeepUnit {};
template <>
struct ValueAction<time_unit> : KeepUnit {};

template <typename Unit>
bool read_value(std::string_view text, Value& v) {
  p::memory_input in(text.data(), text.size(), "");
  return p::parse<with_unit<Unit>, ValueAction>(in, v);
}

}  // namespace

OperatorLines read_operator_lines(std::string_view text) {
  Reading reading;
  p::memory_input in(text.data(), text.size(), "");
  p::parse<whole_file, Action>(in, reading);
  return std::move(reading.out);
}

bool read_size(std::string_view word, double& bytes) {
  Value v;
  if (!read_value<size_unit>(word, v)) return false;
  const double scale = v.unit == "K"   ? 1024
                       : v.unit == "M" ? 1024.0 * 1024
                       : v.unit == "G" ? 1073741824.0
                                       : 1;
  bytes = v.number * scale;
  return true;
}

bool read_duration(std::string_view word, double& seconds) {
  Value v;
  if (!read_value<time_unit>(word, v)) return false;
  const double scale = v.unit == "us"   ? 1e-6
                       : v.unit == "ms" ? 1e-3
                       : v.unit == "s"  ? 1
                       : v.unit == "m"  ? 60
                       : v.unit == "h"  ? 3600
                                        : 86400;
  seconds = v.number * scale;
  return true;
}

bool read_percentage(std::string_view word, double& share) {
  Value v;
  if (!read_value<percent_sign>(word, v)) return false;
  share = v.number / 100;
  return true;
}

bool read_count(std::string_view word, double& count) {
  p::memory_input in(word.data(), word.size(), "");
  if (!p::parse<p::seq<whole_text, p::eof>>(in) || word.size() > 12) return false;
  count = std::strtod(std::string(word).c_str(), nullptr);
  return true;
}

}  // namespace damsonspoke
