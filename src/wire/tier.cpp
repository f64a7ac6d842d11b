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
constexpr std::string_view kMagic =
    "DSTP";  // a hello begins with it: what speaks something else is known at once

class Writer {
 public:
  explicit Writer(Kind kind) : out_(kHeaderBytes, '\0') { out_[4] = static_cast<char>(kind); }
  template <class Number>
  void number(Number value) {
    for (std::size_t i = sizeof(Number); i-- > 0;)
      out_ += static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i));
  }
  void flag(bool value) { out_ += value ? '\1' : '\0'; }
  void raw(std::string_view text) { out_ += text; }
  template <class Length>
  void text(std::string_view text, std::size_t most) {
    text = text.substr(0, most);
    number(static_cast<Length>(text.size()));
    out_ += text;
  }
  std::string done() {
    const std::size_t length = out_.size() - kHeaderBytes;
    for (std::size_t i = 0; i < 4; ++i) out_[i] = static_cast<char>(length >> (8 * (3 - i)));
    return std::move(out_);
  }

 private:
  std::string out_;
};

// Reads past the end give nothing and are remembered.
class Reader {
 public:
  explicit Reader(std::string_view in) : in_(in) {}
  template <class Number>
  void number(Number& out) {
    const std::string_view bytes = take(sizeof(Number));
    std::uint64_t value = 0;
    for (const char c : bytes) value = value << 8 | static_cast<unsigned char>(c);
    out = static_cast<Number>(value);
  }
  void flag(bool& out) {
    std::uint8_t value = 0;
    number(value);
    good_ &= value <= 1;
    out = value == 1;
  }
  template <class Length>
  void text(std::string& out, std::size_t most) {
    Length length = 0;
    number(length);
    good_ &= length <= most;
    if (good_) out = take(length);
  }
  std::string_view take(std::size_t count) {
    if (count > in_.size()) good_ = false;
    if (!good_) return {};
    const std::string_view out = in_.substr(0, count);
    in_.remove_prefix(count);
    return out;
  }
  void demand(bool what) { good_ &= what; }
  bool good() const { return good_; }
  bool whole() const { return good_ && in_.empty(); }

 private:
  std::string_view in_;
  bool good_ = true;
};

struct Encoder {
  std::string operator()(const Hello& m) const {
    Writer w(kHello);
    w.raw(kMagic);
    w.number(m.version);
    w.flag(m.is_planner);
    w.number(m.epoch);
    w.text<std::uint8_t>(m.name, kMaxNameBytes);
    w.number(m.cores);
    w.number(m.window);
    const std::size_t count = std::min(m.routes.size(), kMaxRoutes);
    w.number(static_cast<std::uint16_t>(count));
    for (std::size_t i = 0; i < count; ++i) w.text<std::uint8_t>(m.routes[i], kMaxNameBytes);
    return w.done();
  }
  std::string operator()(const Submit& m) const {
    Writer w(kSubmit);
    w.number(m.attempt);
    w.number(m.request);
    w.number(m.route);
    w.number(m.caller);
    w.number(m.subject);
    w.number(m.size_sixteenth_kb);
    w.number(m.age_us);
    w.number(m.remaining_us);
    w.flag(m.lookup_only);
    w.text<std::uint8_t>(m.idempotency_key, kMaxKeyBytes);
    w.text<std::uint32_t>(m.body, kMaxBodyBytes);
    return w.done();
  }
  std::string operator()(const Answer& m) const {
    Writer w(kAnswer);
    w.number(m.attempt);
    w.number(static_cast<std::uint8_t>(m.result));
    w.number(m.retry_after_us);
    w.flag(m.no_retry);
    w.text<std::uint32_t>(m.body, kMaxBodyBytes);
    return w.done();
  }
  std::string operator()(const LoadReport& m) const {
    Writer w(kLoadReport);
    w.number(m.window);
    w.number(m.slot_value_milli);
    w.flag(m.is_healthy);
    return w.done();
  }
  std::string operator()(const Cancel& m) const { return one(kCancel, m.attempt); }
  std::string operator()(const Fence& m) const { return one(kFence, m.attempt); }
  std::string operator()(const Draining& m) const { return one(kDraining, m.stop_us); }
  std::string operator()(const Ping& m) const { return one(kPing, m.token); }
  std::string operator()(const Pong& m) const { return one(kPong, m.token); }

