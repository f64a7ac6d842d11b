// A cursor over JSON text (RFC 8259): values are read in the order of the text, directly into the caller's
// fields, without a document tree. Nesting depth is bounded.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace damsonspoke::wire {

// The type of a value; kNone: there is no value.
enum class JsonKind { kObject, kArray, kString, kNumber, kBool, kNull, kNone };

// Positioned before a value, a punctuation character or the end of the text. A reading function returns
// false where the text is invalid or the value is of another kind; the cursor must not be used after that.
class JsonCursor {
 public:
  // The text must outlive the cursor.
  explicit JsonCursor(std::string_view text) : text_(text) {}

  // The kind of the next value, by its first character.
  [[nodiscard]] JsonKind next_kind();
  // Replaces `out`, with escapes resolved to UTF-8.
  bool read_string(std::string& out);
  // A finite number.
  bool read_number(double& out);
  bool read_boolean(bool& out);
  // Skips a value of any kind.
  bool skip_value();
  // Whether only whitespace is left.
  [[nodiscard]] bool at_end();

  // Calls on_member(name) for each member; on_member must read the value, and returns false where it can't.
  template <typename OnMember>
  bool read_object(const OnMember& on_member) {
    if (!enter('{')) return false;
    if (take('}')) return leave();
    do {
      std::string name;
      if (!read_string(name) || !take(':') || !on_member(name)) return false;
    } while (take(','));
    return take('}') && leave();
  }

 private:
  // Consumes the character that opens an object or array; also false where nesting is too deep.
  bool enter(char open);
  bool leave() {
    --depth_;
    return true;
  }
  void skip_whitespace();
  bool skip_array();
  bool take(char sign);
  bool take_literal(std::string_view word);
  bool read_escape(std::string& out);
  bool read_unicode_escape(std::string& out);
  bool read_four_hex_digits(unsigned& out);

  std::string_view text_;
  std::size_t at_ = 0;
  int depth_ = 0;
};

// Appends the text as a JSON string, quotes included.
void append_quoted(std::string& out, std::string_view text);

}  // namespace damsonspoke::wire
