// Base64 with padding (RFC 4648, section 4), strict: no blanks, no missing padding, no stray bits.
#pragma once

#include <string>
#include <string_view>

namespace damsonspoke::wire {

void append_base64(std::string& out, std::string_view bytes);
bool decode_base64(std::string_view text, std::string& out);

}  // namespace damsonspoke::wire
