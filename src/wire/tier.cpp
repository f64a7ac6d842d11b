#include "wire/tier.h"

#include <algorithm>

namespace damsonspoke::wire::tier {
namespace {

enum Kind : std::uint8_t {
  kHello = 1,
  kSubmit,
  kCancel,
  kFence,
  kAnswer,
  kLoadReport,
  kDraining,
  kPing,
  kPong
};

constexpr std::string_view kMagic = "DSTP";  // begins a hello, so that another protocol is detected at once
constexpr std::size_t kLengthBytes = 4;      // then the kind

// Builds one frame. The header's length is filled in at the end.
class Writer {
 public:
  explicit Writer(Kind kind) : out_(kHeaderBytes, '\0') { out_[kLengthBytes] = static_cast<char>(kind); }
  template <class Number>
  void number(Number value) {
    for (std::size_t i = sizeof(Number); i-- > 0;)
      out_ += static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i));
  }
  void flag(bool value) { out_ += value ? '\1' : '\0'; }
  void raw(std::string_view text) { out_ += text; }
  template <class Length>
  void text(std::string_view text, std::size_t max_bytes) {
    text = text.substr(0, max_bytes);
    number(static_cast<Length>(text.size()));
    out_ += text;
  }
  std::string finish() {
    const std::size_t length = out_.size() - kHeaderBytes;
    for (std::size_t i = 0; i < kLengthBytes; ++i) out_[i] = static_cast<char>(length >> (8 * (3 - i)));
    return std::move(out_);
  }

 private:
  std::string out_;
};

// Reads the fields of one frame. A field that is missing or out of bounds makes it invalid for good.
class Reader {
 public:
  explicit Reader(std::string_view in) : in_(in) {}
  template <class Number>
  void number(Number& out) {
    const std::string_view bytes = raw(sizeof(Number));
    std::uint64_t value = 0;
    for (const char c : bytes) value = value << 8 | static_cast<unsigned char>(c);
    out = static_cast<Number>(value);
  }
  void flag(bool& out) {
    std::uint8_t value = 0;
    number(value);
    require(value <= 1);
    out = value == 1;
  }
  template <class Length>
  void text(std::string& out, std::size_t max_bytes) {
    Length length = 0;
    number(length);
    require(length <= max_bytes);
    if (is_valid_) out = raw(length);
  }
  std::string_view raw(std::size_t count) {
    require(count <= in_.size());
    if (!is_valid_) return {};
    const std::string_view out = in_.substr(0, count);
    in_.remove_prefix(count);
    return out;
  }
  void require(bool condition) { is_valid_ = is_valid_ && condition; }
  [[nodiscard]] bool is_valid() const { return is_valid_; }
  // Whether all fields were valid and filled the frame.
  [[nodiscard]] bool is_complete() const { return is_valid_ && in_.empty(); }

 private:
  std::string_view in_;
  bool is_valid_ = true;
};

struct Encoder {
  std::string operator()(const Hello& message) const {
    Writer writer(kHello);
    writer.raw(kMagic);
    writer.number(message.version);
    writer.flag(message.is_planner);
    writer.number(message.epoch);
    writer.text<std::uint8_t>(message.name, kMaxNameBytes);
    writer.number(message.cores);
    writer.number(message.window);
    const std::size_t count = std::min(message.routes.size(), kMaxRoutes);
    writer.number(static_cast<std::uint16_t>(count));
    for (std::size_t i = 0; i < count; ++i) writer.text<std::uint8_t>(message.routes[i], kMaxNameBytes);
    return writer.finish();
  }
  std::string operator()(const Submit& message) const {
    Writer writer(kSubmit);
    writer.number(message.attempt);
    writer.number(message.request);
    writer.number(message.route);
    writer.number(message.caller);
    writer.number(message.subject);
    writer.number(message.size_sixteenth_kb);
    writer.number(message.age_us);
    writer.number(message.remaining_us);
    writer.flag(message.is_lookup_only);
    writer.text<std::uint8_t>(message.idempotency_key, kMaxKeyBytes);
    writer.text<std::uint32_t>(message.body, kMaxBodyBytes);
    return writer.finish();
  }
  std::string operator()(const Answer& message) const {
    Writer writer(kAnswer);
    writer.number(message.attempt);
    writer.number(static_cast<std::uint8_t>(message.result));
    writer.number(message.retry_after_us);
    writer.flag(message.no_retry);
    writer.text<std::uint32_t>(message.body, kMaxBodyBytes);
    return writer.finish();
  }
  std::string operator()(const LoadReport& message) const {
    Writer writer(kLoadReport);
    writer.number(message.window);
    writer.number(message.slot_value_milli);
    writer.flag(message.is_healthy);
    return writer.finish();
  }
  std::string operator()(const Cancel& message) const { return encode_number(kCancel, message.attempt); }
  std::string operator()(const Fence& message) const { return encode_number(kFence, message.attempt); }
  std::string operator()(const Draining& message) const { return encode_number(kDraining, message.stop_us); }
  std::string operator()(const Ping& message) const { return encode_number(kPing, message.token); }
  std::string operator()(const Pong& message) const { return encode_number(kPong, message.token); }

