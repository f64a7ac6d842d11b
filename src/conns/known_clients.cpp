#include "conns/known_clients.h"

#include <algorithm>
#include <cmath>

namespace damsonspoke::conns {
namespace {

constexpr double kMost = 2;  // x the requests needed: standing does not grow without bound
constexpr double kMisbehaved =
    0.25;  // of the requests needed: four slips in a row lose a fresh standing, six a full one
constexpr double kLost = 0.5;       // of the requests needed; under it the standing is lost
constexpr double kClockSlack = 60;  // s that a record may come from the future: clocks are corrected
constexpr std::size_t kLookedAt =
    32;  // of the oldest, for one without standing, before a known one has to go

}  // namespace

bool KnownClients::is_known(const Prefix& client, double now) const {
  const auto found = at_.find(client);
  return found != at_.end() && found->second->is_known &&
         now - found->second->last_success <= options_.max_age;
}

double KnownClients::score(const Prefix& client) const {
  const auto found = at_.find(client);
  return found == at_.end() ? 0 : found->second->score;
}

void KnownClients::record_success(const Prefix& client, double now) {
  auto found = at_.find(client);
  if (found == at_.end()) {
    if (order_.size() >= options_.max_entries) make_room();
    order_.push_front({client, 0, now, false});
    found = at_.emplace(client, order_.begin()).first;
  }
  KnownClient& one = *found->second;
  if (now - one.last_success > options_.max_age)
    one.score = 0, one.is_known = false;  // who comes after so long is a stranger
  one.score = std::min(one.score + 1, kMost * options_.required_successes);
  one.last_success = now;
  if (one.score >= options_.required_successes) one.is_known = true;
  order_.splice(order_.begin(), order_, found->second);
}

void KnownClients::record_misbehavior(const Prefix& client) {
  const auto found = at_.find(client);
  if (found == at_.end()) return;
  KnownClient& one = *found->second;
  one.score = std::max(0.0, one.score - kMisbehaved * options_.required_successes);
  if (one.score < kLost * options_.required_successes) one.is_known = false;
}

// Guards against newcomers by thousands that push out who is known: of the oldest one without standing goes
// first.
void KnownClients::make_room() {
  auto victim = std::prev(order_.end());
  auto it = order_.end();
  for (std::size_t i = 0; i < kLookedAt && it != order_.begin(); ++i) {
    --it;
    if (it->is_known) continue;
    victim = it;
    break;
  }
  at_.erase(victim->client);
  order_.erase(victim);
}

std::size_t KnownClients::restore(const std::vector<KnownClient>& clients, double now) {
  std::size_t taken = 0;
  for (const KnownClient& one : clients) {
    if (order_.size() >= options_.max_entries) break;
    const bool sound = std::isfinite(one.score) && std::isfinite(one.last_success) && one.score >= 0 &&
                       one.client == masked(one.client.base, one.client.bits);
    if (!sound || one.last_success > now + kClockSlack || now - one.last_success > options_.max_age) continue;
    if (at_.contains(one.client)) continue;
    KnownClient kept = one;
    kept.score = std::min(one.score, kMost * options_.required_successes);
    kept.last_success = std::min(one.last_success, now);
    // Whether it is known follows from what it score, by the options of now.
    kept.is_known = kept.score >= options_.required_successes ||
                    (one.is_known && kept.score >= kLost * options_.required_successes);
    order_.push_back(kept);
    at_[kept.client] = std::prev(order_.end());
    ++taken;
  }
  return taken;
}

}  // namespace damsonspoke::conns
