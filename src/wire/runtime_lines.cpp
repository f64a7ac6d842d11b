#include "wire/runtime_lines.h"

#include <fmt/format.h>

#include <optional>

namespace damsonspoke::wire {
namespace {

using Tokens = std::vector<std::string_view>;

std::optional<RunEnd> run_end_of(std::string_view token) {
  if (token == "complete") return RunEnd::kComplete;
  if (token == "error") return RunEnd::kError;
  if (token == "cancelled") return RunEnd::kCancelled;
  if (token == "unknown") return RunEnd::kUnknown;
  return std::nullopt;
}

// The following functions parse the tokens of one kind of line; false: a token is invalid.

bool read_ready(const Tokens& tokens, Notice& out) {
  if (tokens.size() != 3) return false;
  out.is_cold = tokens[1] == "chilly";
  return (out.is_cold || tokens[1] == "hot") && parse_decimal(tokens[2], out.ms);
}

bool read_run_end(const Tokens& tokens, Notice& out) {
  if (tokens.size() != 5 && tokens.size() != 6) return false;  // the sixth: the length of the result
  if (!parse_number(tokens[1], out.number) || !parse_id(tokens[2], out.id)) return false;
  const std::optional<RunEnd> end = run_end_of(tokens[3]);
  if (!end) return false;
  out.end = *end;
  return parse_decimal(tokens[4], out.ms);
}

bool read_call_wanted(const Tokens& tokens, Notice& out) {
  return tokens.size() == 4 && parse_number(tokens[1], out.number) && parse_id(tokens[2], out.id);
}

bool read_gauges(const Tokens& tokens, Notice& out) {
  if (tokens.size() < 2 || !parse_number(tokens[1], out.tag)) return false;
  for (std::size_t i = 2; i < tokens.size(); ++i) {
    double value = 0;
    if (!parse_decimal(tokens[i], value)) return false;
    out.gauges.push_back(value);
  }
  return true;
}

bool read_self_test_result(const Tokens& tokens, Notice& out) {
  if (tokens.size() != 3 || !parse_number(tokens[1], out.tag)) return false;
  out.has_passed = tokens[2] == "complete";
  return out.has_passed || tokens[2] == "error";
}

bool read_rejection(const Tokens& tokens, Notice& out) {
  if (tokens.size() != 3 || !parse_id(tokens[2], out.id)) return false;
  out.command = tokens[1];
  return true;
}

bool read_remark(const Tokens& tokens, Notice& out) {
  return tokens.size() >= 2 && parse_number(tokens[1], out.number);
}

NoticeKind read_tokens(const Tokens& tokens, Notice& out) {
  const std::string_view verb = tokens[0];
  if (verb == "ready" && read_ready(tokens, out)) return NoticeKind::kReady;
  if (verb == "end" && read_run_end(tokens, out)) return NoticeKind::kRunEnd;
  if (verb == "wants" && read_call_wanted(tokens, out)) return NoticeKind::kCallRequested;
  if (verb == "load" && read_gauges(tokens, out)) return NoticeKind::kGauges;
  if (verb == "verdict" && read_self_test_result(tokens, out)) return NoticeKind::kSelfTestResult;
  if (verb == "nack" && read_rejection(tokens, out)) return NoticeKind::kRejection;
  if (verb == "info" && read_remark(tokens, out)) return NoticeKind::kRemark;
  return NoticeKind::kUnknown;
}

bool has_payload(const Tokens& tokens) {
  return (tokens[0] == "end" && tokens.size() >= 6) || tokens[0] == "wants";
}

std::string command_about(std::string_view verb, std::uint64_t id) {
  return fmt::format("{} {:016x}\r\n", verb, id);
}

}  // namespace

NoticeRead next_notice(std::string_view input) {
  NoticeRead read;
  const TokenLine line = next_line(input);
  read.state = line.state;
  read.length = line.length;
  if (line.state != LineState::kLine || line.tokens.empty()) return read;
  if (has_payload(line.tokens)) {
    const Payload payload = next_payload(input.substr(line.length), line.tokens.back());
    read.state = payload.state;
    if (payload.state != LineState::kLine) return read;
    read.notice.body = payload.bytes;
    read.length += payload.length;
  }
  read.notice.kind = read_tokens(line.tokens, read.notice);
  return read;
}

std::string encode_sync(std::uint64_t last_notice) { return fmt::format("sync {}\r\n", last_notice); }

std::string encode_start(std::uint64_t id, std::string_view route, std::string_view body) {
  return fmt::format("start {:016x} {} {}\r\n{}\r\n", id, route, body.size(), body);
}

std::string encode_stop(std::uint64_t id) { return command_about("stop", id); }

std::string encode_resume(std::uint64_t id) { return command_about("cont", id); }

std::string encode_call_reply(std::uint64_t id, std::string_view reply) {
  return fmt::format("give {:016x} {}\r\n{}\r\n", id, reply.size(), reply);
}

std::string encode_skip_call(std::uint64_t id, std::uint64_t notice) {
  return fmt::format("omit {:016x} {}\r\n", id, notice);
}

std::string encode_gauges_request(std::uint64_t tag) { return fmt::format("gauges {}\r\n", tag); }

std::string encode_self_test(std::uint64_t tag) { return fmt::format("selftest {}\r\n", tag); }

}  // namespace damsonspoke::wire
