// What callers speak: JSON-RPC 2.0 in frames with a Content-Length head. The words of the wire end here.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace damsonspoke::wire {

enum class Framing { kNeedMore, kFrame, kBroken };

struct Frame {
  Framing state = Framing::kNeedMore;
  std::size_t length = 0;  // of head and body, to be taken off the input
  std::string_view body;
};

// The frame that the input starts with; the length is bounded before anything is kept for it.
Frame next_frame(std::string_view input);

enum class RpcProblem { kNone, kNoJson, kNoRequest, kBadParams };

// A request as callers write it. What was absent keeps its default.
struct RpcRequest {
  std::uint64_t id = 0;
  std::string method;
  std::uint64_t request_id = 0;
  double received_at_ms = 0;     // Unix, when it came to the machine; 0: not told
  double client_timeout_ms = 0;  // from then on; 0: not told
  double work_ms = 0;  // the request's work on a standard core, as its caller estimates it; 0: not told
  double size_kb = 0;
  std::uint64_t subject = 0;
  std::string idempotency_key;  // by which a repeat is known
  std::string tenant;           // its name; empty: not told
  std::string body;
  std::uint32_t caller = 0;
  bool is_notification = true;  // no id at all: nothing is to be answered
  bool has_id = false, has_request_id = false, has_subject = false, has_idempotency_key = false;
  bool wants_work = false;
  bool is_retry = false;  // a retry, where callers mark those
};

// The member of the params that holds a request's mark, unless operators name another.
inline constexpr std::string_view kMarkParam = "unique";

// On a problem the id is filled in where it can be told, so that the request can be answered.
// `key_param` names the member of the params that holds a request's mark, a string; empty: none is looked
// for.
RpcProblem decode_request(std::string_view text, RpcRequest& out, std::string_view key_param = {});

// Whether the protocol has a member of that name among its params already.
bool is_param(std::string_view name);

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

std::string encode_result(std::uint64_t id, std::string_view body);
std::string encode_error(std::uint64_t id, RpcError code, std::string_view message);
std::string encode_rejection(std::uint64_t id, double retry_after_ms, bool no_retry);
std::string encode_health(std::uint64_t id, bool pass);
std::string encode_drain_notice();

}  // namespace damsonspoke::wire
