#include "conns/connection_limiter.h"

#include <algorithm>
#include <limits>

namespace damsonspoke::conns {
namespace {

constexpr std::size_t kRefusedKept = 32;       // for who asks why
constexpr std::size_t kMostEntries = 1 << 16;  // in a sketch
constexpr double kDrains = 2;                  // x the strangers' rate that a sketch of rates drains together
constexpr double kFullAgain = 0.5;             // s to come back in where a place has to become free first
const Prefix kEverybody{};                     // one key for all strangers

double points_of(Penalty how) {
  switch (how) {
    case Penalty::kSilent:
    case Penalty::kReset: return 1;
    case Penalty::kHalf: return 2;
    case Penalty::kSlow:
    case Penalty::kFaults:
    case Penalty::kBadFrame: return 4;
  }
  return 0;
}

// So many entries that the least of them is empty while strangers come at their rate, and after their burst:
// then a new key takes nobody's place who matters, and nobody's count is lost.
std::size_t entries(const ConnectionLimiterOptions& terms) {
  const double drained = kDrains * terms.strangers_rate / terms.address_rate;
  const auto needed = static_cast<std::size_t>(std::max(drained, terms.strangers_burst));
  return std::clamp(needed, terms.clients, std::max(terms.clients, kMostEntries));
}

}  // namespace

const char* text_of(RejectCause why) {
  constexpr const char* kTexts[kTurnedKinds] = {
      "none",         "client cap",      "network cap", "group cap",        "client rate",
      "network rate", "strangers' rate", "wasteful",    "strangers' share", "full"};
  return kTexts[static_cast<std::size_t>(why)];
}

ConnectionLimiter::ConnectionLimiter(ConnectionLimiterOptions terms, ConnectionQuota& share,
                                     KnownClients& known)
    : terms_(std::move(terms)),
      share_(share),
      known_(known),
      of_group_(terms_.groups.size(), 0),
      by_client_(entries(terms_), terms_.address_rate, terms_.address_burst),
      by_network_(terms_.clients, terms_.network_rate, terms_.network_burst),
      known_by_client_(terms_.clients, terms_.address_rate * terms_.known_factor,
                       terms_.address_burst * terms_.known_factor),
      all_strangers_(1, terms_.strangers_rate, terms_.strangers_burst),
      waste_(terms_.clients, terms_.waste_half_life) {}

// ---- Readings.
std::size_t ConnectionLimiter::of_total(double share) const {
  return std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(share_.total()) * share));
}
std::size_t ConnectionLimiter::strangers_most() const { return of_total(1 - terms_.reserve); }

int ConnectionLimiter::group_of(const Address& from) const {
  int best = -1, bits = -1;  // the narrowest prefix counts
  for (std::size_t i = 0; i < terms_.groups.size(); ++i) {
    for (const Prefix& prefix : terms_.groups[i].prefixes) {
      if (prefix.bits > bits && prefix.holds(from)) best = static_cast<int>(i), bits = prefix.bits;
    }
  }
  return best;
}

Standing ConnectionLimiter::standing(const Address& from, double unix_now) const {
  for (const Prefix& prefix : terms_.listed) {
    if (prefix.holds(from)) return Standing::kListed;
  }
  return known_.is_known(client_of(from), unix_now) ? Standing::kKnown : Standing::kUnknownClient;
}

// ---- What is open.
ConnectionLimiter::Rank ConnectionLimiter::rank_of(ConnId id, const Conn& conn) const {
  const int kind = conn.standing != Standing::kUnknownClient ? 2 : conn.asked ? 1 : 0;
  const double until =
      conn.asked ? conn.useful + terms_.keep_idle + conn.keep : conn.opened + terms_.silent_grace;
  return {kind, until, id};
}

void ConnectionLimiter::enter(ConnId id, const Conn& conn) {
  if (!conn.busy) by_rank_.insert(rank_of(id, conn));
  strangers_ += conn.standing == Standing::kUnknownClient;
}

void ConnectionLimiter::leave(ConnId id, const Conn& conn) {
  if (!conn.busy) by_rank_.erase(rank_of(id, conn));
  strangers_ -= conn.standing == Standing::kUnknownClient;
}

template <typename F>
void ConnectionLimiter::change(ConnId id, F&& how) {
  const auto found = conns_.find(id);
  if (found == conns_.end()) return;
  leave(id, found->second);
  how(found->second);
  enter(id, found->second);
}

