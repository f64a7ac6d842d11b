#include "conns/known_clients.h"

#include <algorithm>
#include <cmath>

namespace damsonspoke::conns {
namespace {

// Multiples of the required successes.
constexpr double kMaxScoreFactor = 2;
constexpr double kMisbehaviorCost = 0.25;
constexpr double kMinKnownScoreFactor = 0.5;  // a known client with a lower score is no longer known

constexpr double kClockSlackSeconds =
    60;  // how far in the future an entry may lie, because clocks are corrected
constexpr std::size_t kMaxEvictionCandidates = 32;

// Whether a process could have stored the entry, and it is not too old.
bool is_plausible(const KnownClient& entry, double unix_now, double max_age) {
  if (!std::isfinite(entry.score) || !std::isfinite(entry.last_success) || entry.score < 0) return false;
  if (entry.client != masked(entry.client.base, entry.client.bits)) return false;
  return entry.last_success <= unix_now + kClockSlackSeconds && unix_now - entry.last_success <= max_age;
}

}  // namespace

bool KnownClients::is_known(const Prefix& client, double unix_now) const {
  const auto found = entry_by_client_.find(client);
  if (found == entry_by_client_.end()) return false;
  return found->second->is_known && unix_now - found->second->last_success <= options_.max_age;
}

double KnownClients::score(const Prefix& client) const {
  const auto found = entry_by_client_.find(client);
  return found == entry_by_client_.end() ? 0 : found->second->score;
}

void KnownClients::record_success(const Prefix& client, double unix_now) {
  auto found = entry_by_client_.find(client);
  if (found == entry_by_client_.end()) {
    if (entries_.size() >= options_.max_entries) evict_one();
    entries_.push_front({client, 0, unix_now, false});
    found = entry_by_client_.emplace(client, entries_.begin()).first;
  }
  KnownClient& entry = *found->second;
  if (unix_now - entry.last_success > options_.max_age) {
    entry.score = 0;
    entry.is_known = false;
  }
  entry.score = std::min(entry.score + 1, kMaxScoreFactor * options_.required_successes);
  entry.last_success = unix_now;
  if (entry.score >= options_.required_successes) entry.is_known = true;
  entries_.splice(entries_.begin(), entries_, found->second);
}

void KnownClients::record_misbehavior(const Prefix& client) {
  const auto found = entry_by_client_.find(client);
  if (found == entry_by_client_.end()) return;
  KnownClient& entry = *found->second;
  entry.score = std::max(0.0, entry.score - kMisbehaviorCost * options_.required_successes);
  if (entry.score < kMinKnownScoreFactor * options_.required_successes) entry.is_known = false;
}

// Removes one of the oldest entries, preferably of a client that is not known, so that thousands of new
// clients can't displace the known ones.
void KnownClients::evict_one() {
  auto victim = std::prev(entries_.end());
  auto candidate = entries_.end();
  for (std::size_t i = 0; i < kMaxEvictionCandidates && candidate != entries_.begin(); ++i) {
    --candidate;
    if (candidate->is_known) continue;
    victim = candidate;
    break;
  }
  entry_by_client_.erase(victim->client);
  entries_.erase(victim);
}

std::size_t KnownClients::restore(const std::vector<KnownClient>& clients, double unix_now) {
  std::size_t restored = 0;
  for (const KnownClient& stored : clients) {
    if (entries_.size() >= options_.max_entries) break;
    if (!is_plausible(stored, unix_now, options_.max_age)) continue;
    if (entry_by_client_.contains(stored.client)) continue;
    KnownClient entry = stored;
    entry.score = std::min(stored.score, kMaxScoreFactor * options_.required_successes);
    entry.last_success = std::min(stored.last_success, unix_now);
    // The options of this process decide: the stored flag alone does not make a client known.
    entry.is_known = entry.score >= options_.required_successes ||
                     (stored.is_known && entry.score >= kMinKnownScoreFactor * options_.required_successes);
    entries_.push_back(entry);
    entry_by_client_[entry.client] = std::prev(entries_.end());
    ++restored;
  }
  return restored;
}

}  // namespace damsonspoke::conns
