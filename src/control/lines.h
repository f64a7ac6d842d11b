// What is said on the control socket: one line of words, and one answer, whole by its told length. A codec.
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

constexpr std::size_t kMostRequest = 256;        // bytes, with its end
constexpr std::size_t kMostAnswer = 256 * 1024;  // bytes of text
constexpr std::size_t kMostWords = 8;

enum class Reading { kNeedMore, kWhole, kBroken };
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
std::string encode_answer(std::string_view text);  // what is over the bound is cut at a line's end
std::string encode_error(std::string_view text);

}  // namespace damsonspoke::control