  template <class Number>
  static std::string encode_number(Kind kind, Number value) {
    Writer writer(kind);
    writer.number(value);
    return writer.finish();
  }
};

// A message with one field.
template <class M, class Field>
Message decode_number(Reader& reader, Field M::*field) {
  M message;
  reader.number(message.*field);
  return message;
}

Message decode_hello(Reader& reader) {
  Hello message;
  reader.require(reader.raw(kMagic.size()) == kMagic);
  reader.number(message.version);
  reader.flag(message.is_planner);
  reader.number(message.epoch);
  reader.require(message.epoch != 0);
  reader.text<std::uint8_t>(message.name, kMaxNameBytes);
  reader.number(message.cores);
  reader.number(message.window);
  std::uint16_t count = 0;
  reader.number(count);
  reader.require(count <= kMaxRoutes);
  for (std::uint16_t i = 0; reader.is_valid() && i < count; ++i)
    reader.text<std::uint8_t>(message.routes.emplace_back(), kMaxNameBytes);
  return message;
}

Message decode_submit(Reader& reader) {
  Submit message;
  reader.number(message.attempt);
  reader.number(message.request);
  reader.number(message.route);
  reader.number(message.caller);
  reader.number(message.subject);
  reader.number(message.size_sixteenth_kb);
  reader.number(message.age_us);
  reader.number(message.remaining_us);
  reader.flag(message.is_lookup_only);
  reader.require(message.attempt != 0 && message.request != 0);
  reader.text<std::uint8_t>(message.idempotency_key, kMaxKeyBytes);
  reader.text<std::uint32_t>(message.body, kMaxBodyBytes);
  return message;
}

Message decode_answer(Reader& reader) {
  Answer message;
  std::uint8_t result = 0;
  reader.number(message.attempt);
  reader.number(result);
  reader.require(result <= static_cast<std::uint8_t>(Result::kKeyUnknown));
  message.result = static_cast<Result>(result);
  reader.number(message.retry_after_us);
  reader.flag(message.no_retry);
  reader.text<std::uint32_t>(message.body, kMaxBodyBytes);
  return message;
}

Message decode_load_report(Reader& reader) {
  LoadReport message;
  reader.number(message.window);
  reader.number(message.slot_value_milli);
  reader.flag(message.is_healthy);
  return message;
}

}  // namespace

std::string encode(const Message& message) { return std::visit(Encoder{}, message); }

DecodedFrame decode_next_frame(std::string_view input) {
  DecodedFrame out;
  if (input.size() < kHeaderBytes) return out;
  std::uint32_t length = 0;
  Reader(input).number(length);
  if (length > kMaxFrameBytes) {
    out.state = Framing::kBroken;
    return out;
  }
  if (input.size() < kHeaderBytes + length) return out;
  Reader reader(input.substr(kHeaderBytes, length));
  out.state = Framing::kFrame;
  out.length = kHeaderBytes + length;
  switch (static_cast<std::uint8_t>(input[kLengthBytes])) {
    case kHello: out.message = decode_hello(reader); break;
    case kSubmit: out.message = decode_submit(reader); break;
    case kCancel: out.message = decode_number(reader, &Cancel::attempt); break;
    case kFence: out.message = decode_number(reader, &Fence::attempt); break;
    case kAnswer: out.message = decode_answer(reader); break;
    case kLoadReport: out.message = decode_load_report(reader); break;
    case kDraining: out.message = decode_number(reader, &Draining::stop_us); break;
    case kPing: out.message = decode_number(reader, &Ping::token); break;
    case kPong: out.message = decode_number(reader, &Pong::token); break;
    default: reader.require(false);
  }
  if (!reader.is_complete()) out.state = Framing::kBroken;
  return out;
}

}  // namespace damsonspoke::wire::tier
