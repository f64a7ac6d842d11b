// The position of a keyed request on its route: first the former owners of its key are asked one after
// another, then the owner runs it.
#pragma once

#include <cstddef>
#include <utility>

#include "tier/key_ownership.h"

namespace damsonspoke::tier {

class KeyRouteCursor {
 public:
  // For a request without a key: no target.
  KeyRouteCursor() = default;
  // `list_version`: of the endpoint list that the route was computed from.
  KeyRouteCursor(KeyRoute route, int list_version) : route_(std::move(route)), list_version_(list_version) {}

  // Whether the target is only asked whether it knows the key.
  [[nodiscard]] bool is_lookup() const { return lookups_done_ < route_.former_owners.size(); }
  // The planner that has to be asked or that runs the request; < 0: none.
  [[nodiscard]] int target() const {
    return is_lookup() ? route_.former_owners[lookups_done_] : route_.owner;
  }
  [[nodiscard]] bool may_run() const { return route_.may_run; }
  [[nodiscard]] int list_version() const { return list_version_; }
  // The target does not know the key.
  void advance() { ++lookups_done_; }

 private:
  KeyRoute route_;
  std::size_t lookups_done_ = 0;
  int list_version_ = 0;
};

}  // namespace damsonspoke::tier
