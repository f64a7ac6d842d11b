// What callers speak: JSON-RPC 2.0 in frames with a Content-Length head. The words of the wire end here.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace damsonspoke::wire {

// kBroken: what follows can't be told apart any more, so nothing more is to be read from the connection.
enum class Framing { kNeedMore, kFrame, kBroken };

// One frame.
struct Frame {
  Framing state = Framing::kNeedMore;
  std::size_t length = 0;  // of head and body, to be taken off the input
  std::string_view body;   // of the input: valid as long as that is
};

// The frame that the input begins with; the length is bounded before anything is kept for it.
[[nodiscard]] Frame next_frame(std::string_view input);

// What is wrong with a message: it is no JSON, no request, or a request whose params are invalid.
enum class RpcProblem { kNone, kInvalidJson, kInvalidRequest, kInvalidParams };

// A request as callers write it. What was absent keeps its default.
struct RpcRequest {
  std::uint64_t id = 0;  // of the message, at least 1
  std::string method;
  std::uint64_t request_id = 0;  // names the request; never used twice at once
  double received_at_ms = 0;     // Unix, when it came to the machine; 0: not told
  double client_timeout_ms = 0;  // from then on; 0: not told
  double work_ms = 0;            // on a standard core, as its caller estimates it; 0: not told
  double size_kb = 0;
  std::uint64_t subject = 0;
  std::string idempotency_key;
  std::string tenant;  // its name; empty: not told
  std::string body;
  std::uint32_t caller = 0;
  bool is_notification = true;  // no id at all: nothing is to be answered
  bool has_id = false;
  bool has_request_id = false;
  bool has_subject = false;
  bool has_idempotency_key = false;
  bool requires_self_test = false;  // of a health check: answered by a run of the self-test
  bool is_retry = false;            // where callers mark those
};

// The member of the params that holds a request's idempotency key, unless operators name another.
inline constexpr std::string_view kDefaultIdempotencyKeyParam = "unique";

// Reads one message into a new request. On a problem the id is filled in where it can be told, so that the
// request can be answered. `key_param`: the member of the params that holds the idempotency key, a string;
// empty: none is looked for.
[[nodiscard]] RpcProblem decode_request(std::string_view text, RpcRequest& out,
                                        std::string_view key_param = {});

// Whether the protocol has a member of that name among its params already.
[[nodiscard]] bool is_protocol_param(std::string_view name);

// The codes of errors: those of JSON-RPC, and from -32000 down those of the service.
enum class RpcError {
  kRejected = -32001,
  kFailed = -32000,
  kOutcomeUnknown = -32003,
  kKeyConflict = -32004,
  kParse = -32700,
  kRequest = -32600,
  kMethod = -32601,
  kParams = -32602
};

// The messages to callers, as frames. `id`: of the message that is answered.

[[nodiscard]] std::string encode_result(std::uint64_t id, std::string_view body);
// `id`: 0 where it could not be told.
[[nodiscard]] std::string encode_error(std::uint64_t id, RpcError code, std::string_view message);
// `retry_after_ms`: rounded up; 0: not told.
[[nodiscard]] std::string encode_rejection(std::uint64_t id, double retry_after_ms, bool no_retry);
// The answer to a health check.
[[nodiscard]] std::string encode_health(std::uint64_t id, bool is_healthy);
// Asks the caller to send no more requests on this connection.
[[nodiscard]] std::string encode_drain_notice();

}  // namespace damsonspoke::wire
