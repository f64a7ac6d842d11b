// What the layer below is told and answers. The words of the wire end here.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "wire/lines.h"

namespace damsonspoke::wire {

enum class CallEnd { kOk, kRefused, kFailed, kTimedOut, kObsolete, kUnknown };

struct ReplyRead {
  LineState state = LineState::kNeedMore;  // broken: the framing is lost
  std::size_t length = 0;
  CallEnd end = CallEnd::kUnknown;  // kUnknown with state kLine: a line that could not be used
  std::uint64_t id = 0;
  std::string_view body;  // of the input: valid as long as that is
};

ReplyRead next_reply(std::string_view input);

std::string encode_call(std::uint64_t id, std::uint64_t timeout_ms, std::string_view body);
std::string encode_cancel(std::uint64_t id);

}  // namespace damsonspoke::wire
