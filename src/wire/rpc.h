// The codec of the protocol of callers: JSON-RPC 2.0 in frames with a Content-Length header. It translates
// between the protocol's own names and the types below.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace damsonspoke::wire {

// kBroken: the boundaries of messages are lost, so nothing more can be read from the connection.
enum class Framing { kNeedMore, kFrame, kBroken };

// One frame.
struct Frame {
  Framing state = Framing::kNeedMore;
  std::size_t length = 0;  // of header and body, to be consumed from the input
  std::string_view body;   // a view of the input; valid as long as that is
};

// Parses the frame at the start of the input; the length is bounded before anything is buffered for it.
[[nodiscard]] Frame next_frame(std::string_view input);

// What is wrong with a message: it is not JSON, it is not a request, or its params are invalid.
enum class RpcProblem { kNone, kInvalidJson, kInvalidRequest, kInvalidParams };

// A request as callers send it. Absent members keep their defaults.
struct RpcRequest {
  std::uint64_t id = 0;  // of the message, at least 1
  std::string method;
  std::uint64_t request_id = 0;  // identifies the request; unique among those in flight
  double received_at_ms = 0;     // Unix time of its arrival at the host; 0: absent
  double client_timeout_ms = 0;  // after that; 0: absent
  double work_ms = 0;            // on a standard core, as estimated by the caller; 0: absent
  double size_kb = 0;
  std::uint64_t subject = 0;
  std::string idempotency_key;
  std::string tenant;  // its name; empty: absent
  std::string body;
  std::uint32_t caller = 0;
  bool is_notification = true;  // it has no id and gets no answer
  bool has_id = false;
  bool has_request_id = false;
  bool has_subject = false;
  bool has_idempotency_key = false;
  bool requires_self_test = false;  // of a health check: asks for a run of the self-test
  bool is_retry = false;            // set by callers that mark retries
};

// The member of the params that holds a request's idempotency key, unless operators name another.
inline constexpr std::string_view kDefaultIdempotencyKeyParam = "unique";

// Reads one message into a new request. On a problem the id is set where it could be read, so that the
// request can be answered. `key_param`: the member of the params that holds the idempotency key, a string;
// empty: no key is read.
[[nodiscard]] RpcProblem decode_request(std::string_view text, RpcRequest& out,
                                        std::string_view key_param = {});

// Whether the protocol itself defines a member of the params with that name.
[[nodiscard]] bool is_protocol_param(std::string_view name);

// Error codes: those of JSON-RPC, and from -32000 down those of the service.
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
// `id`: 0 where it could not be read.
[[nodiscard]] std::string encode_error(std::uint64_t id, RpcError code, std::string_view message);
// `retry_after_ms`: rounded up; 0: omitted.
[[nodiscard]] std::string encode_rejection(std::uint64_t id, double retry_after_ms, bool no_retry);
// The answer to a health check.
[[nodiscard]] std::string encode_health(std::uint64_t id, bool is_healthy);
// Asks the caller to send no more requests on this connection.
[[nodiscard]] std::string encode_drain_notice();

}  // namespace damsonspoke::wire
