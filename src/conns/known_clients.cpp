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
  return found != at_.end() && found->second->known && now - found->second->last <= terms_.lasts;
}

double KnownClients::earned(const Prefix& client) const {
  const auto found = at_.find(client);
  return found == at_.end() ? 0 : found->second->earned;
}

void KnownClients::succeeded(const Prefix& client, double now) {
  auto found = at_.find(client);
  if (found == at_.end()) {
    if (order_.size() >= terms_.entries) make_room();
    order_.push_front({client, 0, now, false});
    found = at_.emplace(client, order_.begin()).first;
  }
  KnownClient& one = *found->second;
  if (now - one.last > terms_.lasts)
    one.earned = 0, one.known = false;  // who comes after so long is a stranger
  one.earned = std::min(one.earned + 1, kMost * terms_.needed);
  one.last = now;
  if (one.earned >= terms_.needed) one.known = true;
  order_.splice(order_.begin(), order_, found->second);
}

void KnownClients::misbehaved(const Prefix& client) {
  const auto found = at_.find(client);
  if (found == at_.end()) return;
  KnownClient& one = *found->second;
  one.earned = std::max(0.0, one.earned - kMisbehaved * terms_.needed);
  if (one.earned < kLost * terms_.needed) one.known = false;
}

// Guards against newcomers by thousands that push out who is known: of the oldest one without standing goes
// first.
void KnownClients::make_room() {
  auto victim = std::prev(order_.end());
  auto it = order_.end();
  for (std::size_t i = 0; i < kLookedAt && it != order_.begin(); ++i) {
    --it;
    if (it->known) continue;
    victim = it;
    break;
  }
  at_.erase(victim->client);
  order_.erase(victim);
}

std::size_t KnownClients::begin_with(const std::vector<KnownClient>& clients, double now) {
  std::size_t taken = 0;
  for (const KnownClient& one : clients) {
    if (order_.size() >= terms_.entries) break;
    const bool sound = std::isfinite(one.earned) && std::isfinite(one.last) && one.earned >= 0 &&
                       one.client == masked(one.client.base, one.client.bits);
    if (!sound || one.last > now + kClockSlack || now - one.last > terms_.lasts) continue;
    if (at_.contains(one.client)) continue;
    KnownClient kept = one;
    kept.earned = std::min(one.earned, kMost * terms_.needed);
    kept.last = std::min(one.last, now);
    // Whether it is known follows from what it earned, by the terms of now.
    kept.known = kept.earned >= terms_.needed || (one.known && kept.earned >= kLost * terms_.needed);
    order_.push_back(kept);
    at_[kept.client] = std::prev(order_.end());
    ++taken;
  }
  return taken;
}

}  // namespace damsonspoke::conns
