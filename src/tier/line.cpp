#include "tier/line.h"

#include <algorithm>

namespace damsonspoke::tier {

std::optional<OpId> Line::enter(OpId op, double importance, std::uint32_t caller, std::size_t bytes) {
  Rank& rank = ranks_[importance];
  std::deque<OpId>& mine = rank.by_caller[caller];
  if (mine.empty()) rank.turns.push_back(caller);
  mine.push_back(op);
  ++rank.count;
  waiting_[op] = {importance, caller, bytes};
  bytes_ += bytes;
  if (waiting_.size() <= most_ops_ && bytes_ <= most_bytes_) return std::nullopt;
  const OpId goes = worst();
  take_out(goes, false);
  return goes;
}

// Of the least important: the newest of the caller that has most of them waiting.
OpId Line::worst() const {
  const Rank& rank = ranks_.rbegin()->second;
  const std::deque<OpId>* most = nullptr;
  for (const std::uint32_t caller : rank.turns) {
    const std::deque<OpId>& ops = rank.by_caller.at(caller);
    if (most == nullptr || ops.size() >= most->size()) most = &ops;
  }
  return most != nullptr ? most->back() : OpId{};  // a rank that is there has turns
}

std::optional<OpId> Line::next() const {
  if (ranks_.empty()) return std::nullopt;
  const Rank& rank = ranks_.begin()->second;
  return rank.by_caller.at(rank.turns.front()).front();
}

bool Line::leave(OpId op) {
  if (!waiting_.contains(op)) return false;
  take_out(op, next() == op);
  return true;
}

// Whoever had its turn goes behind the other callers of its rank.
void Line::take_out(OpId op, bool its_turn) {
  const Waiting w = waiting_.at(op);
  waiting_.erase(op);
  bytes_ -= w.bytes;
  const auto at = ranks_.find(w.importance);
  Rank& rank = at->second;
  std::deque<OpId>& mine = rank.by_caller.at(w.caller);
  mine.erase(std::find(mine.begin(), mine.end(), op));
  const auto turn = std::find(rank.turns.begin(), rank.turns.end(), w.caller);
  if (mine.empty()) {
    rank.turns.erase(turn);
    rank.by_caller.erase(w.caller);
  } else if (its_turn) {
    rank.turns.splice(rank.turns.end(), rank.turns, turn);
  }
  if (--rank.count == 0) ranks_.erase(at);
}

std::size_t Line::ahead(double importance) const {
  std::size_t count = 0;
  for (const auto& [of, rank] : ranks_) {
    if (of < importance) break;
    count += rank.count;
  }
  return count;
}

}  // namespace damsonspoke::tier
