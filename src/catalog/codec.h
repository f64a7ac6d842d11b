// Codec for the text form of the catalog: one JSON object per line, with the names that the platform's
// settings use.
//
//   {"route":"NAME","target":200,"give-up":400,"worth":2,...}     adds a route, or replaces its settings
//   {"tenant":"NAME","quota-per-s":12.5}                          adds a tenant, or replaces its settings
//   {"remove-route":"NAME"}   {"remove-tenant":"NAME"}
//
// Times are milliseconds. A route needs "target" and "give-up"; "calls" and "worth-without", which the
// platform's settings keep in separate lists, are members of the route here. Unknown members are ignored.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "catalog/change.h"
#include "catalog/version.h"

namespace damsonspoke::catalog {

// A line that can't be decoded. what() is the reason, without the position.
struct CodecError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

constexpr std::size_t kMaxLineBytes = 4096;

// Decodes a line without its line feed. Throws CodecError.
Change decode_change(std::string_view line);
// The line of a change, including its line feed.
std::string encode_change(const Change& change);
// "route 'NAME'" or "tenant 'NAME'".
std::string describe(const Change& change);

// The digest of a history extended by one change; `line`: the change as it is written in the file.
HistoryDigest extend_history(HistoryDigest history, std::string_view line);

// The first line of a snapshot; its entries follow, one per line.
struct SnapshotHeader {
  Version version;
  HistoryDigest history = 0;
  std::uint64_t routes = 0;   // number of entries
  std::uint64_t tenants = 0;  // number of entries
};

// The first line of a batch of changes; the changes follow, one per line, with consecutive sequence numbers.
struct BatchHeader {
  std::uint64_t epoch = 0;
  std::uint64_t first_sequence = 0;
  std::uint64_t last_sequence = 0;
  HistoryDigest history_before = 0;  // before its first change
  HistoryDigest history_after = 0;   // after its last change
};

// Throw CodecError.
SnapshotHeader decode_snapshot_header(std::string_view line);
BatchHeader decode_batch_header(std::string_view line);
std::string encode_header(const SnapshotHeader& header);
std::string encode_header(const BatchHeader& header);

// ---- Files. Their content is framed with a checksum (store/checksummed_file.h). The file of changes is an
// append-only log of such frames, one per batch.
constexpr std::uint32_t kSnapshotFormat = 1;
constexpr std::uint32_t kBatchFormat = 2;
constexpr const char* kSnapshotFile = "catalog.snapshot";
constexpr const char* kPreviousSnapshotFile =
    "catalog.snapshot.1";  // the name that store::ChecksummedFile gives it
constexpr const char* kChangesFile = "catalog.changes";
constexpr std::size_t kMaxSnapshotBytes = std::size_t{256} << 20;
constexpr std::size_t kMaxBatchBytes = std::size_t{256} << 10;  // about 2,500 changes

// Encodes a framed batch of the changes in `lines`, which have the form of encode_change(). Extends `history`
// by these changes.
std::string encode_batch(std::uint64_t epoch, std::uint64_t first_sequence, HistoryDigest& history,
                         const std::string& lines);

}  // namespace damsonspoke::catalog
