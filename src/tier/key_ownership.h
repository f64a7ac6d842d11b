// Where a keyed request belongs, and who has to be asked first while the list of planners changes. Pure
// policy.
//
// A key's results are remembered by one planner, by rendezvous over the names on the list. When the list
// changes some keys move, and what was remembered of them does not: a repeat that goes to the new owner would
// run again within its window. So the former owner of a moved key is asked whether it knows the request
// before the new one may run it, for as long as it may remember anything; and the new one runs nothing until
// all forwarders can be expected to have the new list, since one that has the old one still runs new keys at
// the former owner.
//
// With `reload_spread` s between the first and the last forwarder's change, and `retention` s that a planner
// remembers:
//   t .. t + reload_spread             the former owner is asked; what it does not know is rejected
//   .. t + reload_spread + retention      it is asked; what it does not know runs at the new owner
//   after that                  the new owner alone
// Rendezvous hashing: Thaler and Ravishankar 1998. The two phases are those of a change of membership with
// overlapping lists (Raft's joint consensus, Ongaro 2014), with time in the place of acknowledgements.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace damsonspoke::tier {

struct KeyOwnershipOptions {
  double reload_spread = 10;  // s in which all forwarders have a new list
  double retention = 0;  // s that a planner remembers a key at most; 0: nothing is remembered, nothing moves
};

// The way of one keyed request.
struct KeyRoute {
  std::vector<int> former_owners;  // former homes, to be asked in this order whether they know it
  int owner = -1;                  // where it runs once none of them does; < 0: nobody is on the list
  bool may_run = true;             // false: not yet, wherever it belongs
};

class KeyOwnership {
 public:
  explicit KeyOwnership(KeyOwnershipOptions options) : options_(options) {}

  // The list from now on: names and the positions that the caller knows them by. The first one is no change.
  void set_planners(const std::vector<std::pair<int, std::string>>& planners, double now);
  // A list that was in force before this process began, until `until` on the same clock.
  void add_former_list(const std::vector<std::pair<int, std::string>>& planners, double until);

  // Nothing is known of the lists before: keys run nowhere until that no longer matters.
  void assume_unknown_history(double now);

  KeyRoute route(std::uint64_t key_hash, double now) const;
  // Whether keys of a list from before may still be remembered at this planner.
  bool may_remember_keys(int planner, double now) const;
  // When the last change is over; <= now: nothing is moving.
  double migration_ends_at() const;

 private:
  struct Planner {
    int position = 0;
    std::string name;
  };
  struct List {
    std::vector<Planner> planners;
    double until = -1;  // s, when it was superseded; < 0: in force
  };
  static int owner(const List& list, std::uint64_t key_hash);
  void drop_expired_lists(double now);
  bool is_expired(const List& list, double now) const {
    return now >= list.until + options_.reload_spread + options_.retention;
  }
  static constexpr std::size_t kMaxFormerLists =
      8;  // lists; a change that would be one more waits, see set_planners()

  const KeyOwnershipOptions options_;
  List current_;
  bool has_list_ = false;
  std::vector<List> former_;   // the newest last
  double blocked_until_ = -1;  // keys run nowhere until then: former homes that are not known
};

}  // namespace damsonspoke::tier
