// Identifies a version of the catalog.
#pragma once

#include <compare>
#include <cstdint>

namespace damsonspoke::catalog {

// The sequence number of the latest change, and the epoch of the writer that wrote it. A writer that takes
// over uses a higher epoch, a fencing token; sequence numbers continue without gaps.
struct Version {
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  auto operator<=>(const Version&) const = default;  // NOLINT(modernize-use-nullptr): a false alarm
};

// A chained digest of all changes up to a version, in order. Two histories that differ in any change have
// different digests from that change on.
using HistoryDigest = std::uint64_t;

}  // namespace damsonspoke::catalog
