#include "control/lines.h"

#include <algorithm>
#include <charconv>

namespace damsonspoke::control {
namespace {

constexpr std::string_view kOk = "ok ", kError = "error ";
constexpr std::size_t kMostHead = 64;  // of an answer that is good

bool printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c < 0x7f; });
}

}  // namespace

Request read_request(std::string_view input) {
  const std::size_t end = input.substr(0, kMostRequest).find('\n');
  if (end == std::string_view::npos)
    return {input.size() >= kMostRequest ? Reading::kBroken : Reading::kNeedMore, {}};
  const std::string_view line = input.substr(0, end);
  Request out{Reading::kWhole, {}};
  for (std::size_t at = 0; at < line.size();) {
    const std::size_t blank = std::min(line.find(' ', at), line.size());
    if (blank > at) out.words.emplace_back(line.substr(at, blank - at));
    at = blank + 1;
  }
  if (out.words.empty() || out.words.size() > kMostWords || !printable(line)) return {Reading::kBroken, {}};
  return out;
}

std::string encode_request(const std::vector<std::string>& words) {
  std::string out;
  for (const std::string& word : words) {
    if (!out.empty()) out += ' ';
    out += word;
  }
  out += '\n';
  return out;
}

Answer read_answer(std::string_view input) {
  const std::size_t end = input.find('\n');
  if (input.substr(0, kError.size()) == kError) {
    if (end == std::string_view::npos)
      return {input.size() > kMostAnswer ? Reading::kBroken : Reading::kNeedMore, false, {}};
    return {Reading::kWhole, false, std::string(input.substr(kError.size(), end - kError.size()))};
  }
  if (end == std::string_view::npos)
    return {input.size() > kMostHead ? Reading::kBroken : Reading::kNeedMore, false, {}};
  if (input.substr(0, kOk.size()) != kOk) return {Reading::kBroken, false, {}};
  std::size_t length = 0;
  const char *first = input.data() + kOk.size(), *last = input.data() + end;
  const auto read = std::from_chars(first, last, length);
  if (read.ec != std::errc() || read.ptr != last || first == last || length > kMostAnswer)
    return {Reading::kBroken, false, {}};
  if (input.size() - end - 1 < length) return {Reading::kNeedMore, false, {}};
  return {Reading::kWhole, true, std::string(input.substr(end + 1, length))};
}

std::string encode_answer(std::string_view text) {
  if (text.size() > kMostAnswer) {
    const std::size_t line = text.substr(0, kMostAnswer).rfind('\n');
    text = text.substr(0, line == std::string_view::npos ? kMostAnswer : line + 1);
  }
  return std::string(kOk) + std::to_string(text.size()) + "\n" + std::string(text);
}

std::string encode_error(std::string_view text) {
  std::string out(kError);
  for (const char c : text.substr(0, kMostRequest)) out += c == '\n' ? ' ' : c;
  return out + "\n";
}

}  // namespace damsonspoke::control
