// The codec of the membership protocol: datagrams, and push-pulls by stream. A message is a header (magic
// with the version, digest of the cluster's name, checksum) and a body in CBOR: arrays whose trailing
// fields are omitted where they hold their defaults. All lengths are bounded; an invalid message is
// rejected completely.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "members/record.h"

namespace damsonspoke::wire::members {

constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kHeaderBytes = 4 + 4 + 8;
constexpr std::size_t kLengthBytes = 4;                // before a push-pull, in network byte order
constexpr std::size_t kMaxDatagramBytes = 1400;        // fits into one packet on any network
constexpr std::size_t kMaxPushPullBytes = 256 * 1024;  // of one side: some two thousand records
constexpr std::size_t kMaxRecords = 4097;

enum class DecodeError { kNone, kTooShort, kOtherProtocol, kVersion, kCluster, kChecksum, kMalformed };
[[nodiscard]] const char* text_of(DecodeError error);

// Records that don't fit into kMaxDatagramBytes are left out, the last ones first.
[[nodiscard]] std::string encode(const std::string& cluster, const damsonspoke::members::Message& message);
struct DecodedMessage {
  DecodeError error = DecodeError::kNone;
  damsonspoke::members::Message message;
};
[[nodiscard]] DecodedMessage decode(const std::string& cluster, std::string_view bytes);

// One side of a push-pull: its length, then a message whose body is its records. Records that do not fit
// are left out; gossip delivers them later.
[[nodiscard]] std::string encode_push_pull(const std::string& cluster,
                                           const std::vector<damsonspoke::members::Record>& records);
struct DecodedPushPull {
  bool is_complete = false;  // if not, and without an error, more bytes are needed
  std::size_t bytes_used = 0;
  DecodeError error = DecodeError::kNone;
  std::vector<damsonspoke::members::Record> records;
};
[[nodiscard]] DecodedPushPull decode_push_pull(const std::string& cluster, std::string_view bytes);

}  // namespace damsonspoke::wire::members
