#include "wire/rpc.h"

#include <fmt/format.h>

#include <charconv>
#include <cmath>

#include "wire/base64.h"
#include "wire/json.h"

namespace damsonspoke::wire {
namespace {

constexpr std::size_t kMaxHeadBytes = 1024;  // bytes; the one field that counts takes 30
constexpr std::size_t kMaxFrameBodyBytes =
    8 * 1024;  // bytes; a body of 2 KiB in base64 with its fields is under 4
constexpr std::size_t kMaxBodyBytes = 2 * 1024;      // bytes, as the protocol allows
constexpr double kMaxSizeKb = 2000;                  // under this, as the protocol allows
constexpr double kMaxUnixMs = 9e15;                  // whole milliseconds that a double can hold
constexpr double kIdBound = 9007199254740992.0;      // 2^53: above it a number is no longer exact
constexpr double kMaxDurationMs = 24 * 3600 * 1000;  // nobody waits longer than a day

bool same_name(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  for (std::size_t i = 0; i < a.size(); ++i) {
    const char c = a[i] >= 'A' && a[i] <= 'Z' ? static_cast<char>(a[i] + ('a' - 'A')) : a[i];
    if (c != b[i]) return false;
  }
  return true;
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

std::string framed(std::string_view body) {
  return fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
}

// Values of a wrong kind are passed over and reported, so that the id can still be found behind them.
class Fields {
 public:
  explicit Fields(JsonCursor& in) : in_(in) {}
  bool sound() const { return sound_; }

  bool number(double& out, double least, double most) {
    if (in_.next_kind() != JsonKind::kNumber) return wrong();
    if (!in_.read_number(out)) return false;
    if (!(out >= least && out <= most)) sound_ = false;
    return true;
  }
  bool hex(std::uint64_t& out, bool& has) {
    std::string text;
    if (in_.next_kind() != JsonKind::kString) return wrong();
    if (!in_.read_string(text)) return false;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), out, 16);
    has = text.size() == 16 && error == std::errc() && stop == text.data() + text.size();
    if (!has) sound_ = false;
    return true;
  }
  bool text(std::string& out, bool& has) {
    if (in_.next_kind() != JsonKind::kString) return wrong();
    has = true;
    out.clear();
    return in_.read_string(out);
  }
  bool boolean(bool& out) {
    if (in_.next_kind() != JsonKind::kBool) return wrong();
    return in_.read_boolean(out);
  }
  // A mark that is set or not: 0 or 1, as a number or as JSON's own words.
  bool mark(bool& out) {
    if (in_.next_kind() == JsonKind::kBool) return in_.read_boolean(out);
    double value = 0;
    if (!number(value, 0, 1)) return false;
    out = value > 0;
    return true;
  }
  bool body(std::string& out) {
    std::string text;
    if (in_.next_kind() != JsonKind::kString) return wrong();
    if (!in_.read_string(text)) return false;
    if (!decode_base64(text, out) || out.size() > kMaxBodyBytes) sound_ = false;
    return true;
  }

 private:
  bool wrong() {
    sound_ = false;
    return in_.skip_value();
  }
  JsonCursor& in_;
  bool sound_ = true;
};

}  // namespace

Frame next_frame(std::string_view input) {
  Frame frame;
  std::size_t at = 0, length = 0;
  bool has_length = false;
  for (;;) {
    const std::size_t end = input.substr(0, kMaxHeadBytes).find("\r\n", at);
    if (end == std::string_view::npos) {
      if (input.size() >= kMaxHeadBytes) frame.state = Framing::kBroken;
      return frame;
    }
    const std::string_view line = input.substr(at, end - at);
    at = end + 2;
    if (line.empty()) break;
    const std::size_t colon = line.find(':');
    frame.state = Framing::kBroken;
    if (colon == std::string_view::npos) return frame;
    if (same_name(line.substr(0, colon), "content-length")) {
      const std::string_view value = trimmed(line.substr(colon + 1));
      const auto [stop, error] = std::from_chars(value.data(), value.data() + value.size(), length);
      const bool sound = !value.empty() && value.front() != '-' && error == std::errc() &&
                         stop == value.data() + value.size() && length <= kMaxFrameBodyBytes;
      if (!sound || has_length) return frame;
      has_length = true;
    }
    frame.state = Framing::kNeedMore;
  }
  if (!has_length) {
    frame.state = Framing::kBroken;
    return frame;
  }
  if (input.size() - at < length) return frame;
  frame.state = Framing::kFrame;
  frame.body = input.substr(at, length);
  frame.length = at + length;
  return frame;
}

