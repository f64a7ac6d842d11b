// Queue of updates to be gossiped, which holds at most one update for each member, the newest. Urgent updates
// go first, then those with the most transmissions left, then the newest; an update is dropped after its last
// transmission. Adding and taking an update take logarithmic time. Pure.
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

  // Queues an update about a member, replacing an older one. `urgent` is for refutations: a member that
  // receives one too late declares the suspected member dead.
  void add(int member, int transmissions, bool urgent = false);
  void forget(int member);
  [[nodiscard]] bool empty() const { return queue_.empty(); }
  [[nodiscard]] std::size_t size() const { return queue_.size(); }
  [[nodiscard]] bool has_urgent() const { return !queue_.empty() && queue_.begin()->urgent; }
  // Returns the members whose updates are sent next, at most `limit`, and counts one transmission of each
  // update.
  [[nodiscard]] std::vector<int> take(std::size_t limit, Filter filter = Filter::kAll);

 private:
  struct Update {
    bool urgent = false;
    int transmissions = 0;       // left
    std::uint64_t sequence = 0;  // increases with each added update
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