void ConnectionLimiter::ended(ConnId id) {
  const auto found = conns_.find(id);
  if (found == conns_.end()) return;
  const Conn& conn = found->second;
  leave(id, conn);
  if (auto of = of_client_.find(conn.client); of != of_client_.end()) {
    of->second.erase(id);
    if (of->second.empty()) of_client_.erase(of);
  }
  if (auto of = of_network_.find(conn.network); of != of_network_.end() && --of->second == 0)
    of_network_.erase(of);
  if (conn.group >= 0 && static_cast<std::size_t>(conn.group) < of_group_.size())
    --of_group_[static_cast<std::size_t>(conn.group)];
  share_.closed(conn.front);
  conns_.erase(found);
}

void ConnectionLimiter::asked(ConnId id, double now) {
  change(id, [&](Conn& conn) { conn.asked = true, conn.useful = now; });
}
void ConnectionLimiter::busy(ConnId id, bool busy) {
  const auto found = conns_.find(id);
  if (found == conns_.end() || found->second.busy == busy) return;
  change(id, [&](Conn& conn) { conn.busy = busy; });
}

void ConnectionLimiter::succeeded(ConnId id, double priority_weight, double now, double unix_now) {
  const auto found = conns_.find(id);
  if (found == conns_.end()) return;
  known_.succeeded(found->second.client, unix_now);
  const bool known = known_.is_known(found->second.client, unix_now);
  change(id, [&](Conn& conn) {
    conn.useful = now;
    conn.keep = std::min(terms_.keep_most, conn.keep + terms_.keep_worth * priority_weight);
    if (known && conn.standing == Standing::kUnknownClient) conn.standing = Standing::kKnown;
  });
}

void ConnectionLimiter::wasted(ConnId id, Penalty how, double now) {
  const auto found = conns_.find(id);
  if (found == conns_.end()) return;
  const Prefix client = found->second.client;
  waste_.add(client, points_of(how), now);
  // One silent connection is no misbehaviour of a client that has had requests acked: links break.
  if (points_of(how) > 1) known_.misbehaved(client);
}

// ---- Newcomers.
Arrival ConnectionLimiter::refuse(RejectCause why, const Prefix& client, double retry_after, double now) {
  ++counts_[static_cast<std::size_t>(why)];
  refused_.push_back({now, client, why});
  if (refused_.size() > kRefusedKept) refused_.pop_front();
  return {false, why, retry_after, std::nullopt};
}

// A place that `other` gives up is one that `front` may take: its own, or one above what is kept for that
// front.
bool ConnectionLimiter::frees_for(std::size_t front, std::size_t other) const {
  return front == other || share_.open(other) > share_.floor(other);
}

// A stranger moves only who has outstayed its time; a known client moves any stranger with nothing open, and
// where there is none, a known one that has outstayed its time.
std::optional<ConnId> ConnectionLimiter::to_shed(Standing newcomer, std::size_t front, double now) const {
  const bool stranger = newcomer == Standing::kUnknownClient;
  for (auto it = by_rank_.begin(); it != by_rank_.end();) {
    const auto& [kind, until, id] = *it;
    if (stranger && kind == 2) break;
    if ((stranger || kind == 2) && until > now) {  // so are all others of its kind
      it = by_rank_.lower_bound({kind + 1, -std::numeric_limits<double>::infinity(), 0});
      continue;
    }
    if (frees_for(front, conns_.at(id).front)) return id;
    ++it;
  }
  return std::nullopt;
}

// One of the same client that has outstayed its time: who reconnects leaves its dead connections behind.
std::optional<ConnId> ConnectionLimiter::own_to_shed(const Prefix& client, std::size_t front,
                                                     double now) const {
  std::optional<Rank> best;
  for (const ConnId id : of_client_.at(client)) {
    const Conn& conn = conns_.at(id);
    if (conn.busy || !frees_for(front, conn.front)) continue;
    const Rank rank = rank_of(id, conn);
    if (std::get<1>(rank) <= now && (!best || rank < *best)) best = rank;
  }
  if (!best) return std::nullopt;
  return std::get<2>(*best);
}

