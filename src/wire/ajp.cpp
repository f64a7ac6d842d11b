#include "wire/ajp.h"

#include <algorithm>
#include <array>

namespace damsonspoke::wire::ajp {
namespace {

constexpr std::uint16_t kGatewayMagic = 0x1234, kServerMagic = 0x4142;  // the second is "AB"
constexpr std::uint16_t kNoString = 0xffff;
constexpr std::uint8_t kCodedName = 0xa0;  // first byte of a header name that is sent as a code
constexpr std::uint8_t kStoredMethod = 0xff, kNoMoreAttributes = 0xff;

enum Kind : std::uint8_t {
  kForwardRequest = 2,
  kSendBodyChunk,
  kSendHeaders,
  kEndResponse,
  kGetBodyChunk,
  kShutdown,
  kPing,
  kCPong,
  kCPing
};

constexpr auto kMethods = std::to_array<std::string_view>({"OPTIONS",
                                                           "GET",
                                                           "HEAD",
                                                           "POST",
                                                           "PUT",
                                                           "DELETE",
                                                           "TRACE",
                                                           "PROPFIND",
                                                           "PROPPATCH",
                                                           "MKCOL",
                                                           "COPY",
                                                           "MOVE",
                                                           "LOCK",
                                                           "UNLOCK",
                                                           "ACL",
                                                           "REPORT",
                                                           "VERSION-CONTROL",
                                                           "CHECKIN",
                                                           "CHECKOUT",
                                                           "UNCHECKOUT",
                                                           "SEARCH",
                                                           "MKWORKSPACE",
                                                           "UPDATE",
                                                           "LABEL",
                                                           "MERGE",
                                                           "BASELINE_CONTROL",
                                                           "MKACTIVITY"});
constexpr auto kRequestNames = std::to_array<std::string_view>(
    {"accept", "accept-charset", "accept-encoding", "accept-language", "authorization", "connection",
     "content-type", "content-length", "cookie", "cookie2", "host", "pragma", "referer", "user-agent"});
constexpr auto kResponseNames = std::to_array<std::string_view>(
    {"content-type", "content-language", "content-length", "date", "last-modified", "location", "set-cookie",
     "set-cookie2", "servlet-engine", "status", "www-authenticate"});

template <std::size_t N>
std::size_t code_of(const std::array<std::string_view, N>& names,
                    std::string_view name) {  // from 1; 0: none
  const auto found = std::find(names.begin(), names.end(), name);
  return found == names.end() ? 0 : static_cast<std::size_t>(found - names.begin()) + 1;
}

std::string lower(std::string_view text) {
  std::string out(text);
  for (char& c : out) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  }
  return out;
}

class Writer {
 public:
  explicit Writer(std::uint16_t magic) {
    number(magic);
    number(0);
  }
  void byte(std::uint8_t value) { out_ += static_cast<char>(value); }
  void number(std::uint16_t value) {
    byte(static_cast<std::uint8_t>(value >> 8));
    byte(static_cast<std::uint8_t>(value));
  }
  void text(std::string_view text) {
    text = text.substr(0, kNoString - 1);
    number(static_cast<std::uint16_t>(text.size()));
    out_ += text;
    byte(0);
  }
  // Writes a text without control characters, which a peer could take for the end of the value.
  void printable_text(std::string_view text) {
    std::string out;
    for (const char c : text) {
      if (static_cast<unsigned char>(c) >= 0x20 && c != 0x7f) out += c;
    }
    this->text(out);
  }
  void raw(std::string_view bytes) { out_ += bytes; }
  template <std::size_t N>
  void header_name(const std::array<std::string_view, N>& names, std::string_view name) {
    if (const std::size_t code = code_of(names, name); code != 0)
      return number(static_cast<std::uint16_t>(kCodedName << 8 | code));
    text(name);
  }
  std::string finish() {
    const std::size_t length = out_.size() - kHeaderBytes;
    out_[2] = static_cast<char>(length >> 8);
    out_[3] = static_cast<char>(length);
    return std::move(out_);
  }

 private:
  std::string out_;
};

// A read past the end gives an empty value and makes the reader invalid.
class Reader {
 public:
  explicit Reader(std::string_view in) : in_(in) {}
  std::uint8_t byte() {
    const std::string_view one = take(1);
    return one.empty() ? 0 : static_cast<std::uint8_t>(one[0]);
  }
  std::uint16_t number() {
    const unsigned high = byte();
    return static_cast<std::uint16_t>(high << 8 | byte());
  }
  bool flag() {
    const std::uint8_t value = byte();
    require(value <= 1);
    return value == 1;
  }
  std::string_view text() {
    const std::uint16_t length = number();
    if (length == kNoString) return {};
    const std::string_view out = take(length);
    require(byte() == 0);
    // A NUL inside would end the string for some readers and not for others.
    require(out.find('\0') == std::string_view::npos);
    return is_valid_ ? out : std::string_view();
  }
  template <std::size_t N>
  std::string header_name(const std::array<std::string_view, N>& names) {
    if (!in_.empty() && static_cast<std::uint8_t>(in_[0]) == kCodedName) {
      const std::size_t code = number() & 0xffu;
      require(code >= 1 && code <= names.size());
      return is_valid_ ? std::string(names[code - 1]) : std::string();
    }
    const std::string_view name = text();
    require(!name.empty());
    return lower(name);
  }
  std::string_view take(std::size_t count) {
    if (count > in_.size()) is_valid_ = false;
    if (!is_valid_) return {};
    const std::string_view out = in_.substr(0, count);
    in_.remove_prefix(count);
    return out;
  }
  void require(bool what) { is_valid_ &= what; }
  bool is_valid() const { return is_valid_; }
  bool is_complete() const { return is_valid_ && in_.empty(); }
  std::size_t remaining() const { return in_.size(); }

