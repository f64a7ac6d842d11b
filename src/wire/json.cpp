#include "wire/json.h"

#include <charconv>
#include <cmath>

namespace damsonspoke::wire {
namespace {

constexpr int kMaxDepth = 16;  // levels; the messages have three, the rest could only be meant to hurt

void append_utf8(std::string& out, unsigned code) {
  if (code < 0x80) {
    out += static_cast<char>(code);
  } else if (code < 0x800) {
    out += static_cast<char>(0xc0 | code >> 6);
    out += static_cast<char>(0x80 | (code & 0x3f));
  } else if (code < 0x10000) {
    out += static_cast<char>(0xe0 | code >> 12);
    out += static_cast<char>(0x80 | (code >> 6 & 0x3f));
    out += static_cast<char>(0x80 | (code & 0x3f));
  } else {
    out += static_cast<char>(0xf0 | code >> 18);
    out += static_cast<char>(0x80 | (code >> 12 & 0x3f));
    out += static_cast<char>(0x80 | (code >> 6 & 0x3f));
    out += static_cast<char>(0x80 | (code & 0x3f));
  }
}

bool is_digit(char c) { return c >= '0' && c <= '9'; }

}  // namespace

void JsonCursor::skip_blanks() {
  while (at_ < text_.size() &&
         (text_[at_] == ' ' || text_[at_] == '\t' || text_[at_] == '\r' || text_[at_] == '\n'))
    ++at_;
}

bool JsonCursor::take(char c) {
  skip_blanks();
  if (at_ >= text_.size() || text_[at_] != c) return false;
  ++at_;
  return true;
}

bool JsonCursor::enter(char open) { return take(open) && ++depth_ <= kMaxDepth; }

bool JsonCursor::at_end() {
  skip_blanks();
  return at_ == text_.size();
}

JsonKind JsonCursor::next_kind() {
  skip_blanks();
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

bool JsonCursor::take_word(std::string_view word) {
  if (text_.substr(at_, word.size()) != word) return false;
  at_ += word.size();
  return true;
}

bool JsonCursor::read_boolean(bool& out) {
  skip_blanks();
  if (take_word("true")) return out = true, true;
  if (take_word("false")) return out = false, true;
  return false;
}

bool JsonCursor::read_number(double& out) {
  skip_blanks();
  std::size_t end = at_;
  const auto digits = [&] {
    const std::size_t from = end;
    while (end < text_.size() && is_digit(text_[end])) ++end;
    return end > from;
  };
  if (end < text_.size() && text_[end] == '-') ++end;
  const std::size_t first = end;
  if (!digits()) return false;
  if (text_[first] == '0' && end > first + 1) return false;
  if (end < text_.size() && text_[end] == '.') {
    ++end;
    if (!digits()) return false;
  }
  if (end < text_.size() && (text_[end] == 'e' || text_[end] == 'E')) {
    ++end;
    if (end < text_.size() && (text_[end] == '+' || text_[end] == '-')) ++end;
    if (!digits()) return false;
  }
  const auto [stop, error] = std::from_chars(text_.data() + at_, text_.data() + end, out);
  if (error != std::errc() || stop != text_.data() + end || !std::isfinite(out)) return false;
  at_ = end;
  return true;
}

bool JsonCursor::read_four_hex_digits(unsigned& out) {
  if (text_.size() - at_ < 4) return false;
  const char* from = text_.data() + at_;
  const auto [stop, error] = std::from_chars(from, from + 4, out, 16);
  if (error != std::errc() || stop != from + 4) return false;
  at_ += 4;
  return true;
}

bool JsonCursor::read_escape(std::string& out) {
  if (at_ >= text_.size()) return false;
  switch (text_[at_++]) {
    case '"': out += '"'; return true;
    case '\\': out += '\\'; return true;
    case '/': out += '/'; return true;
    case 'b': out += '\b'; return true;
    case 'f': out += '\f'; return true;
    case 'n': out += '\n'; return true;
    case 'r': out += '\r'; return true;
    case 't': out += '\t'; return true;
    case 'u': break;
    default: return false;
  }
  unsigned code = 0;
  if (!read_four_hex_digits(code)) return false;
  if (code >= 0xdc00 && code < 0xe000) return false;
  if (code >= 0xd800 && code < 0xdc00) {
    unsigned low = 0;
    if (!take_word("\\u") || !read_four_hex_digits(low) || low < 0xdc00 || low >= 0xe000) return false;
    code = 0x10000 + ((code - 0xd800) << 10) + (low - 0xdc00);
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
      if (static_cast<unsigned char>(text_[end]) < ' ') return false;
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

bool JsonCursor::skip_value() {
  switch (next_kind()) {
    case JsonKind::kObject: return read_object([this](const std::string&) { return skip_value(); });
    case JsonKind::kArray:
      if (!enter('[')) return false;
      if (take(']')) return leave();
      do {
        if (!skip_value()) return false;
      } while (take(','));
      return take(']') && leave();
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
    case JsonKind::kNull: return take_word("null");
    case JsonKind::kNone: return false;
  }
  return false;
}

void append_quoted(std::string& out, std::string_view text) {
  static constexpr char kHex[] = "0123456789abcdef";
  out += '"';
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (static_cast<unsigned char>(c) < ' ') {
      out += "\\u00";
      out += kHex[c >> 4];
      out += kHex[c & 15];
    } else {
      out += c;
    }
  }
  out += '"';
}

}  // namespace damsonspoke::wire
