#include "members/gossip_queue.h"

namespace damsonspoke::members {

void GossipQueue::add(int member, int transmissions, bool urgent) {
  forget(member);
  by_member_[member] = queue_.insert({urgent, transmissions, next_sequence_++, member}).first;
}

void GossipQueue::forget(int member) {
  const auto found = by_member_.find(member);
  if (found == by_member_.end()) return;
  queue_.erase(found->second);
  by_member_.erase(found);
}

std::vector<int> GossipQueue::take(std::size_t limit, Filter filter) {
  std::vector<Update> updates;
  for (const Update& update : queue_) {
    if (updates.size() >= limit || (filter == Filter::kUrgentOnly && !update.urgent)) break;
    updates.push_back(update);
  }
  std::vector<int> members;
  for (Update& update : updates) {
    members.push_back(update.member);
    const auto found = by_member_.find(update.member);
    queue_.erase(found->second);
    if (--update.transmissions > 0)
      found->second = queue_.insert(update).first;
    else
      by_member_.erase(found);
  }
  return members;
}

}  // namespace damsonspoke::members
