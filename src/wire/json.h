// A cursor over JSON text: members are taken as they come, straight into the reader's fields, with no tree in
// between. Depth is bounded. Any false return means that the text is damaged and the rest is not looked at.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace damsonspoke::wire {

enum class JsonKind { kObject, kArray, kString, kNumber, kBool, kNull, kNone };

class JsonCursor {
 public:
  explicit JsonCursor(std::string_view text) : text_(text) {}

  JsonKind next_kind();  // of the value that comes next
  bool read_string(std::string& out);
  bool read_number(double& out);
  bool read_boolean(bool& out);
  bool skip_value();
  bool at_end();  // nothing but blanks is left

  // Calls on_member(key) for each member; it has to take the value.
  template <typename OnMember>
  bool read_object(OnMember&& on_member) {
    if (!enter('{')) return false;
    if (take('}')) return leave();
    do {
      std::string key;
      if (!read_string(key) || !take(':') || !on_member(key)) return false;
    } while (take(','));
    return take('}') && leave();
  }

 private:
  bool enter(char open);
  bool leave() {
    --depth_;
    return true;
  }
  void skip_blanks();
  bool take(char c);
  bool take_word(std::string_view word);
  bool read_escape(std::string& out);
  bool read_four_hex_digits(unsigned& out);

  std::string_view text_;
  std::size_t at_ = 0;
  int depth_ = 0;
};

// A string as JSON writes it, quotes included.
void append_quoted(std::string& out, std::string_view text);

}  // namespace damsonspoke::wire
