#include "wire/rpc.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <optional>

#include "wire/base64.h"
#include "wire/json.h"
#include "wire/lines.h"

namespace damsonspoke::wire {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::size_t kMaxHeaderBytes = 1024;     // the only field that is read takes 30
constexpr std::size_t kMaxFrameBodyBytes = 8192;  // a request's body in base64 with its fields is under 4 KiB
constexpr std::size_t kMaxBodyBytes = 2 * 1024;   // as the protocol allows
constexpr double kMaxSizeKb = 2000;               // as the protocol allows
constexpr double kMaxUnixMs = 9e15;               // whole milliseconds that a double can hold
constexpr double kMaxDurationMs = 24 * 3600 * 1000;  // a day
constexpr double kIdBound = 9007199254740992.0;      // 2^53: from there on a double is not exact
constexpr double kMaxCaller = std::numeric_limits<std::uint32_t>::max();

char to_lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c; }

// `lower`: in lower case.
bool is_header_name(std::string_view name, std::string_view lower) {
  return std::equal(name.begin(), name.end(), lower.begin(), lower.end(),
                    [](char a, char b) { return to_lower(a) == b; });
}

std::string_view trimmed(std::string_view text) {
  while (text.starts_with(' ') || text.starts_with('\t')) text.remove_prefix(1);
  while (text.ends_with(' ') || text.ends_with('\t')) text.remove_suffix(1);
  return text;
}

std::string framed(std::string_view body) {
  return fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
}

// False: the line is not a header field, or it gives an invalid or a second length of the body.
bool read_header_field(std::string_view line, std::optional<std::size_t>& body_bytes) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) return false;
  if (!is_header_name(line.substr(0, colon), "content-length")) return true;
  std::size_t length = 0;
  const bool is_valid = parse_number(trimmed(line.substr(colon + 1)), length) && length <= kMaxFrameBodyBytes;
  if (!is_valid || body_bytes) return false;
  body_bytes = length;
  return true;
}

// The lines before the body, up to an empty one.
struct Header {
  Framing state = Framing::kNeedMore;
  std::size_t length = 0;
  std::size_t body_bytes = 0;
};

Header read_header(std::string_view input) {
  Header header;
  std::optional<std::size_t> body_bytes;
  for (;;) {
    const std::size_t end = input.substr(0, kMaxHeaderBytes).find(kLineEnd, header.length);
    if (end == std::string_view::npos) {
      if (input.size() >= kMaxHeaderBytes) header.state = Framing::kBroken;
      return header;
    }
    const std::string_view line = input.substr(header.length, end - header.length);
    header.length = end + kLineEnd.size();
    if (line.empty()) break;
    if (!read_header_field(line, body_bytes)) {
      header.state = Framing::kBroken;
      return header;
    }
  }
  header.state = body_bytes ? Framing::kFrame : Framing::kBroken;
  header.body_bytes = body_bytes.value_or(0);
  return header;
}

// Reads the members of a request's params. A value of a wrong kind or out of range is skipped and recorded
// as invalid, so that the id can still be read after it.
class ParamsReader {
 public:
  ParamsReader(JsonCursor& in, std::string_view key_param, RpcRequest& out)
      : in_(in), key_param_(key_param), out_(out) {}

  // Whether all values so far were valid.
  [[nodiscard]] bool are_valid() const { return are_valid_; }

  // Reads the value of a member; false: the JSON text is invalid.
  bool read_member(std::string_view name) {
    if (name == "txn") return read_hex(out_.request_id, out_.has_request_id);
    if (name == "item") return read_hex(out_.subject, out_.has_subject);
    if (name == "door") return read_number(out_.received_at_ms, 0, kMaxUnixMs);
    if (name == "limit") return read_number(out_.client_timeout_ms, 0, kMaxDurationMs);
    if (name == "ram") return read_number(out_.size_kb, 0, kMaxSizeKb);
    if (name == "cpu" || name == "work") return read_number(out_.work_ms, 0, kMaxDurationMs);
    if (name == "probe") return read_boolean(out_.requires_self_test);
    if (name == "arg") return read_body();
    if (name == "team") return read_text(out_.tenant);
    if (name == "second") return read_flag(out_.is_retry);
    if (!key_param_.empty() && name == key_param_) return read_key();
    if (name == "lb") return read_caller();
    return in_.skip_value();
  }

 private:
  bool skip_invalid() {
    are_valid_ = false;
    return in_.skip_value();
  }

  bool read_number(double& out, double min, double max) {
    if (in_.next_kind() != JsonKind::kNumber) return skip_invalid();
    if (!in_.read_number(out)) return false;
    if (out < min || out > max) are_valid_ = false;
    return true;
  }

  bool read_hex(std::uint64_t& out, bool& has_value) {
    if (in_.next_kind() != JsonKind::kString) return skip_invalid();
    std::string text;
    if (!in_.read_string(text)) return false;
    has_value = parse_id(text, out);
    if (!has_value) are_valid_ = false;
    return true;
  }

  bool read_text(std::string& out) {
    return in_.next_kind() == JsonKind::kString ? in_.read_string(out) : skip_invalid();
  }

  bool read_boolean(bool& out) {
    return in_.next_kind() == JsonKind::kBool ? in_.read_boolean(out) : skip_invalid();
  }

  // Accepts 0 and 1 besides false and true.
  bool read_flag(bool& out) {
    if (in_.next_kind() == JsonKind::kBool) return in_.read_boolean(out);
    double value = 0;
    if (!read_number(value, 0, 1)) return false;
    out = value > 0;
    return true;
  }

  bool read_body() {
    if (in_.next_kind() != JsonKind::kString) return skip_invalid();
    std::string text;
    if (!in_.read_string(text)) return false;
    if (!decode_base64(text, out_.body) || out_.body.size() > kMaxBodyBytes) are_valid_ = false;
    return true;
  }

