// Updates that wait to be gossiped: at most one for each member, the newest. Urgent updates go first, then
// those sent least often; an update is dropped after its last transmission. Adding and taking an update cost
// the logarithm of the queue's length. Pure.
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
  enum class Filter { kAll, kUrgentOnly };

  // Queues an update about a member in place of an older one. `urgent` is for proof that a suspected member
  // lives: whoever learns it too late declares that member dead.
  void add(int member, int transmissions, bool urgent = false);
  void forget(int member);
  [[nodiscard]] bool empty() const { return queue_.empty(); }
  [[nodiscard]] std::size_t size() const { return queue_.size(); }
  [[nodiscard]] bool has_urgent() const { return !queue_.empty() && queue_.begin()->urgent; }
  // The members whose updates are sent next, at most `limit`, the newest of equals first. Each of them has
  // one transmission less afterwards.
  [[nodiscard]] std::vector<int> take(std::size_t limit, Filter filter = Filter::kAll);

 private:
  struct Update {
    bool urgent = false;
    int transmissions = 0;       // left
    std::uint64_t sequence = 0;  // later updates have higher ones
    int member = 0;
    bool operator>(const Update& other) const {
      return std::tie(urgent, transmissions, sequence) >
             std::tie(other.urgent, other.transmissions, other.sequence);
    }
  };
  using Queue = std::set<Update, std::greater<>>;
  Queue queue_;  // the next update first
  std::unordered_map<int, Queue::iterator> by_member_;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace damsonspoke::members