 private:
  std::string_view in_;
  bool is_valid_ = true;
};

// The minimum bytes of a header: an impossible count is rejected before anything is stored.
constexpr std::size_t kMinHeaderBytes = 4;

template <std::size_t N>
void read_headers(Reader& r, const std::array<std::string_view, N>& names, std::vector<Header>& out) {
  const std::uint16_t count = r.number();
  r.require(count <= kMaxHeaders && count * kMinHeaderBytes <= r.remaining());
  if (!r.is_valid()) return;
  out.reserve(count);
  for (std::uint16_t i = 0; r.is_valid() && i < count; ++i) {
    std::string name = r.header_name(names);
    out.push_back({std::move(name), std::string(r.text())});
  }
}

std::string method_name(std::uint8_t code, Reader& r) {
  if (code == kStoredMethod) return {};
  r.require(code >= 1 && code <= kMethods.size());
  return r.is_valid() ? std::string(kMethods[code - 1]) : std::string();
}

ForwardRequest read_request(Reader& r) {
  ForwardRequest out;
  out.method = method_name(r.byte(), r);
  const bool is_method_stored = out.method.empty();
  out.protocol = r.text();
  out.uri = r.text();
  out.remote_address = r.text();
  out.remote_host = r.text();
  out.server_name = r.text();
  out.server_port = r.number();
  out.secure = r.flag();
  read_headers(r, kRequestNames, out.headers);
  while (r.is_valid()) {
    const std::uint8_t kind = r.byte();
    if (!r.is_valid() || kind == kNoMoreAttributes) break;
    r.require(kind >= Attribute::kContext && kind <= Attribute::kStoredMethod &&
              out.attributes.size() < kMaxAttributes);
    if (!r.is_valid()) break;
    Attribute& one = out.attributes.emplace_back();
    one.kind = static_cast<Attribute::Kind>(kind);
    if (one.kind == Attribute::kSslKeySize) {
      one.number = r.number();
      continue;
    }
    if (one.kind == Attribute::kRequest) one.name = r.text();
    one.value = r.text();
    if (one.kind == Attribute::kStoredMethod) {
      r.require(is_method_stored && out.method.empty() &&
                !one.value.empty());  // there must be only one method
      out.method = one.value;
    }
  }
  return out;
}

template <class List>
const std::string* find_header(const List& headers, std::string_view name) {
  const auto found =
      std::find_if(headers.begin(), headers.end(), [&](const Header& h) { return h.name == name; });
  return found == headers.end() ? nullptr : &found->value;
}

struct GatewayEncoder {
  std::string operator()(const ForwardRequest& m) const {
    Writer w(kGatewayMagic);
    w.byte(kForwardRequest);
    const std::size_t code = code_of(kMethods, m.method);
    const bool is_method_stored = m.attribute(Attribute::kStoredMethod) != nullptr;
    w.byte(code == 0 || is_method_stored ? kStoredMethod : static_cast<std::uint8_t>(code));
    w.text(m.protocol);
    w.text(m.uri);
    w.text(m.remote_address);
    w.text(m.remote_host);
    w.text(m.server_name);
    w.number(m.server_port);
    w.byte(m.secure ? 1 : 0);
    w.number(static_cast<std::uint16_t>(m.headers.size()));
    for (const Header& h : m.headers) {
      w.header_name(kRequestNames, h.name);
      w.text(h.value);
    }
    for (const Attribute& a : m.attributes) {
      w.byte(a.kind);
      if (a.kind == Attribute::kSslKeySize) {
        w.number(a.number);
        continue;
      }
      if (a.kind == Attribute::kRequest) w.text(a.name);
      w.text(a.value);
    }
    w.byte(kNoMoreAttributes);
    return w.finish();
  }
  std::string operator()(const Shutdown&) const { return encode_kind(kShutdown); }
  std::string operator()(const Ping&) const { return encode_kind(kPing); }
  std::string operator()(const CPing&) const { return encode_kind(kCPing); }
  static std::string encode_kind(Kind kind) {
    Writer w(kGatewayMagic);
    w.byte(kind);
    return w.finish();
  }
};

struct ServerEncoder {
  std::string operator()(const SendHeaders& m) const {
    Writer w(kServerMagic);
    w.byte(kSendHeaders);
    w.number(m.status);
    w.printable_text(m.reason);
    w.number(static_cast<std::uint16_t>(m.headers.size()));
    for (const Header& h : m.headers) {
      w.header_name(kResponseNames, h.name);
      w.printable_text(h.value);
    }
    return w.finish();
  }
  std::string operator()(const SendBodyChunk& m) const {
    Writer w(kServerMagic);
    w.byte(kSendBodyChunk);
    w.number(static_cast<std::uint16_t>(m.piece.size()));
    w.raw(m.piece);
    w.byte(0);  // servers write this byte, though the description does not mention it
    return w.finish();
  }
  std::string operator()(const EndResponse& m) const {
    Writer w(kServerMagic);
    w.byte(kEndResponse);
    w.byte(m.reuse ? 1 : 0);
    return w.finish();
  }
  std::string operator()(const GetBodyChunk& m) const {
    Writer w(kServerMagic);
    w.byte(kGetBodyChunk);
    w.number(m.max_bytes);
    return w.finish();
  }
  std::string operator()(const CPong&) const {
    Writer w(kServerMagic);
    w.byte(kCPong);
    return w.finish();
  }
};

}  // namespace

