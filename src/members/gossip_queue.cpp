#include "members/gossip_queue.h"

namespace damsonspoke::members {

void GossipQueue::add(int member, int passes, bool urgent) {
  forget(member);
  by_member_[member] = queue_.insert({urgent, passes, next_++, member}).first;
}

void GossipQueue::forget(int member) {
  const auto found = by_member_.find(member);
  if (found == by_member_.end()) return;
  queue_.erase(found->second);
  by_member_.erase(found);
}

std::vector<int> GossipQueue::take(std::size_t most, Which which) {
  std::vector<Piece> taken;
  for (const Piece& piece : queue_) {
    if (taken.size() >= most || (which == Which::kUrgent && !piece.urgent)) break;
    taken.push_back(piece);
  }
  std::vector<int> out;
  for (Piece& piece : taken) {
    out.push_back(piece.member);
    const auto found = by_member_.find(piece.member);
    queue_.erase(found->second);
    if (--piece.passes > 0)
      found->second = queue_.insert(piece).first;
    else
      by_member_.erase(found);
  }
  return out;
}

}  // namespace damsonspoke::members
