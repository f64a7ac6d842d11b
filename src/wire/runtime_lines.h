// What the runtime is told and tells. The words of the wire end here.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wire/lines.h"

namespace damsonspoke::wire {

enum class NoticeKind {
  kReady,
  kRunEnd,
  kCallWanted,
  kGauges,
  kSelfTestResult,
  kRejection,
  kRemark,
  kUnknown
};
enum class RunEnd { kComplete, kError, kCancelled, kUnknown };

struct Notice {
  NoticeKind kind = NoticeKind::kUnknown;
  std::uint64_t number = 0;  // of run ends, wanted calls and remarks
  std::uint64_t id = 0;
  RunEnd end = RunEnd::kUnknown;
  bool is_cold = false;   // ready
  double ms = 0;          // ready: since its start; run end: the run took
  std::uint64_t tag = 0;  // gauges, verdict
  bool is_good = false;   // verdict
  std::vector<double> gauges;
  std::string_view command;  // rejection
  std::string_view body;     // of the input: valid as long as that is
};

struct NoticeRead {
  LineState state = LineState::kNeedMore;  // broken: the framing is lost
  std::size_t length = 0;
  Notice notice;
};

// kUnknown with state kLine: a line that could be told from the next, but not used.
NoticeRead next_notice(std::string_view input);

std::string encode_sync(std::uint64_t last);
std::string encode_start(std::uint64_t id, std::string_view type, std::string_view body);
std::string encode_stop(std::uint64_t id);
std::string encode_resume(std::uint64_t id);
std::string encode_call_reply(std::uint64_t id, std::string_view reply);
std::string encode_skip_call(std::uint64_t id, std::uint64_t notice);
std::string encode_gauges_request(std::uint64_t tag);
std::string encode_self_test(std::uint64_t tag);

}  // namespace damsonspoke::wire
