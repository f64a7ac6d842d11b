// Why a snapshot or a batch of changes is rejected as a whole.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "catalog/change_error.h"
#include "catalog/version.h"
#include "store/checksummed_file.h"

namespace damsonspoke::catalog {

struct EntryCounts {
  std::uint64_t routes = 0;
  std::uint64_t tenants = 0;
  bool operator==(const EntryCounts&) const = default;
};

// The file can't be read, or its header can't be decoded.
struct Unreadable {
  std::string cause;
};
struct ChecksumFailed {
  store::ChecksumProblem problem;
};
struct NotASnapshot {};
struct NotABatch {};
struct ContentTooLarge {
  std::uint64_t bytes;
  std::uint64_t limit;
};
struct WrongFileSize {
  std::uint64_t bytes;
  std::uint64_t expected;
};
struct MissingHeader {};
struct InvalidLine {
  std::uint64_t line;  // from 1
  std::string cause;
};
struct LineTooLong {
  std::uint64_t line;   // from 1
  std::uint64_t bytes;  // read so far without a line feed
};
struct RejectedEntry {
  std::uint64_t line;  // from 1
  std::string entry;   // as describe() names it
  ChangeError error;
};
// The writer is fenced: another one has a higher epoch.
struct LowerEpoch {
  std::uint64_t epoch;
};
// The active catalog reached this version by another history.
struct ConflictingSnapshot {
  Version version;
};
struct TooManyEntries {
  EntryCounts found;
  EntryCounts limits;
};
struct WrongEntryCounts {
  EntryCounts declared;
  EntryCounts found;
};
struct NoRoutes {};
struct ReplacedWhileRead {};
struct Torn {};
struct UnterminatedLine {};
struct WrongChangeCount {
  std::uint64_t changes;
  std::uint64_t first_sequence;
  std::uint64_t last_sequence;
};
struct SequenceGap {
  std::uint64_t first_sequence;
  std::uint64_t expected;
};
// The active catalog has another history up to this change.
struct ConflictingChange {
  std::uint64_t sequence;
};
// The digest of the changes differs from the one in the header.
struct WrongHistoryDigest {};

using FileError =
    std::variant<Unreadable, ChecksumFailed, NotASnapshot, NotABatch, ContentTooLarge, WrongFileSize,
                 MissingHeader, InvalidLine, LineTooLong, RejectedEntry, LowerEpoch, ConflictingSnapshot,
                 TooManyEntries, WrongEntryCounts, NoRoutes, ReplacedWhileRead, Torn, UnterminatedLine,
                 WrongChangeCount, SequenceGap, ConflictingChange, WrongHistoryDigest>;

// The text of an error for log lines and operators, without the name of the file.
std::string to_string(const FileError& error);
// EPOCH.SEQUENCE
std::string to_string(Version version);

}  // namespace damsonspoke::catalog
