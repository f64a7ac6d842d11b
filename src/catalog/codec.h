// The text form of the catalog: one JSON object a line, with the names that the platform's settings use. A
// codec: bytes to typed values and back.
//
//   {"route":"NAME","target":200,"give-up":400,"worth":2,...}     adds a route, or gives it other settings
//   {"tenant":"NAME","quota-per-s":12.5}                          the same of a tenant
//   {"remove-route":"NAME"}   {"remove-tenant":"NAME"}
//
// Times are milliseconds. Of a route, "target" and "give-up" are needed; "calls" and "worth-without" stand
// with it. Members that are not known are ignored.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "catalog/change.h"
#include "catalog/version.h"

namespace damsonspoke::catalog {

// Thrown with what is wrong, in plain words without the place.
struct CodecError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

constexpr std::size_t kMaxLineBytes = 4096;  // bytes

Change decode_change(std::string_view line);
std::string encode_change(const Change& change);  // with its line feed
// "route 'NAME'" or "tenant 'NAME'".
std::string describe(const Change& change);

// The history after one more change, which stood so in its line.
HistoryDigest extend_history(HistoryDigest history, std::string_view line);

// The first line of a snapshot; entries follow, a line each.
struct SnapshotHeader {
  Version version;
  HistoryDigest history = 0;
  std::uint64_t routes = 0, tenants = 0;
};
// The first line of a span of changes; the changes follow, a line each, with the numbers `first` to `last`.
struct BatchHeader {
  std::uint64_t epoch = 0, first_sequence = 0, last_sequence = 0;
  HistoryDigest history_before = 0, history_after = 0;
};
SnapshotHeader decode_snapshot_header(std::string_view line);
BatchHeader decode_batch_header(std::string_view line);
std::string encode_header(const SnapshotHeader& header);
std::string encode_header(const BatchHeader& header);

// ---- Files. Content is sealed (store/sealed_file.h); a file of changes is sealed spans, one after another.
constexpr std::uint32_t kSnapshotFormat = 1, kBatchFormat = 2;
constexpr const char* kSnapshotFile = "catalog.snapshot";
constexpr const char* kPreviousSnapshotFile =
    "catalog.snapshot.1";  // the one before, as store/sealed_file keeps it
constexpr const char* kChangesFile = "catalog.changes";
constexpr std::size_t kMaxSnapshotBytes = std::size_t{256} << 20;  // bytes: four times the size in two years
constexpr std::size_t kMaxBatchBytes = std::size_t{256} << 10;     // bytes of one span: some 2,500 changes

// A sealed span of changes; `lines` as encode_change makes them. The history is moved on.
std::string encode_batch(std::uint64_t epoch, std::uint64_t first, HistoryDigest& history,
                         const std::string& lines);

}  // namespace damsonspoke::catalog
