// Which state of the catalog is in force.
#pragma once

#include <compare>
#include <cstdint>

namespace damsonspoke::catalog {

// The number of the last change, and the epoch of the source that wrote it. A source that takes over from
// another one has a higher epoch; sequence numbers go on.
struct Version {
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  auto operator<=>(const Version&) const = default;
};

// A digest of a whole history: of every change up to a version, in order. Two histories that differ anywhere
// differ in it from there on.
using HistoryDigest = std::uint64_t;

}  // namespace damsonspoke::catalog
