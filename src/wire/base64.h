// Base64 with padding (RFC 4648, section 4), strict: no whitespace, no missing padding, no bits beyond the
// last byte.
#pragma once

#include <string>
#include <string_view>

namespace damsonspoke::wire {

// Appends the digits of the bytes, with their padding.
void append_base64(std::string& out, std::string_view bytes);
// Replaces `out` by the bytes; false, with `out` undefined, where the text is not valid.
[[nodiscard]] bool decode_base64(std::string_view text, std::string& out);

}  // namespace damsonspoke::wire
