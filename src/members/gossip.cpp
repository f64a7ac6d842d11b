#include "members/gossip.h"

namespace damsonspoke::members {

void Gossip::add(int member, int passes) {
  forget(member);
  by_member_[member] = queue_.insert({passes, next_++, member}).first;
}

void Gossip::forget(int member) {
  const auto found = by_member_.find(member);
  if (found == by_member_.end()) return;
  queue_.erase(found->second);
  by_member_.erase(found);
}

std::vector<int> Gossip::take(std::size_t most) {
  std::vector<Piece> taken;
  for (auto next = queue_.begin(); next != queue_.end() && taken.size() < most; ++next)
    taken.push_back(*next);
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
