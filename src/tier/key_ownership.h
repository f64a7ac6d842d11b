// Which planner owns an idempotency key, and which planners have to be asked first while the endpoint list
// changes. Policy without I/O; times are seconds on one monotonic clock.
//
// A key's results are remembered by one planner, chosen by rendezvous hashing over the names on the endpoint
// list. When the list changes, some keys move, but their remembered results do not: a retry that goes to the
// new owner would run again within the key's window. Therefore the former owner of a moved key is asked
// whether it knows the request before the new owner may run it, for as long as the former owner may remember
// the key. The new owner runs no moved key until all forwarders can be expected to have the new list, because
// a forwarder with the old list still runs new keys at the former owner.
//
// With `reload_spread` s between the changes of the first and the last forwarder, and a planner that
// remembers a key for `retention` s, a change at t proceeds as follows:
//   t .. t + reload_spread              the former owner is asked; an unknown key is rejected
//   .. t + reload_spread + retention    the former owner is asked; an unknown key runs at the new owner
//   after that                          the new owner runs the key without asking
//
// Rendezvous hashing: Thaler and Ravishankar 1998. The two phases are those of a membership change with
// overlapping configurations (Raft's joint consensus, Ongaro 2014), with time in place of acknowledgements.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace damsonspoke::tier {

struct KeyOwnershipOptions {
  double reload_spread = 10;  // s within which all forwarders get a new list
  double retention = 0;       // s for which a planner remembers a key at most; 0: no keys are remembered
};

// Where one keyed request goes.
struct KeyRoute {
  std::vector<int> former_owners;  // planners to ask, in this order, whether they know the key
  int owner = -1;                  // where the request runs if none of them knows it; < 0: the list is empty
  bool may_run = true;             // false: the request must not run yet, at any planner
};

class KeyOwnership {
 public:
  // Planners' positions, as assigned by the dispatch, and their names.
  using EndpointList = std::vector<std::pair<int, std::string>>;

  explicit KeyOwnership(KeyOwnershipOptions options) : options_(options) {}

  // Sets the current list. The first list is not a change.
  void set_planners(const EndpointList& planners, double now);
  // Adds a list that was current before this process started, until `until` on the same clock.
  void add_former_list(const EndpointList& planners, double until);
  // The previous lists are not known: no key runs until they can no longer matter.
  void assume_unknown_history(double now);

  // The route of a request that arrived at `arrived_at`, however late it is read: a former owner may have run
  // the key for a request that arrived until then.
  [[nodiscard]] KeyRoute route(std::uint64_t key_hash, double arrived_at) const;
  // Whether this planner may still remember keys of a former list.
  [[nodiscard]] bool may_remember_keys(int planner, double now) const;
  // When the last change is complete; if that has passed, no keys are moving.
  [[nodiscard]] double migration_ends_at() const;

 private:
  struct Planner {
    int position = 0;
    std::string name;
  };
  struct List {
    std::vector<Planner> planners;
    double until = -1;  // when it was superseded; < 0: current
  };
  [[nodiscard]] static int owner(const List& list, std::uint64_t key_hash);
  [[nodiscard]] static List make_list(const EndpointList& planners);
  [[nodiscard]] double expires_at(const List& list) const {
    return list.until + options_.reload_spread + options_.retention;
  }
  [[nodiscard]] bool is_expired(const List& list, double now) const { return now >= expires_at(list); }
  void drop_expired_lists(double now);

  static constexpr std::size_t kMaxFormerLists = 8;

  const KeyOwnershipOptions options_;
  List current_;
  bool has_list_ = false;
  std::vector<List> former_;   // the newest last
  double blocked_until_ = -1;  // no key runs until then, because former owners are not known
};

}  // namespace damsonspoke::tier
