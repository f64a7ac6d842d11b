// The codec of the dependency's protocol, in lines (wire/lines.h). It translates between the protocol's own
// names and the types below.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "wire/lines.h"

namespace damsonspoke::wire {

// How a call ended, as the dependency reports it. kRejected and kObsolete: it never ran. kUnknown: the line
// is complete but invalid.
enum class CallEnd { kOk, kRejected, kFailed, kTimedOut, kObsolete, kUnknown };

// One reply, as far as it was received.
struct ReplyRead {
  LineState state = LineState::kNeedMore;
  std::size_t length = 0;  // of the reply, where it is complete
  CallEnd end = CallEnd::kUnknown;
  std::uint64_t id = 0;   // of the request whose call it ends
  std::string_view body;  // a view of the input; valid as long as that is
};

// Parses the reply at the start of the input.
[[nodiscard]] ReplyRead next_reply(std::string_view input);

// `timeout_ms`: after which the dependency abandons the call.
[[nodiscard]] std::string encode_call(std::uint64_t id, std::uint64_t timeout_ms, std::string_view body);
// Cancels the call of this request.
[[nodiscard]] std::string encode_cancel(std::uint64_t id);

}  // namespace damsonspoke::wire
