#include "conns/eviction_order.h"

#include <limits>

namespace damsonspoke::conns {
namespace {

// A rank that sorts before all ranks of the next class.
EvictionRank start_of_class_after(EvictionClass eviction_class) {
  return {static_cast<EvictionClass>(static_cast<int>(eviction_class) + 1),
          -std::numeric_limits<double>::infinity(), 0};
}

}  // namespace

std::optional<ConnectionId> EvictionOrder::find(bool is_new_client_unknown, double now,
                                                const std::function<bool(ConnectionId)>& frees_slot) const {
  auto rank = ranks_.begin();
  while (rank != ranks_.end()) {
    const bool is_known = rank->eviction_class == EvictionClass::kKnownClient;
    if (is_new_client_unknown && is_known) break;
    const bool needs_expiry = is_new_client_unknown || is_known;
    if (needs_expiry && rank->protected_until > now) {  // the rest of the class is protected too
      rank = ranks_.lower_bound(start_of_class_after(rank->eviction_class));
      continue;
    }
    if (frees_slot(rank->id)) return rank->id;
    ++rank;
  }
  return std::nullopt;
}

std::vector<ConnectionId> EvictionOrder::unprotected(std::size_t max_count, double now) const {
  std::vector<ConnectionId> ids;
  for (const EvictionRank& rank : ranks_) {
    if (ids.size() >= max_count) break;
    if (rank.protected_until <= now) ids.push_back(rank.id);
  }
  return ids;
}

}  // namespace damsonspoke::conns
