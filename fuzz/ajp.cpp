// AJP packets of both directions: a decoded message survives encoding and decoding, a truncated packet
// needs more input, and no announced length leads to a large allocation.
#include "wire/ajp.h"

#include <cstdlib>

namespace {

using namespace damsonspoke::wire::ajp;

// `from`: the side whose magic the packets have.
void check_packets(std::string_view input, From from, std::size_t max_bytes) {
  for (;;) {
    const Packet packet = next_packet(input, from, max_bytes);
    if (packet.state != Framing::kPacket) return;
    if (packet.length > input.size() || packet.length > max_bytes) std::abort();
    for (const std::size_t cut : {packet.length - 1, packet.length / 2}) {
      if (next_packet(input.substr(0, cut), from, max_bytes).state != Framing::kNeedMore) std::abort();
    }
    if (from == From::kGateway) {
      if (const auto message = decode_from_gateway(packet.payload)) {
        const std::string bytes = encode(*message);
        const Packet again = next_packet(bytes, from, kMaxPacketBytes);
        // A header name in its coded form may be written in full only if it was sent so: the encoding is
        // never longer.
        if (again.state != Framing::kPacket || decode_from_gateway(again.payload) != message) std::abort();
      }
      if (const auto piece = decode_body(packet.payload)) {
        const std::string bytes = piece->empty() ? encode_body_end() : encode_body(*piece);
        const Packet again = next_packet(bytes, from, kMaxPacketBytes);
        if (again.state != Framing::kPacket || decode_body(again.payload) != piece) std::abort();
      }
    } else if (const auto message = decode_from_server(packet.payload)) {
      // Reasons and values are written without control characters: the second encoding must equal the
      // first.
      const std::string once = encode(*message);
      const auto read = decode_from_server(next_packet(once, from, kMaxPacketBytes).payload);
      if (!read || encode(*read) != once) std::abort();
    }
    input.remove_prefix(packet.length);
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  const std::string_view input(reinterpret_cast<const char*>(data), size);
  for (const From from : {From::kGateway, From::kServer}) {
    check_packets(input, from, kDefaultPacketBytes);
    check_packets(input, from, kMaxPacketBytes);
  }
  return 0;
}