  template <class Number>
  static std::string one(Kind kind, Number value) {
    Writer w(kind);
    w.number(value);
    return w.done();
  }
};

template <class M, class Field>
Message one(Reader& r, Field M::*field) {
  M m;
  r.number(m.*field);
  return m;
}

Message decode_hello(Reader& r) {
  Hello m;
  r.demand(r.take(kMagic.size()) == kMagic);
  r.number(m.version);
  r.flag(m.is_planner);
  r.number(m.epoch);
  r.demand(m.epoch != 0);
  r.text<std::uint8_t>(m.name, kMaxNameBytes);
  r.number(m.cores);
  r.number(m.window);
  std::uint16_t count = 0;
  r.number(count);
  r.demand(count <= kMaxRoutes);
  for (std::uint16_t i = 0; r.good() && i < count; ++i)
    r.text<std::uint8_t>(m.routes.emplace_back(), kMaxNameBytes);
  return m;
}

Message decode_submit(Reader& r) {
  Submit m;
  r.number(m.attempt);
  r.number(m.request);
  r.number(m.route);
  r.number(m.caller);
  r.number(m.subject);
  r.number(m.size_sixteenth_kb);
  r.number(m.age_us);
  r.number(m.remaining_us);
  r.flag(m.lookup_only);
  r.demand(m.attempt != 0 && m.request != 0);
  r.text<std::uint8_t>(m.idempotency_key, kMaxKeyBytes);
  r.text<std::uint32_t>(m.body, kMaxBodyBytes);
  return m;
}

Message decode_answer(Reader& r) {
  Answer m;
  std::uint8_t result = 0;
  r.number(m.attempt);
  r.number(result);
  r.demand(result <= static_cast<std::uint8_t>(Result::kKeyUnknown));
  m.result = static_cast<Result>(result);
  r.number(m.retry_after_us);
  r.flag(m.no_retry);
  r.text<std::uint32_t>(m.body, kMaxBodyBytes);
  return m;
}

Message decode_load_report(Reader& r) {
  LoadReport m;
  r.number(m.window);
  r.number(m.slot_value_milli);
  r.flag(m.is_healthy);
  return m;
}

}  // namespace

std::string encode(const Message& message) { return std::visit(Encoder{}, message); }

DecodedFrame decode_next_frame(std::string_view input) {
  DecodedFrame out;
  if (input.size() < kHeaderBytes) return out;
  std::uint32_t length = 0;
  Reader(input).number(length);
  if (length > kMaxFrameBytes) return out.state = Framing::kBroken, out;
  if (input.size() < kHeaderBytes + length) return out;
  Reader r(input.substr(kHeaderBytes, length));
  out.state = Framing::kFrame;
  out.length = kHeaderBytes + length;
  switch (static_cast<std::uint8_t>(input[4])) {
    case kHello: out.message = decode_hello(r); break;
    case kSubmit: out.message = decode_submit(r); break;
    case kCancel: out.message = one(r, &Cancel::attempt); break;
    case kFence: out.message = one(r, &Fence::attempt); break;
    case kAnswer: out.message = decode_answer(r); break;
    case kLoadReport: out.message = decode_load_report(r); break;
    case kDraining: out.message = one(r, &Draining::stop_us); break;
    case kPing: out.message = one(r, &Ping::token); break;
    case kPong: out.message = one(r, &Pong::token); break;
    default: r.demand(false);
  }
  if (!r.whole()) out.state = Framing::kBroken;
  return out;
}

}  // namespace damsonspoke::wire::tier
