// What members of a fleet send one another: datagrams, and full exchanges by stream. A head (magic, digest of
// the cluster's name, checksum) and a body in CBOR: arrays whose last fields are left out where they say
// nothing. A codec: bytes to typed values and back, every length bounded, whatever is not sound refused
// whole.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "members/record.h"

namespace damsonspoke::wire::members {

constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kHeaderBytes = 4 + 4 + 8;        // bytes: magic with the version, cluster, checksum
constexpr std::size_t kMaxDatagramBytes = 1400;        // bytes; one packet on any network
constexpr std::size_t kMaxPushPullBytes = 256 * 1024;  // bytes of one side's records: some two thousand
constexpr std::size_t kMaxRecords = 4097;

enum class Problem { kNone, kShort, kForeign, kVersion, kCluster, kDamaged, kUnsound };
const char* text_of(Problem problem);

// Records that do not fit are left out, the last ones first.
std::string encode(const std::string& cluster, const damsonspoke::members::Message& message);
struct Read {
  Problem problem = Problem::kNone;
  damsonspoke::members::Message message;
};
Read decode(const std::string& cluster, std::string_view bytes);

// Of a stream: its length (4 bytes, network order), then as above.
std::string encode_exchange(const std::string& cluster,
                            const std::vector<damsonspoke::members::Record>& records);
struct ReadExchange {
  bool whole = false;  // else more is needed, unless there is a problem
  std::size_t used = 0;
  Problem problem = Problem::kNone;
  std::vector<damsonspoke::members::Record> records;
};
ReadExchange decode_exchange(const std::string& cluster, std::string_view bytes);

}  // namespace damsonspoke::wire::members