  bool read_key() {
    if (in_.next_kind() != JsonKind::kString) return skip_invalid();
    out_.has_idempotency_key = true;
    return in_.read_string(out_.idempotency_key);
  }

  bool read_caller() {
    double value = 0;
    if (!read_number(value, 0, kMaxCaller)) return false;
    if (value >= 0 && value <= kMaxCaller) out_.caller = static_cast<std::uint32_t>(value);
    return true;
  }

  JsonCursor& in_;
  const std::string_view key_param_;
  RpcRequest& out_;
  bool are_valid_ = true;
};

// Reads a message. As with params, a member of a wrong kind is skipped and recorded as invalid.
class RequestReader {
 public:
  RequestReader(std::string_view text, std::string_view key_param, RpcRequest& out)
      : in_(text), params_(in_, key_param, out), out_(out) {}

  RpcProblem read() {
    if (in_.next_kind() != JsonKind::kObject)
      return in_.skip_value() && in_.at_end() ? RpcProblem::kInvalidRequest : RpcProblem::kInvalidJson;
    const bool is_complete =
        in_.read_object([this](const std::string& name) { return read_member(name); }) && in_.at_end();
    if (!is_complete) return RpcProblem::kInvalidJson;
    if (!has_version_ || !are_kinds_valid_ || out_.method.empty()) return RpcProblem::kInvalidRequest;
    return params_.are_valid() ? RpcProblem::kNone : RpcProblem::kInvalidParams;
  }

 private:
  // False: the JSON text is invalid.
  bool read_member(std::string_view name) {
    if (name == "jsonrpc") return read_version();
    if (name == "method") return read_method();
    if (name == "id") return read_id();
    if (name == "params") return read_params();
    return in_.skip_value();
  }

  bool skip_invalid() {
    are_kinds_valid_ = false;
    return in_.skip_value();
  }

  bool read_version() {
    if (in_.next_kind() != JsonKind::kString) return skip_invalid();
    std::string version;
    if (!in_.read_string(version)) return false;
    has_version_ = version == "2.0";
    return true;
  }

  bool read_method() {
    return in_.next_kind() == JsonKind::kString ? in_.read_string(out_.method) : skip_invalid();
  }

  bool read_id() {
    out_.is_notification = false;
    if (in_.next_kind() != JsonKind::kNumber) return skip_invalid();
    double value = 0;
    if (!in_.read_number(value)) return false;
    out_.has_id = value >= 1 && value < kIdBound && value == std::floor(value);
    if (out_.has_id) out_.id = static_cast<std::uint64_t>(value);
    return true;
  }

  bool read_params() {
    if (in_.next_kind() != JsonKind::kObject) return skip_invalid();
    return in_.read_object([this](const std::string& name) { return params_.read_member(name); });
  }

  JsonCursor in_;
  ParamsReader params_;
  RpcRequest& out_;
  bool has_version_ = false;
  bool are_kinds_valid_ = true;
};

}  // namespace

Frame next_frame(std::string_view input) {
  Frame frame;
  const Header header = read_header(input);
  if (header.state != Framing::kFrame) {
    frame.state = header.state;
    return frame;
  }
  if (input.size() - header.length < header.body_bytes) return frame;
  frame.state = Framing::kFrame;
  frame.body = input.substr(header.length, header.body_bytes);
  frame.length = header.length + header.body_bytes;
  return frame;
}

bool is_protocol_param(std::string_view name) {
  static constexpr std::array<std::string_view, 13> kNames = {"txn",  "door",     "lb",   "limit", "ram",
                                                              "work", "standing", "item", "probe", "arg",
                                                              "team", "second",   "cpu"};
  return std::find(kNames.begin(), kNames.end(), name) != kNames.end();
}

RpcProblem decode_request(std::string_view text, RpcRequest& out, std::string_view key_param) {
  return RequestReader(text, key_param, out).read();
}

std::string encode_result(std::uint64_t id, std::string_view body) {
  std::string text = fmt::format(R"({{"jsonrpc":"2.0","id":{},"result":{{"arg":")", id);
  append_base64(text, body);
  text += "\"}}";
  return framed(text);
}

std::string encode_error(std::uint64_t id, RpcError code, std::string_view message) {
  // Where the id could not be read, JSON-RPC requires the id null.
  std::string text =
      id == 0 ? R"({"jsonrpc":"2.0","id":null)" : fmt::format(R"({{"jsonrpc":"2.0","id":{})", id);
  text += fmt::format(R"(,"error":{{"code":{},"message":)", static_cast<int>(code));
  append_quoted(text, message);
  text += "}}";
  return framed(text);
}

std::string encode_rejection(std::uint64_t id, double retry_after_ms, bool no_retry) {
  std::string data;
  if (retry_after_ms > 0)
    data = fmt::format(R"("later":{})", static_cast<std::uint64_t>(std::ceil(retry_after_ms)));
  if (no_retry) data += data.empty() ? R"("giveup":1)" : R"(,"giveup":1)";
  if (!data.empty()) data = fmt::format(R"(,"data":{{{}}})", data);
  return framed(fmt::format(R"({{"jsonrpc":"2.0","id":{},"error":{{"code":{},"message":"nacked"{}}}}})", id,
                            static_cast<int>(RpcError::kRejected), data));
}

std::string encode_health(std::uint64_t id, bool is_healthy) {
  return framed(fmt::format(R"({{"jsonrpc":"2.0","id":{},"result":{{"pass":{}}}}})", id, is_healthy));
}

std::string encode_drain_notice() { return framed(R"({"jsonrpc":"2.0","method":"noMore"})"); }

}  // namespace damsonspoke::wire
