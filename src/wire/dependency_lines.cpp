#include "wire/dependency_lines.h"

#include <fmt/format.h>

#include <algorithm>

namespace damsonspoke::wire {
namespace {

constexpr std::size_t kIdDigits = 16;
constexpr std::size_t kMaxReplyLineBytes = 64;  // id, keyword and length take half of that

bool is_hex_digit(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

// Whether the input received so far can be the start of a reply. Guards against waiting for the end of
// garbage or of an unterminated line.
bool may_begin_reply(std::string_view input) {
  const std::string_view id = input.substr(0, kIdDigits);
  if (!std::all_of(id.begin(), id.end(), is_hex_digit)) return false;
  return input.size() <= kIdDigits || (input[kIdDigits] == ' ' && input.size() <= kMaxReplyLineBytes);
}

CallEnd call_end_of(std::string_view token) {
  if (token == "ok") return CallEnd::kOk;
  if (token == "overload") return CallEnd::kRejected;
  if (token == "internal") return CallEnd::kFailed;
  if (token == "deadline") return CallEnd::kTimedOut;
  if (token == "stale") return CallEnd::kObsolete;
  return CallEnd::kUnknown;
}

}  // namespace

ReplyRead next_reply(std::string_view input) {
  ReplyRead read;
  const TokenLine line = next_line(input);
  read.state = line.state;
  read.length = line.length;
  if (line.state == LineState::kNeedMore && !may_begin_reply(input)) read.state = LineState::kBroken;
  if (line.state != LineState::kLine || line.tokens.size() < 2) return read;
  const CallEnd end = call_end_of(line.tokens[1]);
  if (end == CallEnd::kOk) {
    if (line.tokens.size() != 3) {
      read.state = LineState::kBroken;  // a payload of unknown length follows
      return read;
    }
    const Payload payload = next_payload(input.substr(line.length), line.tokens[2]);
    read.state = payload.state;
    if (payload.state != LineState::kLine) return read;
    read.body = payload.bytes;
    read.length += payload.length;
  }
  if (parse_id(line.tokens[0], read.id)) read.end = end;
  return read;
}

std::string encode_call(std::uint64_t id, std::uint64_t timeout_ms, std::string_view body) {
  return fmt::format("invoke {:016x} {} {}\r\n{}\r\n", id, timeout_ms, body.size(), body);
}

std::string encode_cancel(std::uint64_t id) { return fmt::format("cancel {:016x}\r\n", id); }

}  // namespace damsonspoke::wire
