// The codec of the runtime's protocol, in lines (wire/lines.h). It translates between the protocol's own
// names and the types below.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wire/lines.h"

namespace damsonspoke::wire {

// kUnknown: the line is complete but invalid.
enum class NoticeKind {
  kReady,           // the runtime is up
  kRunEnd,          // a run has ended or was stopped
  kCallRequested,   // a run waits for a call to the dependency
  kGauges,          // a requested reading
  kSelfTestResult,  // of a requested self-test
  kRejection,       // of a command
  kRemark,          // for operators
  kUnknown
};
// How a run ended. kUnknown: the runtime knows of no such run.
enum class RunEnd { kComplete, kError, kCancelled, kUnknown };

// A notice of the runtime. Its views are of the input: valid as long as that is.
struct Notice {
  NoticeKind kind = NoticeKind::kUnknown;
  std::uint64_t number = 0;  // of run ends, requested calls and remarks
  std::uint64_t id = 0;      // of the request
  RunEnd end = RunEnd::kUnknown;
  bool is_cold = false;        // kReady
  double ms = 0;               // kReady: since its start; kRunEnd: the run took
  std::uint64_t tag = 0;       // kGauges, kSelfTestResult: of the command that asked for it
  bool has_passed = false;     // kSelfTestResult
  std::vector<double> gauges;  // in the order of the platform's settings
  std::string_view command;    // kRejection: its first token
  std::string_view body;       // kRunEnd: the result; kCallRequested: of the call
};

// One notice, as far as it was received.
struct NoticeRead {
  LineState state = LineState::kNeedMore;
  std::size_t length = 0;  // of the notice, where it is complete
  Notice notice;
};

// Parses the notice at the start of the input.
[[nodiscard]] NoticeRead next_notice(std::string_view input);

// Asks for the notices after this one; the runtime answers with a ready notice first.
[[nodiscard]] std::string encode_sync(std::uint64_t last_notice);
[[nodiscard]] std::string encode_start(std::uint64_t id, std::string_view route, std::string_view body);
[[nodiscard]] std::string encode_stop(std::uint64_t id);
[[nodiscard]] std::string encode_resume(std::uint64_t id);
// Resumes a run with the reply to its call.
[[nodiscard]] std::string encode_call_reply(std::uint64_t id, std::string_view reply);
// Resumes a run without its call. `notice`: the number of the notice that asked for the call.
[[nodiscard]] std::string encode_skip_call(std::uint64_t id, std::uint64_t notice);
// Asks for a reading of the gauges or a run of the self-test; the response carries the tag.
[[nodiscard]] std::string encode_gauges_request(std::uint64_t tag);
[[nodiscard]] std::string encode_self_test(std::uint64_t tag);

}  // namespace damsonspoke::wire
