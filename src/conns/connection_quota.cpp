#include "conns/connection_quota.h"

#include <algorithm>

namespace damsonspoke::conns {

ConnectionQuota::ConnectionQuota(std::size_t total, const std::vector<double>& shares,
                                 ConnectionQuotaOptions options)
    : options_(options), listeners_(shares.size()) {
  for (std::size_t i = 0; i < shares.size(); ++i) listeners_[i].share = shares[i];
  resize(total);
}

void ConnectionQuota::resize(std::size_t total) {
  total_ = total;
  std::size_t guaranteed_sum = 0;
  for (Listener& listener : listeners_) {
    const auto by_share = static_cast<std::size_t>(static_cast<double>(total) * listener.share);
    // A share of a small total must not round down to no connection at all.
    listener.guaranteed = std::max<std::size_t>(1, by_share);
    listener.guaranteed = std::min(listener.guaranteed, total - std::min(total, guaranteed_sum));
    guaranteed_sum += listener.guaranteed;
  }
}

bool ConnectionQuota::has_capacity(std::size_t listener) const {
  std::size_t unavailable = 0;
  for (std::size_t i = 0; i < listeners_.size(); ++i) {
    const Listener& other = listeners_[i];
    unavailable += i == listener ? other.open : std::max(other.open, other.guaranteed);
  }
  return unavailable < total_;
}

void ConnectionQuota::on_closed(std::size_t listener) {
  if (listeners_[listener].open > 0) --listeners_[listener].open;
}

void ConnectionQuota::start_period_if_over(double now) {
  const bool has_started = period_start_ >= 0;
  if (has_started && now < period_start_ + options_.period_seconds) return;
  const bool is_next_period = has_started && now < period_start_ + 2 * options_.period_seconds;
  for (Listener& listener : listeners_) {
    listener.was_active = is_next_period && listener.messages_read > 0;
    listener.messages_read = 0;
  }
  period_start_ = now;
}

bool ConnectionQuota::try_read(std::size_t listener, double now) {
  start_period_if_over(now);
  Listener& reader = listeners_[listener];
  double share_sum = 0;
  bool others_read = false;
  for (std::size_t i = 0; i < listeners_.size(); ++i) {
    const Listener& other = listeners_[i];
    const bool reads = i == listener || other.was_active || other.messages_read > 0;
    if (reads) share_sum += other.share;
    others_read |= reads && i != listener;
  }
  const double part = share_sum > 0 ? reader.share / share_sum : 1;
  const int max_messages = std::max(1, static_cast<int>(options_.messages_per_period * part));
  if (others_read && reader.messages_read >= max_messages) return false;
  ++reader.messages_read;
  return true;
}

int ConnectionQuota::guaranteed_messages(std::size_t listener) const {
  double share_sum = 0;
  for (const Listener& other : listeners_) share_sum += other.share;
  const double part = share_sum > 0 ? listeners_[listener].share / share_sum : 1;
  return std::max(1, static_cast<int>(options_.messages_per_period * part));
}

}  // namespace damsonspoke::conns
