// What the dependency is told and answers, in lines (wire/lines.h). The words of the wire end here.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "wire/lines.h"

namespace damsonspoke::wire {

// How the dependency says that a call ended. kRefused and kObsolete: it never ran. kUnknown: the line could
// be told from the next, but not used.
enum class CallEnd { kOk, kRefused, kFailed, kTimedOut, kObsolete, kUnknown };

// One reply, as far as it has come.
struct ReplyRead {
  LineState state = LineState::kNeedMore;
  std::size_t length = 0;  // of the reply, where it is complete
  CallEnd end = CallEnd::kUnknown;
  std::uint64_t id = 0;   // of the request whose call it ends
  std::string_view body;  // of the input: valid as long as that is
};

// The reply that the input begins with.
[[nodiscard]] ReplyRead next_reply(std::string_view input);

// `timeout_ms`: after which the dependency gives the call up.
[[nodiscard]] std::string encode_call(std::uint64_t id, std::uint64_t timeout_ms, std::string_view body);
// The request no longer waits for its call.
[[nodiscard]] std::string encode_cancel(std::uint64_t id);

}  // namespace damsonspoke::wire
