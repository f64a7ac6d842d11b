// News that waits to be passed on: one piece a member, the newest; urgent news goes first, then what was
// passed on least, and it goes for good after so many passes. Adding and taking a piece cost the logarithm of
// what waits. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace damsonspoke::members {

class GossipQueue {
 public:
  // Of this member there is news, to be passed on `passes` times; older news of it is of no use any more.
  // `urgent`: that it lives after all; whoever hears too late calls it dead.
  void add(int member, int transmissions, bool urgent = false);
  void forget(int member);
  bool empty() const { return queue_.empty(); }
  std::size_t size() const { return queue_.size(); }
  bool has_urgent() const { return !queue_.empty() && queue_.begin()->urgent; }
  // The members whose news goes next, at most so many; each has a pass less. Of equals the newest.
  enum class Filter { kAll, kUrgentOnly };
  std::vector<int> take(std::size_t limit, Filter filter = Filter::kAll);

 private:
  struct Update {
    bool urgent = false;
    int transmissions = 0;       // left
    std::uint64_t sequence = 0;  // later pieces have higher ones
    int member = 0;
    bool operator>(const Update& other) const {
      return std::tie(urgent, transmissions, sequence) >
             std::tie(other.urgent, other.transmissions, other.sequence);
    }
  };
  using Queue = std::set<Update, std::greater<>>;
  Queue queue_;  // what goes next comes first
  std::unordered_map<int, Queue::iterator> by_member_;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace damsonspoke::members
