// The protocol of the control socket: a query is one line of words, its answer is framed by its length. A
// codec.
//
//   request  = word *(SP word) LF               at most 256 bytes
//   answer   = "ok" SP length LF text           or "error" SP text LF
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damsonspoke::control {

constexpr std::size_t kMaxRequestBytes = 256;        // with its line feed
constexpr std::size_t kMaxAnswerBytes = 256 * 1024;  // of text
constexpr std::size_t kMaxWords = 8;

// More bytes are needed; the message is complete; it is malformed.
enum class Reading { kNeedMore, kComplete, kMalformed };
struct Request {
  Reading state = Reading::kNeedMore;
  std::vector<std::string> words;
};
Request read_request(std::string_view input);
std::string encode_request(const std::vector<std::string>& words);

struct Answer {
  Reading state = Reading::kNeedMore;
  bool good = false;
  std::string text;
};
Answer read_answer(std::string_view input);
// Text over the bound is cut at the end of a line.
std::string encode_answer(std::string_view text);
std::string encode_error(std::string_view text);

}  // namespace damsonspoke::control
