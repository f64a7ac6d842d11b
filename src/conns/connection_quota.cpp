#include "conns/connection_quota.h"

#include <algorithm>

namespace damsonspoke::conns {

ConnectionQuota::ConnectionQuota(std::size_t total, const std::vector<double>& floors,
                                 ConnectionQuotaOptions terms)
    : terms_(terms), fronts_(floors.size()) {
  for (std::size_t i = 0; i < floors.size(); ++i) fronts_[i].weight = floors[i];
  resize(total);
}

void ConnectionQuota::resize(std::size_t total) {
  total_ = total;
  std::size_t kept = 0;
  for (Front& front : fronts_) {
    // A floor of less than one connection would be none.
    front.floor =
        std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(total) * front.weight));
    front.floor = std::min(front.floor, total - std::min(total, kept));
    kept += front.floor;
  }
}

// There is a place under its own floor, or one above what is kept for the others.
bool ConnectionQuota::room(std::size_t front) const {
  std::size_t taken = 0;
  for (std::size_t i = 0; i < fronts_.size(); ++i)
    taken += i == front ? fronts_[i].open : std::max(fronts_[i].open, fronts_[i].floor);
  return taken < total_;
}

void ConnectionQuota::closed(std::size_t front) {
  if (fronts_[front].open > 0) --fronts_[front].open;
}

void ConnectionQuota::turn(double now) {
  if (period_began_ >= 0 && now < period_began_ + terms_.period) return;
  const bool next = period_began_ >= 0 && now < period_began_ + 2 * terms_.period;
  for (Front& front : fronts_) {
    front.active = next && front.read > 0;
    front.read = 0;
  }
  period_began_ = now;
}

bool ConnectionQuota::may_read(std::size_t front, double now) {
  turn(now);
  Front& asking = fronts_[front];
  double weights = 0;
  bool others = false;
  for (std::size_t i = 0; i < fronts_.size(); ++i) {
    const bool reads = i == front || fronts_[i].active || fronts_[i].read > 0;
    if (reads) weights += fronts_[i].weight;
    others |= reads && i != front;
  }
  const double part = weights > 0 ? asking.weight / weights : 1;
  if (others && asking.read >= std::max(1, static_cast<int>(terms_.messages * part))) return false;
  ++asking.read;
  return true;
}

}  // namespace damsonspoke::conns
