// AJP 1.3, both directions, from its published description: packets that a gateway (a web server) sends to a
// server and that a server sends back. A codec: bytes to typed values and back, every length checked before
// anything is kept.
//
// A packet is a magic (0x1234 from gateways, "AB" from servers), a length and so many bytes. What a gateway
// sends begins with its kind, but for pieces of a body, which are known only by being due: the reader says
// which it expects. Strings are a length, their bytes and a NUL; 0xFFFF is no string at all.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace damsonspoke::wire::ajp {

constexpr std::size_t kHeaderBytes = 4;                // bytes: magic, length
constexpr std::size_t kDefaultPacketBytes = 8 * 1024;  // bytes, head and all
constexpr std::size_t kMaxPacketBytes = 64 * 1024;
constexpr std::size_t kBodyHeaderBytes =
    6;  // of a packet that carries a piece of a body: head, length of the piece
constexpr std::size_t kMaxHeaders = 64, kMaxAttributes = 32;

enum class From { kGateway, kServer };
enum class Framing { kNeedMore, kPacket, kBroken };
struct Packet {
  Framing state = Framing::kNeedMore;
  std::size_t length = 0;  // with its head, to be taken off the input
  std::string_view payload;
};
// The packet that the input starts with. Broken: another magic than that side's, or longer than `most` bytes,
// head and all.
Packet next_packet(std::string_view input, From from, std::size_t max_bytes);

struct Header {
  std::string name;  // in lower case
  std::string value;
  bool operator==(const Header&) const = default;
};

// Attributes that have a kind of their own are named as the description names them.
struct Attribute {
  enum Kind : std::uint8_t {
    kContext = 1,
    kServletPath,
    kRemoteUser,
    kAuthType,
    kQueryString,
    kRoute,
    kSslCert,
    kSslCipher,
    kSslSession,
    kRequest,  // has a name
    kSslKeySize,
    kSecret,
    kStoredMethod
  };
  Kind kind = kContext;
  std::string name;  // of kRequest
  std::string value;
  std::uint16_t number = 0;  // of kSslKeySize
  bool operator==(const Attribute&) const = default;
};

// ---- What gateways send.
struct ForwardRequest {
  std::string method;  // "POST"; "" where the gateway said that it is stored, and it was not
  std::string protocol, uri, remote_address, remote_host, server_name;
  std::uint16_t server_port = 0;
  bool secure = false;
  std::vector<Header> headers;
  std::vector<Attribute> attributes;

  // The value of the first header of that name (lower case), or none.
  const std::string* header(std::string_view name) const;
  const Attribute* attribute(Attribute::Kind kind) const;
  bool operator==(const ForwardRequest&) const = default;
};
struct Shutdown {
  bool operator==(const Shutdown&) const = default;
};
struct Ping {  // the old one, of the description: not answered by servers
  bool operator==(const Ping&) const = default;
};
struct CPing {
  bool operator==(const CPing&) const = default;
};
using FromGateway = std::variant<ForwardRequest, Shutdown, Ping, CPing>;

// None: what no gateway sends, counts above the bounds, fields that do not fill the packet.
std::optional<FromGateway> decode_from_gateway(std::string_view payload);
std::string encode(const FromGateway& message);

// A piece of a body; an empty payload, or a piece of no bytes, is the end of the body.
std::optional<std::string_view> decode_body(std::string_view payload);
std::string encode_body(std::string_view piece);  // at most kMostPacket - kBodyHead bytes
std::string encode_body_end();                    // an empty packet

// ---- What servers send.
struct SendHeaders {
  std::uint16_t status = 0;
  std::string reason;
  std::vector<Header> headers;
  const std::string* header(std::string_view name) const;
  bool operator==(const SendHeaders&) const = default;
};
struct SendBodyChunk {
  std::string piece;
  bool operator==(const SendBodyChunk&) const = default;
};
struct EndResponse {
  bool reuse = false;  // the connection may carry another request
  bool operator==(const EndResponse&) const = default;
};
struct GetBodyChunk {
  std::uint16_t max_bytes = 0;  // bytes of the next piece
  bool operator==(const GetBodyChunk&) const = default;
};
struct CPong {
  bool operator==(const CPong&) const = default;
};
using FromServer = std::variant<SendHeaders, SendBodyChunk, EndResponse, GetBodyChunk, CPong>;

std::optional<FromServer> decode_from_server(std::string_view payload);
// Header values and reasons that hold control characters are written without them.
std::string encode(const FromServer& message);

}  // namespace damsonspoke::wire::ajp
