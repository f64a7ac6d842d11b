// Prints how the parsers and encoders of src/wire handle valid and invalid input; CTest compares it with
// tests/traces/wire_NAME.txt. Valid input is passed at once and byte by byte, which must give the same
// result.
#include <cstdio>
#include <cstring>
#include <functional>
#include <string>

#include "wire/base64.h"
#include "wire/dependency_lines.h"
#include "wire/rpc.h"
#include "wire/runtime_lines.h"

using namespace damsonspoke::wire;

namespace {

std::string printable(std::string_view text) {
  std::string out;
  for (const char c : text.substr(0, 60)) {
    if (c >= ' ' && c < 127) {
      out += c;
    } else {
      char code[8];
      std::snprintf(code, sizeof code, "\\x%02x", static_cast<unsigned char>(c));
      out += code;
    }
  }
  return text.size() > 60 ? out + "..." : out;
}

// Passes ever longer parts of the input, as a socket does; consume(part) returns the number of consumed
// bytes.
void one_byte_at_a_time(const std::string& input,
                        const std::function<std::size_t(std::string_view)>& consume) {
  std::string buffered;
  for (const char c : input) {
    buffered += c;
    for (std::size_t used; !buffered.empty() && (used = consume(buffered)) > 0;) buffered.erase(0, used);
  }
  if (!buffered.empty()) std::printf("  left over: %s\n", printable(buffered).c_str());
}

std::string framed(const std::string& body) {
  return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- Frames.
std::size_t print_frame(std::string_view input) {
  const Frame frame = next_frame(input);
  if (frame.state == Framing::kNeedMore) return 0;
  if (frame.state == Framing::kBroken) {
    std::printf("  broken\n");
    return input.size();
  }
  std::printf("  frame of %zu: %s\n", frame.body.size(), printable(frame.body).c_str());
  return frame.length;
}

void frames() {
  const std::string two = framed("{}") + "X-Other: 1\r\ncontent-length:  5 \r\n\r\nab\r\nc" + framed("");
  std::printf("three frames at once:\n");
  for (std::string_view rest = two; !rest.empty();) rest.remove_prefix(print_frame(rest));
  std::printf("one byte at a time:\n");
  one_byte_at_a_time(two, print_frame);
  const std::pair<const char*, std::string> damaged[] = {
      {"missing length", "X-Other: 1\r\n\r\n{}"},
      {"missing header", "\r\n{}"},
      {"negative", "Content-Length: -1\r\n\r\n"},
      {"not a number", "Content-Length: 1x\r\n\r\n"},
      {"empty", "Content-Length: \r\n\r\n"},
      {"too large", "Content-Length: 16385\r\n\r\n"},
      {"larger than any number", "Content-Length: 99999999999999999999999\r\n\r\n"},
      {"given twice", "Content-Length: 2\r\nContent-Length: 2\r\n\r\n{}"},
      {"a line that is not a field", "Content-Length 2\r\n\r\n{}"},
      {"unterminated header", std::string(1024, 'x')},
      {"unterminated header, shorter", std::string(1023, 'x')},
  };
  for (const auto& [name, input] : damaged) {
    std::printf("%s:\n", name);
    if (print_frame(input) == 0) std::printf("  needs more\n");
  }
}

// ---- Requests.
void print_request(const std::string& text) {
  static const char* const kProblems[] = {"valid", "not JSON", "not a request", "invalid params"};
  RpcRequest r;
  const RpcProblem problem = decode_request(text, r);
  std::printf("%s\n  %s", printable(text).c_str(), kProblems[static_cast<int>(problem)]);
  if (r.has_id) std::printf(", id %llu", static_cast<unsigned long long>(r.id));
  if (problem == RpcProblem::kNone) {
    std::printf(", %s", r.method.c_str());
    if (r.has_request_id) std::printf(", txn %s", format_id(r.request_id).c_str());
    if (r.has_subject) std::printf(", item %s", format_id(r.subject).c_str());
    std::printf(", door %.0f, limit %.0f, caller %u, %.1f kB, probe %d, body '%s'", r.received_at_ms,
                r.client_timeout_ms, r.caller, r.size_kb, r.requires_self_test, printable(r.body).c_str());
    if (r.work_ms > 0) std::printf(", work %.1f ms", r.work_ms);
  }
  std::printf("\n");
}

void requests() {
  const std::string head = R"({"jsonrpc":"2.0","id":7,"method":"push","params":{)";
  print_request(head + R"("txn":"9b1f03aa5c7e2d41","door":1764576000123,"lb":4,"limit":480,"ram":24.5,)" +
                R"("standing":0.6250,"item":"7f3a9c21e0b4d655","arg":"aGVsbG8="}})");
  print_request(
      R"( { "params" : { "probe" : true, "new" : [1,{"a":null}] } , "method":"h\u00e9\ud83d\ude00\n",)"
      R"("id":1,"jsonrpc":"2.0" } )");
  for (const char* params : {R"("txn":5}})", R"("txn":"9b1f"}})", R"("txn":"9b1f03aa5c7e2d4g"}})",
                             R"("ram":-1}})", R"("ram":2001}})", R"("door":1e300}})", R"("limit":"1"}})",
                             R"("lb":-1}})", R"("arg":"abc"}})", R"("arg":"a b="}})", R"("arg":"aGVsbG9="}})",
                             R"("probe":1}})", R"("work":312.5}})", R"("work":-1}})", R"("work":"300"}})"}) {
    print_request(head + params);
  }
  for (const char* text : {"",
                           "{",
                           "nul",
                           R"({"jsonrpc":"2.0","id":7,"method":"push","params":{"txn":"9b)",
                           R"({"id":07})",
                           R"({"id":1e999})",
                           R"({"id":1,})",
                           R"({"a":"\x"})",
                           R"({"a":"\ud83d"})",
                           "{\"a\":\"\n\"}",
                           "{} {}",
                           "[]",
                           "17",
                           R"({"jsonrpc":"1.0","id":7,"method":"push"})",
                           R"({"jsonrpc":"2.0","id":7})",
                           R"({"jsonrpc":"2.0","id":0,"method":"push"})",
                           R"({"jsonrpc":"2.0","id":1.5,"method":"push"})",
                           R"({"jsonrpc":"2.0","id":"7","method":"push"})",
                           R"({"jsonrpc":"2.0","id":9007199254740993,"method":"push"})",
                           R"({"jsonrpc":"2.0","id":7,"method":9})",
                           R"({"jsonrpc":"2.0","id":7,"method":"push","params":[]})"}) {
    print_request(text);
  }
  print_request(R"({"a":)" + std::string(5000, '['));
  print_request(R"({"a":)" + std::string(15, '[') + std::string(15, ']') + "}");
}

void answers() {
  for (const std::string& text :
       {encode_result(7, "hello"), encode_result(1, std::string("\0\xff", 2)), encode_rejection(7, 0, false),
        encode_rejection(7, 250.2, false), encode_rejection(7, 0, true), encode_rejection(7, 1000, true),
        encode_error(7, RpcError::kFailed, "failed"), encode_error(0, RpcError::kParse, "a \"quote\"\n"),
        encode_health(3, true), encode_health(3, false), encode_drain_notice()}) {
    std::printf("%s\n", text.substr(text.find("\r\n\r\n") + 4).c_str());
  }
  for (const char* text : {"", "Zg==", "Zm8=", "Zm9v", "Zm9vYg==", "Zh==", "Zg=", "=Zg=", "Zg==Zg=="}) {
    std::string bytes, again;
    const bool valid = decode_base64(text, bytes);
    if (valid) append_base64(again, bytes);
    std::printf("base64 '%s': %s '%s' '%s'\n", text, valid ? "valid" : "invalid", bytes.c_str(),
                again.c_str());
  }
}

// ---- The lines of the runtime.
std::size_t print_notice(std::string_view input) {
  static const char* const kKinds[] = {"ready",     "run end", "call requested", "gauges", "self-test result",
                                       "rejection", "remark",  "unknown"};
  const NoticeRead read = next_notice(input);
  if (read.state == LineState::kNeedMore) return 0;
  if (read.state == LineState::kBroken) {
    std::printf("  broken\n");
    return input.size();
  }
  const Notice& n = read.notice;
  std::printf("  %s", kKinds[static_cast<int>(n.kind)]);
  if (n.kind != NoticeKind::kUnknown) {
    std::printf(
        ", number %llu, id %s, end %d, cold %d, ms %.1f, tag %llu, good %d, command '%s', body '%s', gauges",
        static_cast<unsigned long long>(n.number), format_id(n.id).c_str(), static_cast<int>(n.end),
        n.is_cold, n.ms, static_cast<unsigned long long>(n.tag), n.has_passed, std::string(n.command).c_str(),
        printable(n.body).c_str());
    for (const double value : n.gauges) std::printf(" %.2f", value);
  }
  std::printf("\n");
  return read.length;
}

void runtime() {
  const std::string valid =
      "ready chilly 120\r\nend 1 9b1f03aa5c7e2d41 complete 81.5 6\r\nab\r\ncd\r\nend 2 9b1f03aa5c7e2d41 "
      "error 3 0\r\n\r\n"
      "end 3 9b1f03aa5c7e2d41 cancelled 3\r\nend 4 9b1f03aa5c7e2d41 unknown 0 0\r\n\r\n"
      "wants 5 9b1f03aa5c7e2d41 2\r\nhi\r\nload 17 0.5 12 0.25 18\r\nload 18\r\nverdict 3 "
      "complete\r\nverdict 4 error\r\n"
      "nack give 9b1f03aa5c7e2d41\r\ninfo 6 some words\r\n";
  std::printf("all at once:\n");
  for (std::string_view rest = valid; !rest.empty();) rest.remove_prefix(print_notice(rest));
  std::printf("one byte at a time:\n");
  one_byte_at_a_time(valid, print_notice);
  for (const std::string& input :
       {std::string("what is this\r\n"), std::string("\r\n"), std::string("end 1 9b1f complete 8 0\r\n\r\n"),
        std::string("end -1 9b1f03aa5c7e2d41 complete 8 0\r\n\r\n"), std::string("load 1 much\r\n"),
        std::string("load 1 inf\r\n"), std::string("ready tepid 1\r\n"),
        std::string("wants 1 9b1f03aa5c7e2d41 65537\r\n"), std::string("wants 1 9b1f03aa5c7e2d41 -1\r\n"),
        std::string("wants 1 9b1f03aa5c7e2d41 2\r\nabc\r\n"), std::string("wants\r\n"),
        std::string(4096, 'x'), std::string(4095, 'x')}) {
    std::printf("%s\n", printable(input).c_str());
    if (print_notice(input) == 0) std::printf("  needs more\n");
  }
  for (const std::string& text : {encode_sync(17), encode_start(0x9b1f03aa5c7e2d41, "push", "ab\r\n"),
                                  encode_stop(1), encode_resume(1), encode_call_reply(1, "reply"),
                                  encode_skip_call(1, 5), encode_gauges_request(9), encode_self_test(9)}) {
    std::printf("%s\n", printable(text).c_str());
  }
}

// ---- The lines of the dependency.
std::size_t print_reply(std::string_view input) {
  static const char* const kEnds[] = {"ok", "rejected", "failed", "timed out", "obsolete", "unknown"};
  const ReplyRead read = next_reply(input);
  if (read.state == LineState::kNeedMore) return 0;
  if (read.state == LineState::kBroken) {
    std::printf("  broken\n");
    return input.size();
  }
  std::printf("  %s, id %s, body '%s'\n", kEnds[static_cast<int>(read.end)], format_id(read.id).c_str(),
              printable(read.body).c_str());
  return read.length;
}

void dependency() {
  const std::string id = "9b1f03aa5c7e2d41";
  const std::string valid = id + " ok 4\r\na\r\nb\r\n" + id + " overload\r\n" + id + " internal\r\n" + id +
                            " deadline\r\n" + id + " stale\r\n" + id + " ok 0\r\n\r\n";
  std::printf("all at once:\n");
  for (std::string_view rest = valid; !rest.empty();) rest.remove_prefix(print_reply(rest));
  std::printf("one byte at a time:\n");
  one_byte_at_a_time(valid, print_reply);
  for (const std::string& input :
       {id + " perhaps\r\n", id + " ok\r\n", id + " ok 99999999\r\n", id + " ok 1\r\nab\r\n",
        std::string("x ok 1\r\na\r\n"), std::string("9b1f stale\r\n"), std::string("\r\n"),
        std::string("no id"), id.substr(0, 9), id + " " + std::string(60, '9')}) {
    std::printf("%s\n", printable(input).c_str());
    if (print_reply(input) == 0) std::printf("  needs more\n");
  }
  std::printf("%s\n%s\n", printable(encode_call(1, 250, "body")).c_str(),
              printable(encode_cancel(1)).c_str());
}

}  // namespace

int main(int argc, char** argv) {
  const std::pair<const char*, void (*)()> kScenarios[] = {{"frames", frames},
                                                           {"requests", requests},
                                                           {"answers", answers},
                                                           {"runtime", runtime},
                                                           {"dependency", dependency}};
  for (const auto& [name, print] : kScenarios) {
    if (argc == 2 && std::strcmp(argv[1], name) == 0) return print(), 0;
  }
  std::fprintf(stderr, "usage: wire SCENARIO\n");
  return 2;
}
