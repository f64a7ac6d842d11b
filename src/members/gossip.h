// News that waits to be passed on: one piece a member, the newest; what was passed on least goes first, and
// goes for good after so many passes. Adding and taking a piece cost the logarithm of what waits. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace damsonspoke::members {

class Gossip {
 public:
  // Of this member there is news, to be passed on `passes` times; older news of it is of no use any more.
  void add(int member, int passes);
  void forget(int member);
  bool empty() const { return queue_.empty(); }
  std::size_t size() const { return queue_.size(); }
  // The members whose news goes next, at most so many; each has a pass less. Of equals the newest.
  std::vector<int> take(std::size_t most);

 private:
  struct Piece {
    int passes = 0;            // left
    std::uint64_t number = 0;  // later pieces have higher ones
    int member = 0;
    bool operator>(const Piece& other) const {
      return std::tie(passes, number) > std::tie(other.passes, other.number);
    }
  };
  using Queue = std::set<Piece, std::greater<>>;
  Queue queue_;  // what goes next comes first
  std::unordered_map<int, Queue::iterator> by_member_;
  std::uint64_t next_ = 1;
};

}  // namespace damsonspoke::members
