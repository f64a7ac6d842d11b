#include "conns/connection_quota.h"

#include <algorithm>

namespace damsonspoke::conns {

ConnectionQuota::ConnectionQuota(std::size_t total, const std::vector<double>& floors,
                                 ConnectionQuotaOptions options)
    : options_(options), listeners_(floors.size()) {
  for (std::size_t i = 0; i < floors.size(); ++i) listeners_[i].weight = floors[i];
  resize(total);
}

void ConnectionQuota::resize(std::size_t total) {
  total_ = total;
  std::size_t kept = 0;
  for (Listener& listener : listeners_) {
    // A floor of less than one connection would be none.
    listener.guaranteed =
        std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(total) * listener.weight));
    listener.guaranteed = std::min(listener.guaranteed, total - std::min(total, kept));
    kept += listener.guaranteed;
  }
}

// There is a place under its own floor, or one above what is kept for the others.
bool ConnectionQuota::has_capacity(std::size_t listener) const {
  std::size_t taken = 0;
  for (std::size_t i = 0; i < listeners_.size(); ++i)
    taken += i == listener ? listeners_[i].open : std::max(listeners_[i].open, listeners_[i].guaranteed);
  return taken < total_;
}

void ConnectionQuota::on_closed(std::size_t listener) {
  if (listeners_[listener].open > 0) --listeners_[listener].open;
}

void ConnectionQuota::start_period_if_due(double now) {
  if (period_start_ >= 0 && now < period_start_ + options_.period_seconds) return;
  const bool next = period_start_ >= 0 && now < period_start_ + 2 * options_.period_seconds;
  for (Listener& listener : listeners_) {
    listener.was_active = next && listener.messages_read > 0;
    listener.messages_read = 0;
  }
  period_start_ = now;
}

bool ConnectionQuota::try_read(std::size_t listener, double now) {
  start_period_if_due(now);
  Listener& reader = listeners_[listener];
  double weights = 0;
  bool others = false;
  for (std::size_t i = 0; i < listeners_.size(); ++i) {
    const bool reads = i == listener || listeners_[i].was_active || listeners_[i].messages_read > 0;
    if (reads) weights += listeners_[i].weight;
    others |= reads && i != listener;
  }
  const double part = weights > 0 ? reader.weight / weights : 1;
  if (others && reader.messages_read >= std::max(1, static_cast<int>(options_.messages_per_period * part)))
    return false;
  ++reader.messages_read;
  return true;
}

}  // namespace damsonspoke::conns