const std::string* ForwardRequest::header(std::string_view name) const { return find_header(headers, name); }
const Attribute* ForwardRequest::attribute(Attribute::Kind kind) const {
  const auto found = std::find_if(attributes.begin(), attributes.end(),
                                  [&](const Attribute& one) { return one.kind == kind; });
  return found == attributes.end() ? nullptr : &*found;
}
const std::string* SendHeaders::header(std::string_view name) const { return find_header(headers, name); }

Packet next_packet(std::string_view input, From from, std::size_t max_bytes) {
  Packet out;
  // Another magic is detected at its first byte, without waiting for the rest of the packet.
  const std::uint16_t magic = from == From::kGateway ? kGatewayMagic : kServerMagic;
  if (!input.empty() && static_cast<std::uint8_t>(input[0]) != magic >> 8) out.state = Framing::kBroken;
  if (input.size() > 1 && static_cast<std::uint8_t>(input[1]) != (magic & 0xff)) out.state = Framing::kBroken;
  if (out.state == Framing::kBroken || input.size() < kHeaderBytes) return out;
  Reader r(input.substr(2));
  const std::size_t length = kHeaderBytes + r.number();
  if (length > max_bytes) return out.state = Framing::kBroken, out;
  if (input.size() < length) return out;
  out.state = Framing::kPacket;
  out.length = length;
  out.payload = input.substr(kHeaderBytes, length - kHeaderBytes);
  return out;
}

std::optional<FromGateway> decode_from_gateway(std::string_view payload) {
  Reader r(payload);
  FromGateway out;
  switch (r.byte()) {
    case kForwardRequest: out = read_request(r); break;
    case kShutdown: out = Shutdown{}; break;
    case kPing: out = Ping{}; break;
    case kCPing: out = CPing{}; break;
    default: return std::nullopt;
  }
  return r.is_complete() ? std::optional(std::move(out)) : std::nullopt;
}
std::string encode(const FromGateway& message) { return std::visit(GatewayEncoder{}, message); }

std::optional<std::string_view> decode_body(std::string_view payload) {
  if (payload.empty()) return payload;
  Reader r(payload);
  const std::string_view piece = r.take(r.number());
  return r.is_complete() ? std::optional(piece) : std::nullopt;
}
std::string encode_body(std::string_view piece) {
  Writer w(kGatewayMagic);
  piece = piece.substr(0, kMaxPacketBytes - kBodyHeaderBytes);
  w.number(static_cast<std::uint16_t>(piece.size()));
  w.raw(piece);
  return w.finish();
}
std::string encode_body_end() { return Writer(kGatewayMagic).finish(); }

std::optional<FromServer> decode_from_server(std::string_view payload) {
  Reader r(payload);
  FromServer out;
  switch (r.byte()) {
    case kSendHeaders: {
      SendHeaders m;
      m.status = r.number();
      r.require(m.status >= 100 && m.status <= 999);
      m.reason = r.text();
      read_headers(r, kResponseNames, m.headers);
      out = std::move(m);
      break;
    }
    case kSendBodyChunk: {
      SendBodyChunk m;
      m.piece = r.take(r.number());
      if (r.is_valid() && r.remaining() == 1) r.require(r.byte() == 0);
      out = std::move(m);
      break;
    }
    case kEndResponse: out = EndResponse{r.flag()}; break;
    case kGetBodyChunk: out = GetBodyChunk{r.number()}; break;
    case kCPong: out = CPong{}; break;
    default: return std::nullopt;
  }
  return r.is_complete() ? std::optional(std::move(out)) : std::nullopt;
}
std::string encode(const FromServer& message) { return std::visit(ServerEncoder{}, message); }

}  // namespace damsonspoke::wire::ajp
