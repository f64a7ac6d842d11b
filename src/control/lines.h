// Codec for the protocol of the control socket. A query is one line of tokens; a response carries its length.
//
//   query     = token *(SP token) LF            at most 256 bytes
//   response  = "ok" SP length LF text          or "error" SP text LF
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damsonspoke::control {

constexpr std::size_t kMaxQueryBytes = 256;            // including the line feed
constexpr std::size_t kMaxResponseBytes = 256 * 1024;  // of the text
constexpr std::size_t kMaxTokens = 8;

// Whether more bytes are needed, or the message is complete or malformed.
enum class ParseStatus { kNeedMore, kComplete, kMalformed };
struct Query {
  ParseStatus state = ParseStatus::kNeedMore;
  std::vector<std::string> tokens;
};
Query parse_query(std::string_view input);
std::string encode_query(const std::vector<std::string>& tokens);

struct Response {
  ParseStatus state = ParseStatus::kNeedMore;
  bool is_ok = false;
  std::string text;
};
Response parse_response(std::string_view input);
// Text that exceeds kMaxResponseBytes is truncated at the end of a line.
std::string encode_response(std::string_view text);
std::string encode_error(std::string_view text);

}  // namespace damsonspoke::control
