// The order in which idle connections are evicted when a new connection needs a slot.
//
// Connections without a request are evicted first, then those of unknown clients, then those of known
// clients; within a class, the one whose protection expires first.
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

// Holds the ranks of all connections that may be evicted, that is of those that are not busy.
class EvictionOrder {
 public:
  void insert(const EvictionRank& rank) { ranks_.insert(rank); }
  void erase(const EvictionRank& rank) { ranks_.erase(rank); }
  void clear() { ranks_.clear(); }

  // The first connection that the new connection may replace and for which `frees_slot` is true. A new
  // connection of an unknown client may replace connections of unknown clients whose protection has expired.
  // One of a known client may replace any connection of unknown clients, and those of known clients whose
  // protection has expired.
  [[nodiscard]] std::optional<ConnectionId> find(bool is_new_client_unknown, double now,
                                                 const std::function<bool(ConnectionId)>& frees_slot) const;
  // The first connections whose protection has expired, at most `max_count`.
  [[nodiscard]] std::vector<ConnectionId> unprotected(std::size_t max_count, double now) const;

 private:
  std::set<EvictionRank> ranks_;
};

}  // namespace damsonspoke::conns
