// The order in which idle connections are closed when a newcomer needs the place of one.
//
// Connections without a request go first, then those of unknown clients, then those of known ones; within a
// class the one whose protection ends first.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace damsonspoke::conns {

using ConnectionId = std::uint64_t;

enum class EvictionClass { kNoRequest, kUnknownClient, kKnownClient };

struct EvictionRank {
  EvictionClass eviction_class = EvictionClass::kNoRequest;
  double protected_until = 0;  // monotonic s
  ConnectionId id = 0;
  auto operator<=>(const EvictionRank&) const = default;  // NOLINT(modernize-use-nullptr): compares with 0
};

// Holds the ranks of all connections that may be closed, none that is busy.
class EvictionOrder {
 public:
  void insert(const EvictionRank& rank) { ranks_.insert(rank); }
  void erase(const EvictionRank& rank) { ranks_.erase(rank); }
  void clear() { ranks_.clear(); }

  // The first connection that a newcomer may replace and that `frees_place`. An unknown newcomer may replace
  // those of unknown clients whose protection is over; a known one may replace any of unknown clients, and
  // those of known clients whose protection is over.
  [[nodiscard]] std::optional<ConnectionId> find(bool is_new_client_unknown, double now,
                                                 const std::function<bool(ConnectionId)>& frees_slot) const;
  // The first connections whose protection is over, at most so many.
  [[nodiscard]] std::vector<ConnectionId> unprotected(std::size_t max_count, double now) const;

 private:
  std::set<EvictionRank> ranks_;
};

}  // namespace damsonspoke::conns