Arrival ConnectionLimiter::arrive(ConnId id, std::size_t front, const Address& from, double now,
                                  double unix_now, bool scarce) {
  const Prefix client = client_of(from), network = network_of(from);
  const Standing standing = this->standing(from, unix_now);
  const bool stranger = standing == Standing::kUnknownClient;
  if (stranger && waste_.points(client, now) >= terms_.wasteful)
    return refuse(RejectCause::kWasteful, client, waste_.falls_to(client, terms_.wasteful, now), now);

  // Rates before caps: a flood is told apart for the price of two look-ups.
  RateSketch& mine = stranger ? by_client_ : known_by_client_;
  if (const double wait = mine.room_in(client, now); wait > 0)
    return refuse(RejectCause::kAddressRate, client, wait, now);
  const int group = group_of(from);
  if (stranger) {
    if (const double wait = by_network_.room_in(network, now); group < 0 && wait > 0)
      return refuse(RejectCause::kNetworkRate, client, wait, now);
    if (const double wait = all_strangers_.room_in(kEverybody, now); wait > 0)
      return refuse(RejectCause::kStrangersRate, client, wait, now);
  }

  Arrival out{true, RejectCause::kNot, 0, std::nullopt};
  const auto own = of_client_.find(client);
  if (group >= 0) {
    const auto at = static_cast<std::size_t>(group);
    if (of_group_[at] >= of_total(terms_.groups[at].share)) {
      if (own != of_client_.end()) out.sheds = own_to_shed(client, front, now);
      if (!out.sheds) return refuse(RejectCause::kGroupCap, client, kFullAgain, now);
    }
  } else {
    const std::size_t cap = of_total(stranger ? terms_.address_share : terms_.known_share);
    if (own != of_client_.end() && own->second.size() >= cap) {
      out.sheds = own_to_shed(client, front, now);
      if (!out.sheds) return refuse(RejectCause::kAddressCap, client, kFullAgain, now);
    }
    const auto of = of_network_.find(network);
    const std::size_t most = of_total(std::max(terms_.network_share, stranger ? 0 : terms_.known_share));
    if (!out.sheds && of != of_network_.end() && of->second >= most) {
      if (own != of_client_.end()) out.sheds = own_to_shed(client, front, now);
      if (!out.sheds) return refuse(RejectCause::kNetworkCap, client, kFullAgain, now);
    }
  }
  const bool strangers_full = stranger && strangers_ >= strangers_most();
  if (!out.sheds && (strangers_full || scarce || !share_.room(front))) {
    out.sheds = to_shed(standing, front, now);
    if (!out.sheds)
      return refuse(strangers_full ? RejectCause::kStrangersShare : RejectCause::kFull, client, kFullAgain,
                    now);
  }

  mine.take(client, now);
  if (stranger) {
    by_network_.take(network, now);
    all_strangers_.take(kEverybody, now);
  }
  if (out.sheds) ++shed_;
  Conn conn;
  conn.front = front;
  conn.client = client;
  conn.network = network;
  conn.group = group;
  conn.standing = standing;
  conn.opened = conn.useful = now;
  conns_[id] = conn;
  enter(id, conn);
  of_client_[client].insert(id);
  ++of_network_[network];
  if (group >= 0) ++of_group_[static_cast<std::size_t>(group)];
  share_.opened(front);
  return out;
}

// ---- Other terms.
void ConnectionLimiter::reconfigure(ConnectionLimiterOptions terms, double now) {
  terms_ = std::move(terms);
  by_client_.reset(terms_.address_rate, terms_.address_burst, now);
  by_network_.reset(terms_.network_rate, terms_.network_burst, now);
  known_by_client_.reset(terms_.address_rate * terms_.known_factor,
                         terms_.address_burst * terms_.known_factor, now);
  all_strangers_.reset(terms_.strangers_rate, terms_.strangers_burst, now);
  waste_.reset(terms_.waste_half_life, now);
  of_group_.assign(terms_.groups.size(), 0);
  by_rank_.clear();
  strangers_ = 0;
  for (auto& [id, conn] : conns_) {
    conn.group = group_of(conn.client.base);
    if (conn.group >= 0) ++of_group_[static_cast<std::size_t>(conn.group)];
    enter(id, conn);
  }
}

std::vector<ConnId> ConnectionLimiter::beyond(double now) const {
  std::vector<ConnId> out;
  const std::size_t total = share_.total();
  for (const Rank& rank : by_rank_) {
    if (conns_.size() - out.size() <= total) break;
    if (std::get<1>(rank) <= now) out.push_back(std::get<2>(rank));
  }
  return out;
}

std::vector<ConnectionLimiter::ClientView> ConnectionLimiter::clients(double now, double unix_now) const {
  std::vector<ClientView> out;
  for (const auto& [client, ids] : of_client_) {
    ClientView view{client,
                    ids.size(),
                    0,
                    standing(client.base, unix_now),
                    waste_.points(client, now),
                    known_.earned(client)};
    for (const ConnId id : ids) view.busy += conns_.at(id).busy;
    out.push_back(view);
  }
  std::sort(out.begin(), out.end(), [](const ClientView& a, const ClientView& b) {
    return a.open != b.open ? a.open > b.open : a.client < b.client;
  });
  return out;
}

}  // namespace damsonspoke::conns
