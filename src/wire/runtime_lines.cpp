#include "wire/runtime_lines.h"

#include <fmt/format.h>

namespace damsonspoke::wire {
namespace {

using Words = std::vector<std::string_view>;

bool read_end(std::string_view word, RunEnd& end) {
  if (word == "complete") return end = RunEnd::kComplete, true;
  if (word == "error") return end = RunEnd::kError, true;
  if (word == "cancelled") return end = RunEnd::kCancelled, true;
  if (word == "unknown") return end = RunEnd::kUnknown, true;
  return false;
}

// The kind of a line by its words; kUnknown where a word is not what it should be.
NoticeKind read_words(const Words& words, Notice& out) {
  const std::string_view verb = words[0];
  const std::size_t count = words.size();
  if (verb == "ready" && count == 3 && (words[1] == "chilly" || words[1] == "hot") &&
      parse_decimal(words[2], out.ms)) {
    out.is_cold = words[1] == "chilly";
    return NoticeKind::kReady;
  }
  if (verb == "end" && (count == 5 || count == 6) && parse_number(words[1], out.number) &&
      parse_id(words[2], out.id) && read_end(words[3], out.end) && parse_decimal(words[4], out.ms)) {
    return NoticeKind::kRunEnd;
  }
  if (verb == "wants" && count == 4 && parse_number(words[1], out.number) && parse_id(words[2], out.id)) {
    return NoticeKind::kCallWanted;
  }
  if (verb == "load" && count >= 2 && parse_number(words[1], out.tag)) {
    for (std::size_t i = 2; i < count; ++i) {
      double value = 0;
      if (!parse_decimal(words[i], value)) return NoticeKind::kUnknown;
      out.gauges.push_back(value);
    }
    return NoticeKind::kGauges;
  }
  if (verb == "verdict" && count == 3 && parse_number(words[1], out.tag) &&
      (words[2] == "complete" || words[2] == "error")) {
    out.is_good = words[2] == "complete";
    return NoticeKind::kSelfTestResult;
  }
  if (verb == "nack" && count == 3 && parse_id(words[2], out.id)) {
    out.command = words[1];
    return NoticeKind::kRejection;
  }
  if (verb == "info" && count >= 2 && parse_number(words[1], out.number)) return NoticeKind::kRemark;
  return NoticeKind::kUnknown;
}

std::string about(std::string_view verb, std::uint64_t id) { return fmt::format("{} {:016x}\r\n", verb, id); }

}  // namespace

NoticeRead next_notice(std::string_view input) {
  NoticeRead read;
  const WordLine line = next_line(input);
  read.state = line.state;
  read.length = line.length;
  if (line.state != LineState::kLine || line.words.empty()) return read;
  const bool with_payload = (line.words[0] == "end" && line.words.size() >= 6) || line.words[0] == "wants";
  if (with_payload) {
    const Payload payload = next_payload(input.substr(line.length), line.words.back());
    read.state = payload.state;
    if (payload.state != LineState::kLine) return read;
    read.notice.body = payload.bytes;
    read.length += payload.length;
  }
  read.notice.kind = read_words(line.words, read.notice);
  return read;
}

std::string encode_sync(std::uint64_t last) { return fmt::format("sync {}\r\n", last); }
std::string encode_start(std::uint64_t id, std::string_view type, std::string_view body) {
  return fmt::format("start {:016x} {} {}\r\n{}\r\n", id, type, body.size(), body);
}
std::string encode_stop(std::uint64_t id) { return about("stop", id); }
std::string encode_resume(std::uint64_t id) { return about("cont", id); }
std::string encode_call_reply(std::uint64_t id, std::string_view reply) {
  return fmt::format("give {:016x} {}\r\n{}\r\n", id, reply.size(), reply);
}
std::string encode_skip_call(std::uint64_t id, std::uint64_t notice) {
  return fmt::format("omit {:016x} {}\r\n", id, notice);
}
std::string encode_gauges_request(std::uint64_t tag) { return fmt::format("gauges {}\r\n", tag); }
std::string encode_self_test(std::uint64_t tag) { return fmt::format("selftest {}\r\n", tag); }

}  // namespace damsonspoke::wire
