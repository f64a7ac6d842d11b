// The codec of AJP 1.3 in both directions, from its published description: packets that a gateway (a web
// server) sends to a server, and packets that a server sends back. Every length is checked before anything
// is stored.
//
// A packet is a magic (0x1234 from gateways, "AB" from servers), a length and that many bytes. A packet of
// a gateway begins with its kind, except for pieces of a body, which only the context identifies: the
// caller decides which of the two it decodes. A string is a length, its bytes and a NUL; the length 0xFFFF
// means that there is no string.
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
constexpr std::size_t kDefaultPacketBytes = 8 * 1024;  // bytes, header included
constexpr std::size_t kMaxPacketBytes = 64 * 1024;
constexpr std::size_t kBodyHeaderBytes =
    6;  // of a packet with a piece of a body: header, length of the piece
constexpr std::size_t kMaxHeaders = 64, kMaxAttributes = 32;

enum class From { kGateway, kServer };
enum class Framing { kNeedMore, kPacket, kBroken };
struct Packet {
  Framing state = Framing::kNeedMore;
  std::size_t length = 0;  // header included, to be consumed from the input
  std::string_view payload;
};
// Parses the packet at the start of the input. Broken: the magic is not that of the sender, or the packet
// is longer than `max_bytes`, header included.
Packet next_packet(std::string_view input, From from, std::size_t max_bytes);

struct Header {
  std::string name;  // in lower case
  std::string value;
  bool operator==(const Header&) const = default;
};

// Attributes that have a kind of their own have the names of the description.
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
  std::string method;  // "POST"; "" where it was announced as stored and is missing
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
struct Ping {  // the obsolete one of the description, which servers do not answer
  bool operator==(const Ping&) const = default;
};
struct CPing {
  bool operator==(const CPing&) const = default;
};
using FromGateway = std::variant<ForwardRequest, Shutdown, Ping, CPing>;

// None: an unknown kind, counts above the bounds, or fields that do not fill the packet.
std::optional<FromGateway> decode_from_gateway(std::string_view payload);
std::string encode(const FromGateway& message);

// Decodes a piece of a body; an empty payload, or a piece of no bytes, is the end of the body. None: the
// piece does not fill the packet.
std::optional<std::string_view> decode_body(std::string_view payload);
std::string encode_body(std::string_view piece);  // at most kMaxPacketBytes - kBodyHeaderBytes bytes
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
// Control characters in header values and reasons are left out.
std::string encode(const FromServer& message);

}  // namespace damsonspoke::wire::ajp
