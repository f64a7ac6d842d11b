#include "conns/read_scheduler.h"

#include <algorithm>

namespace damsonspoke::conns {

void ReadScheduler::add(std::uint64_t tag, double weight, double now) {
  Flow& flow = flows_[tag];
  if (flow.position) return;
  const double limited_weight = std::clamp(weight, kMinWeight, 1.0);
  const double start = std::max(virtual_time_, flow.finish);
  flow.finish = start + 1 / limited_weight;
  flow.position = Position{start, -limited_weight, ++last_arrival_, tag};
  queue_.insert(*flow.position);
  by_arrival_[last_arrival_] = {tag, now};
}

// The connection no longer waits.
void ReadScheduler::take(std::uint64_t tag) {
  std::optional<Position>& position = flows_.at(tag).position;
  by_arrival_.erase(std::get<2>(*position));
  queue_.erase(*position);
  position.reset();
}

std::optional<std::uint64_t> ReadScheduler::take_next() {
  if (queue_.empty()) return std::nullopt;
  const auto [start, negated_weight, arrival, tag] = *queue_.begin();
  virtual_time_ = start;
  take(tag);
  return tag;
}

std::optional<std::uint64_t> ReadScheduler::take_oldest() {
  if (by_arrival_.empty()) return std::nullopt;
  const std::uint64_t tag = by_arrival_.begin()->second.tag;
  take(tag);
  return tag;
}

std::optional<double> ReadScheduler::oldest_since() const {
  if (by_arrival_.empty()) return std::nullopt;
  return by_arrival_.begin()->second.since;
}

void ReadScheduler::remove(std::uint64_t tag) {
  const auto found = flows_.find(tag);
  if (found == flows_.end()) return;
  if (found->second.position) take(tag);
  flows_.erase(tag);
}

}  // namespace damsonspoke::conns
