#include "control/lines.h"

#include <algorithm>
#include <charconv>

namespace damsonspoke::control {
namespace {

constexpr std::string_view kOk = "ok ";
constexpr std::string_view kError = "error ";
constexpr std::size_t kMaxHeaderBytes = 64;  // the first line of a response that is not an error

bool is_printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c < 0x7f; });
}

}  // namespace

Query parse_query(std::string_view input) {
  const std::size_t end = input.substr(0, kMaxQueryBytes).find('\n');
  if (end == std::string_view::npos)
    return {input.size() >= kMaxQueryBytes ? ParseStatus::kMalformed : ParseStatus::kNeedMore, {}};
  const std::string_view line = input.substr(0, end);
  Query query{ParseStatus::kComplete, {}};
  for (std::size_t at = 0; at < line.size();) {
    const std::size_t space = std::min(line.find(' ', at), line.size());
    if (space > at) query.tokens.emplace_back(line.substr(at, space - at));
    at = space + 1;
  }
  if (query.tokens.empty() || query.tokens.size() > kMaxTokens || !is_printable(line))
    return {ParseStatus::kMalformed, {}};
  return query;
}

std::string encode_query(const std::vector<std::string>& tokens) {
  std::string out;
  for (const std::string& token : tokens) {
    if (!out.empty()) out += ' ';
    out += token;
  }
  out += '\n';
  return out;
}

Response parse_response(std::string_view input) {
  const std::size_t end = input.find('\n');
  if (input.substr(0, kError.size()) == kError) {
    if (end == std::string_view::npos)
      return {input.size() > kMaxResponseBytes ? ParseStatus::kMalformed : ParseStatus::kNeedMore, false, {}};
    return {ParseStatus::kComplete, false, std::string(input.substr(kError.size(), end - kError.size()))};
  }
  if (end == std::string_view::npos)
    return {input.size() > kMaxHeaderBytes ? ParseStatus::kMalformed : ParseStatus::kNeedMore, false, {}};
  if (input.substr(0, kOk.size()) != kOk) return {ParseStatus::kMalformed, false, {}};
  std::size_t length = 0;
  const char* first = input.data() + kOk.size();
  const char* last = input.data() + end;
  const auto parsed = std::from_chars(first, last, length);
  if (parsed.ec != std::errc() || parsed.ptr != last || first == last || length > kMaxResponseBytes)
    return {ParseStatus::kMalformed, false, {}};
  if (input.size() - end - 1 < length) return {ParseStatus::kNeedMore, false, {}};
  return {ParseStatus::kComplete, true, std::string(input.substr(end + 1, length))};
}

std::string encode_response(std::string_view text) {
  if (text.size() > kMaxResponseBytes) {
    const std::size_t line = text.substr(0, kMaxResponseBytes).rfind('\n');
    text = text.substr(0, line == std::string_view::npos ? kMaxResponseBytes : line + 1);
  }
  return std::string(kOk) + std::to_string(text.size()) + "\n" + std::string(text);
}

std::string encode_error(std::string_view text) {
  std::string out(kError);
  for (const char c : text.substr(0, kMaxQueryBytes)) out += c == '\n' ? ' ' : c;
  return out + "\n";
}

}  // namespace damsonspoke::control
