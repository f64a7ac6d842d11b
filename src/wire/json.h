// A cursor over JSON text (RFC 8259): members are taken as they come, straight into the reader's fields, with
// no tree in between. Depth is bounded.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace damsonspoke::wire {

// What a value is; kNone: there is no value.
enum class JsonKind { kObject, kArray, kString, kNumber, kBool, kNull, kNone };

// Stands before a value, a sign or the end of the text. False from any function that reads means that the
// text is damaged or the value is of another kind; the cursor is of no use after it.
class JsonCursor {
 public:
  // The text must outlive the cursor.
  explicit JsonCursor(std::string_view text) : text_(text) {}

  // The kind of the value that comes next, by its first character.
  [[nodiscard]] JsonKind next_kind();
  // Replaces `out`, with escapes resolved to UTF-8.
  bool read_string(std::string& out);
  // A finite number.
  bool read_number(double& out);
  bool read_boolean(bool& out);
  // Passes over a value of any kind.
  bool skip_value();
  // Whether nothing but blanks is left.
  [[nodiscard]] bool at_end();

  // Calls on_member(name) for each member; it has to take the value, and returns false where it can't.
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
  // Takes the sign that opens an object or array; false also where they are nested too deep.
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

// Appends a string as JSON writes it, quotes included.
void append_quoted(std::string& out, std::string_view text);

}  // namespace damsonspoke::wire
