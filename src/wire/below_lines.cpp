#include "wire/below_lines.h"

#include <fmt/format.h>

namespace damsonspoke::wire {

ReplyRead next_reply(std::string_view input) {
  ReplyRead read;
  const WordLine line = next_line(input);
  read.state = line.state;
  read.length = line.length;
  if (line.state != LineState::kLine || line.words.size() < 2) return read;
  const std::string_view word = line.words[1];
  if (word == "ok") {
    if (line.words.size() != 3) {
      read.state = LineState::kBroken;  // a payload of unknown length follows
      return read;
    }
    const Payload payload = next_payload(input.substr(line.length), line.words[2]);
    read.state = payload.state;
    if (payload.state != LineState::kLine) return read;
    read.body = payload.bytes;
    read.length += payload.length;
  }
  if (!parse_id(line.words[0], read.id)) return read;
  read.end = word == "ok"         ? CallEnd::kOk
             : word == "overload" ? CallEnd::kRefused
             : word == "internal" ? CallEnd::kFailed
             : word == "deadline" ? CallEnd::kTimedOut
             : word == "stale"    ? CallEnd::kMoot
                                  : CallEnd::kUnknown;
  return read;
}

std::string encode_call(std::uint64_t id, std::uint64_t patience_ms, std::string_view body) {
  return fmt::format("invoke {:016x} {} {}\r\n{}\r\n", id, patience_ms, body.size(), body);
}
std::string encode_cancel(std::uint64_t id) { return fmt::format("cancel {:016x}\r\n", id); }

}  // namespace damsonspoke::wire