bool is_param(std::string_view name) {
  constexpr std::string_view kNames[] = {"txn",  "door",  "lb",  "limit", "ram",    "work", "standing",
                                         "item", "probe", "arg", "team",  "second", "cpu"};
  for (const std::string_view known : kNames) {
    if (name == known) return true;
  }
  return false;
}

RpcProblem decode_request(std::string_view text, RpcRequest& out, std::string_view key_param) {
  JsonCursor in(text);
  if (in.next_kind() != JsonKind::kObject)
    return in.skip_value() && in.at_end() ? RpcProblem::kNoRequest : RpcProblem::kNoJson;
  bool version = false, shape = true;
  Fields params(in);
  const auto param = [&](const std::string& key) {
    double number = 0;
    if (key == "txn") return params.hex(out.request_id, out.has_request_id);
    if (key == "item") return params.hex(out.subject, out.has_subject);
    if (key == "door") return params.number(out.received_at_ms, 0, kMaxUnixMs);
    if (key == "limit") return params.number(out.client_timeout_ms, 0, kMaxDurationMs);
    if (key == "ram") return params.number(out.size_kb, 0, kMaxSizeKb);
    if (key == "cpu" || key == "work") return params.number(out.work_ms, 0, kMaxDurationMs);
    if (key == "probe") return params.boolean(out.wants_work);
    if (key == "arg") return params.body(out.body);
    if (key == "team") {
      bool told = false;
      return params.text(out.tenant, told);
    }
    if (key == "second") return params.mark(out.is_retry);
    if (!key_param.empty() && key == key_param)
      return params.text(out.idempotency_key, out.has_idempotency_key);
    if (key != "lb") return in.skip_value();
    if (!params.number(number, 0, 4294967295.0)) return false;
    if (number >= 0 && number <= 4294967295.0) out.caller = static_cast<std::uint32_t>(number);
    return true;
  };
  const bool whole = in.read_object([&](const std::string& key) {
    if (key == "jsonrpc") {
      std::string value;
      if (in.next_kind() != JsonKind::kString) return shape = false, in.skip_value();
      if (!in.read_string(value)) return false;
      version = value == "2.0";
      return true;
    }
    if (key == "method") {
      if (in.next_kind() != JsonKind::kString) return shape = false, in.skip_value();
      return in.read_string(out.method);
    }
    if (key == "id") {
      out.is_notification = false;
      double value = 0;
      if (in.next_kind() != JsonKind::kNumber) return shape = false, in.skip_value();
      if (!in.read_number(value)) return false;
      out.has_id = value >= 1 && value < kIdBound && value == std::floor(value);
      if (out.has_id) out.id = static_cast<std::uint64_t>(value);
      return true;
    }
    if (key == "params") {
      if (in.next_kind() != JsonKind::kObject) return shape = false, in.skip_value();
      return in.read_object(param);
    }
    return in.skip_value();
  });
  if (!whole || !in.at_end()) return RpcProblem::kNoJson;
  if (!version || !shape || out.method.empty()) return RpcProblem::kNoRequest;
  return params.sound() ? RpcProblem::kNone : RpcProblem::kBadParams;
}

std::string encode_result(std::uint64_t id, std::string_view body) {
  std::string text = fmt::format(R"({{"jsonrpc":"2.0","id":{},"result":{{"arg":")", id);
  append_base64(text, body);
  text += "\"}}";
  return framed(text);
}

std::string encode_error(std::uint64_t id, RpcError code, std::string_view message) {
  // Where the id can't be told, JSON-RPC answers with null.
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

std::string encode_health(std::uint64_t id, bool pass) {
  return framed(fmt::format(R"({{"jsonrpc":"2.0","id":{},"result":{{"pass":{}}}}})", id, pass));
}

std::string encode_drain_notice() { return framed(R"({"jsonrpc":"2.0","method":"noMore"})"); }

}  // namespace damsonspoke::wire
