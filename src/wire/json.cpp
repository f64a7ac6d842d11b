#include "wire/json.h"

#include <charconv>
#include <cmath>
#include <optional>

namespace damsonspoke::wire {
namespace {

constexpr int kMaxDepth = 16;  // levels; the messages have three
constexpr std::size_t kHexDigits = 4;

// UTF-16 encodes code points beyond the first plane as two surrogates, the high one first.
constexpr unsigned kFirstHighSurrogate = 0xd800;
constexpr unsigned kFirstLowSurrogate = 0xdc00;
constexpr unsigned kAfterSurrogates = 0xe000;
constexpr unsigned kFirstSupplementaryCode = 0x10000;
constexpr unsigned kSurrogateBits = 10;

void append_utf8(std::string& out, unsigned code) {
  const auto continuation = [code](unsigned shift) {
    return static_cast<char>(0x80 | (code >> shift & 0x3f));
  };
  if (code < 0x80) {
    out += static_cast<char>(code);
  } else if (code < 0x800) {
    out += static_cast<char>(0xc0 | code >> 6);
    out += continuation(0);
  } else if (code < kFirstSupplementaryCode) {
    out += static_cast<char>(0xe0 | code >> 12);
    out += continuation(6);
    out += continuation(0);
  } else {
    out += static_cast<char>(0xf0 | code >> 18);
    out += continuation(12);
    out += continuation(6);
    out += continuation(0);
  }
}

bool is_digit(char c) { return c >= '0' && c <= '9'; }

bool is_control(char c) { return static_cast<unsigned char>(c) < ' '; }

// The number of digits at the start of the text.
std::size_t count_digits(std::string_view text) {
  std::size_t count = 0;
  while (count < text.size() && is_digit(text[count])) ++count;
  return count;
}

// The length of the number at the start of the text; 0: there is none.
std::size_t number_length(std::string_view text) {
  std::size_t length = text.starts_with('-') ? 1 : 0;
  const std::size_t integer_digits = count_digits(text.substr(length));
  const bool has_leading_zero = integer_digits > 1 && text[length] == '0';
  if (integer_digits == 0 || has_leading_zero) return 0;
  length += integer_digits;
  if (text.substr(length).starts_with('.')) {
    const std::size_t digits = count_digits(text.substr(length + 1));
    if (digits == 0) return 0;
    length += 1 + digits;
  }
  const std::string_view rest = text.substr(length);
  if (!rest.starts_with('e') && !rest.starts_with('E')) return length;
  const bool has_sign = rest.size() > 1 && (rest[1] == '+' || rest[1] == '-');
  const std::size_t before_exponent = has_sign ? 2 : 1;
  const std::size_t digits = count_digits(rest.substr(before_exponent));
  return digits == 0 ? 0 : length + before_exponent + digits;
}

// The character that a backslash and this character stand for; none where they are not an escape sequence
// of two characters.
std::optional<char> unescaped(char c) {
  switch (c) {
    case '"':
    case '\\':
    case '/': return c;
    case 'b': return '\b';
    case 'f': return '\f';
    case 'n': return '\n';
    case 'r': return '\r';
    case 't': return '\t';
    default: return std::nullopt;
  }
}

}  // namespace

void JsonCursor::skip_whitespace() {
  while (at_ < text_.size() &&
         (text_[at_] == ' ' || text_[at_] == '\t' || text_[at_] == '\r' || text_[at_] == '\n'))
    ++at_;
}

bool JsonCursor::take(char sign) {
  skip_whitespace();
  if (at_ >= text_.size() || text_[at_] != sign) return false;
  ++at_;
  return true;
}

bool JsonCursor::enter(char open) { return take(open) && ++depth_ <= kMaxDepth; }

bool JsonCursor::at_end() {
  skip_whitespace();
  return at_ == text_.size();
}

JsonKind JsonCursor::next_kind() {
  skip_whitespace();
  if (at_ >= text_.size()) return JsonKind::kNone;
  switch (const char c = text_[at_]; c) {
    case '{': return JsonKind::kObject;
    case '[': return JsonKind::kArray;
    case '"': return JsonKind::kString;
    case 't':
    case 'f': return JsonKind::kBool;
    case 'n': return JsonKind::kNull;
    default: return c == '-' || is_digit(c) ? JsonKind::kNumber : JsonKind::kNone;
  }
}

bool JsonCursor::take_literal(std::string_view word) {
  if (text_.substr(at_, word.size()) != word) return false;
  at_ += word.size();
  return true;
}

bool JsonCursor::read_boolean(bool& out) {
  skip_whitespace();
  const bool is_true = take_literal("true");
  if (!is_true && !take_literal("false")) return false;
  out = is_true;
  return true;
}

bool JsonCursor::read_number(double& out) {
  skip_whitespace();
  const std::string_view rest = text_.substr(at_);
  const std::size_t length = number_length(rest);
  if (length == 0) return false;
  const char* const end = rest.data() + length;
  const auto [stop, error] = std::from_chars(rest.data(), end, out);
  if (error != std::errc() || stop != end || !std::isfinite(out)) return false;
  at_ += length;
  return true;
}

bool JsonCursor::read_four_hex_digits(unsigned& out) {
  if (text_.size() - at_ < kHexDigits) return false;
  const char* const from = text_.data() + at_;
  const auto [stop, error] = std::from_chars(from, from + kHexDigits, out, 16);
  if (error != std::errc() || stop != from + kHexDigits) return false;
  at_ += kHexDigits;
  return true;
}

// Reads the escape sequence after the backslash.
bool JsonCursor::read_escape(std::string& out) {
  if (at_ >= text_.size()) return false;
  const char kind = text_[at_++];
  if (kind == 'u') return read_unicode_escape(out);
  const std::optional<char> character = unescaped(kind);
  if (!character) return false;
  out += *character;
  return true;
}

bool JsonCursor::read_unicode_escape(std::string& out) {
  unsigned code = 0;
  if (!read_four_hex_digits(code)) return false;
  if (code >= kFirstLowSurrogate && code < kAfterSurrogates) return false;
  if (code >= kFirstHighSurrogate && code < kFirstLowSurrogate) {
    unsigned low = 0;
    if (!take_literal("\\u") || !read_four_hex_digits(low)) return false;
    if (low < kFirstLowSurrogate || low >= kAfterSurrogates) return false;
    code = kFirstSupplementaryCode + ((code - kFirstHighSurrogate) << kSurrogateBits) +
           (low - kFirstLowSurrogate);
  }
  append_utf8(out, code);
  return true;
}

bool JsonCursor::read_string(std::string& out) {
  if (!take('"')) return false;
  out.clear();
  while (at_ < text_.size()) {
    std::size_t end = at_;
    while (end < text_.size() && text_[end] != '"' && text_[end] != '\\') {
      if (is_control(text_[end])) return false;
      ++end;
    }
    out.append(text_, at_, end - at_);
    at_ = end;
    if (at_ >= text_.size()) return false;
    if (text_[at_++] == '"') return true;
    if (!read_escape(out)) return false;
  }
  return false;
}

bool JsonCursor::skip_array() {
  if (!enter('[')) return false;
  if (take(']')) return leave();
  do {
    if (!skip_value()) return false;
  } while (take(','));
  return take(']') && leave();
}

bool JsonCursor::skip_value() {
  switch (next_kind()) {
    case JsonKind::kObject: return read_object([this](const std::string&) { return skip_value(); });
    case JsonKind::kArray: return skip_array();
    case JsonKind::kString: {
      std::string ignored;
      return read_string(ignored);
    }
    case JsonKind::kNumber: {
      double ignored = 0;
      return read_number(ignored);
    }
    case JsonKind::kBool: {
      bool ignored = false;
      return read_boolean(ignored);
    }
    case JsonKind::kNull: return take_literal("null");
    case JsonKind::kNone: return false;
  }
  return false;
}

void append_quoted(std::string& out, std::string_view text) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  out += '"';
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (is_control(c)) {
      const auto code = static_cast<unsigned char>(c);
      out += "\\u00";
      out += kDigits[code >> 4];
      out += kDigits[code & 15];
    } else {
      out += c;
    }
  }
  out += '"';
}

}  // namespace damsonspoke::wire
