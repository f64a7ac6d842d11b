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
    case Penalty::kIncompleteRequest: return 2;
    case Penalty::kSlowTransfer:
    case Penalty::kInvalidRequests:
    case Penalty::kInvalidFrame: return 4;
  }
  return 0;
}

// So many entries that the least of them is empty while strangers come at their rate, and after their burst:
// then a new key takes nobody's place who matters, and nobody's count is lost.
std::size_t entries(const ConnectionLimiterOptions& options) {
  const double drained = kDrains * options.unknown_clients_rate / options.client_rate;
  const auto needed = static_cast<std::size_t>(std::max(drained, options.unknown_clients_burst));
  return std::clamp(needed, options.clients, std::max(options.clients, kMostEntries));
}

}  // namespace

const char* text_of(RejectCause why) {
  constexpr const char* kTexts[kRejectCauseCount] = {
      "none",         "client cap",      "network cap", "group cap",        "client rate",
      "network rate", "strangers' rate", "wasteful",    "strangers' share", "full"};
  return kTexts[static_cast<std::size_t>(why)];
}

ConnectionLimiter::ConnectionLimiter(ConnectionLimiterOptions options, ConnectionQuota& share,
                                     KnownClients& known)
    : options_(std::move(options)),
      share_(share),
      known_(known),
      of_group_(options_.groups.size(), 0),
      by_client_(entries(options_), options_.client_rate, options_.client_burst),
      by_network_(options_.clients, options_.network_rate, options_.network_burst),
      known_by_client_(options_.clients, options_.client_rate * options_.known_rate_factor,
                       options_.client_burst * options_.known_rate_factor),
      all_strangers_(1, options_.unknown_clients_rate, options_.unknown_clients_burst),
      waste_(options_.clients, options_.penalty_half_life) {}

// ---- Readings.
std::size_t ConnectionLimiter::of_total(double share) const {
  return std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(share_.total()) * share));
}
std::size_t ConnectionLimiter::max_unknown() const { return of_total(1 - options_.reserve); }

int ConnectionLimiter::group_of(const Address& from) const {
  int best = -1, bits = -1;  // the narrowest prefix counts
  for (std::size_t i = 0; i < options_.groups.size(); ++i) {
    for (const Prefix& prefix : options_.groups[i].prefixes) {
      if (prefix.bits > bits && prefix.contains(from)) best = static_cast<int>(i), bits = prefix.bits;
    }
  }
  return best;
}

Standing ConnectionLimiter::standing_of(const Address& from, double unix_now) const {
  for (const Prefix& prefix : options_.listed) {
    if (prefix.contains(from)) return Standing::kListed;
  }
  return known_.is_known(client_of(from), unix_now) ? Standing::kKnown : Standing::kUnknown;
}

// ---- What is open.
ConnectionLimiter::Rank ConnectionLimiter::rank_of(ConnectionId id, const Conn& conn) const {
  const int kind = conn.standing != Standing::kUnknown ? 2 : conn.asked ? 1 : 0;
  const double until = conn.asked ? conn.useful + options_.idle_protection + conn.keep
                                  : conn.opened + options_.first_request_grace;
  return {kind, until, id};
}

void ConnectionLimiter::enter(ConnectionId id, const Conn& conn) {
  if (!conn.busy) by_rank_.insert(rank_of(id, conn));
  strangers_ += conn.standing == Standing::kUnknown;
}

void ConnectionLimiter::leave(ConnectionId id, const Conn& conn) {
  if (!conn.busy) by_rank_.erase(rank_of(id, conn));
  strangers_ -= conn.standing == Standing::kUnknown;
}

template <typename F>
void ConnectionLimiter::change(ConnectionId id, F&& how) {
  const auto found = conns_.find(id);
  if (found == conns_.end()) return;
  leave(id, found->second);
  how(found->second);
  enter(id, found->second);
}

void ConnectionLimiter::on_closed(ConnectionId id) {
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
  share_.on_closed(conn.front);
  conns_.erase(found);
}

void ConnectionLimiter::on_request_read(ConnectionId id, double now) {
  change(id, [&](Conn& conn) { conn.asked = true, conn.useful = now; });
}
void ConnectionLimiter::set_busy(ConnectionId id, bool busy) {
  const auto found = conns_.find(id);
  if (found == conns_.end() || found->second.busy == busy) return;
  change(id, [&](Conn& conn) { conn.busy = busy; });
}

void ConnectionLimiter::on_success(ConnectionId id, double priority_weight, double now, double unix_now) {
  const auto found = conns_.find(id);
  if (found == conns_.end()) return;
  known_.record_success(found->second.client, unix_now);
  const bool known = known_.is_known(found->second.client, unix_now);
  change(id, [&](Conn& conn) {
    conn.useful = now;
    conn.keep = std::min(options_.max_protection, conn.keep + options_.weight_protection * priority_weight);
    if (known && conn.standing == Standing::kUnknown) conn.standing = Standing::kKnown;
  });
}

void ConnectionLimiter::penalize(ConnectionId id, Penalty how, double now) {
  const auto found = conns_.find(id);
  if (found == conns_.end()) return;
  const Prefix client = found->second.client;
  waste_.add(client, points_of(how), now);
  // One silent connection is no misbehaviour of a client that has had requests acked: links break.
  if (points_of(how) > 1) known_.record_misbehavior(client);
}

// ---- Newcomers.
AdmissionResult ConnectionLimiter::refuse(RejectCause why, const Prefix& client, double retry_after,
                                          double now) {
  ++counts_[static_cast<std::size_t>(why)];
  refused_.push_back({now, client, why});
  if (refused_.size() > kRefusedKept) refused_.pop_front();
  return {false, why, retry_after, std::nullopt};
}

// A place that `other` gives up is one that `front` may take: its own, or one above what is kept for that
// front.
bool ConnectionLimiter::frees_for(std::size_t front, std::size_t other) const {
  return front == other || share_.open_count(other) > share_.guaranteed(other);
}

// A stranger moves only who has outstayed its time; a known client moves any stranger with nothing open, and
// where there is none, a known one that has outstayed its time.
std::optional<ConnectionId> ConnectionLimiter::to_shed(Standing newcomer, std::size_t front,
                                                       double now) const {
  const bool stranger = newcomer == Standing::kUnknown;
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
std::optional<ConnectionId> ConnectionLimiter::own_to_shed(const Prefix& client, std::size_t front,
                                                           double now) const {
  std::optional<Rank> best;
  for (const ConnectionId id : of_client_.at(client)) {
    const Conn& conn = conns_.at(id);
    if (conn.busy || !frees_for(front, conn.front)) continue;
    const Rank rank = rank_of(id, conn);
    if (std::get<1>(rank) <= now && (!best || rank < *best)) best = rank;
  }
  if (!best) return std::nullopt;
  return std::get<2>(*best);
}

AdmissionResult ConnectionLimiter::admit(ConnectionId id, std::size_t front, const Address& from, double now,
                                         double unix_now, bool scarce) {
  const Prefix client = client_of(from), network = network_of(from);
  const Standing standing = this->standing_of(from, unix_now);
  const bool stranger = standing == Standing::kUnknown;
  if (stranger && waste_.score(client, now) >= options_.penalty_limit)
    return refuse(RejectCause::kPenaltyLimit, client,
                  waste_.seconds_until(client, options_.penalty_limit, now), now);

  // Rates before caps: a flood is told apart for the price of two look-ups.
  RateSketch& mine = stranger ? by_client_ : known_by_client_;
  if (const double wait = mine.wait_seconds(client, now); wait > 0)
    return refuse(RejectCause::kClientRate, client, wait, now);
  const int group = group_of(from);
  if (stranger) {
    if (const double wait = by_network_.wait_seconds(network, now); group < 0 && wait > 0)
      return refuse(RejectCause::kNetworkRate, client, wait, now);
    if (const double wait = all_strangers_.wait_seconds(kEverybody, now); wait > 0)
      return refuse(RejectCause::kUnknownClientsRate, client, wait, now);
  }

  AdmissionResult out{true, RejectCause::kNone, 0, std::nullopt};
  const auto own = of_client_.find(client);
  if (group >= 0) {
    const auto at = static_cast<std::size_t>(group);
    if (of_group_[at] >= of_total(options_.groups[at].share)) {
      if (own != of_client_.end()) out.evicts = own_to_shed(client, front, now);
      if (!out.evicts) return refuse(RejectCause::kGroupCap, client, kFullAgain, now);
    }
  } else {
    const std::size_t cap = of_total(stranger ? options_.client_share : options_.known_client_share);
    if (own != of_client_.end() && own->second.size() >= cap) {
      out.evicts = own_to_shed(client, front, now);
      if (!out.evicts) return refuse(RejectCause::kClientCap, client, kFullAgain, now);
    }
    const auto of = of_network_.find(network);
    const std::size_t most =
        of_total(std::max(options_.network_share, stranger ? 0 : options_.known_client_share));
    if (!out.evicts && of != of_network_.end() && of->second >= most) {
      if (own != of_client_.end()) out.evicts = own_to_shed(client, front, now);
      if (!out.evicts) return refuse(RejectCause::kNetworkCap, client, kFullAgain, now);
    }
  }
  const bool strangers_full = stranger && strangers_ >= max_unknown();
  if (!out.evicts && (strangers_full || scarce || !share_.has_capacity(front))) {
    out.evicts = to_shed(standing, front, now);
    if (!out.evicts)
      return refuse(strangers_full ? RejectCause::kUnknownClientsShare : RejectCause::kTableFull, client,
                    kFullAgain, now);
  }

  mine.add(client, now);
  if (stranger) {
    by_network_.add(network, now);
    all_strangers_.add(kEverybody, now);
  }
  if (out.evicts) ++shed_;
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
  share_.on_opened(front);
  return out;
}

// ---- Other options.
void ConnectionLimiter::reconfigure(ConnectionLimiterOptions options, double now) {
  options_ = std::move(options);
  by_client_.reconfigure(options_.client_rate, options_.client_burst, now);
  by_network_.reconfigure(options_.network_rate, options_.network_burst, now);
  known_by_client_.reconfigure(options_.client_rate * options_.known_rate_factor,
                               options_.client_burst * options_.known_rate_factor, now);
  all_strangers_.reconfigure(options_.unknown_clients_rate, options_.unknown_clients_burst, now);
  waste_.reconfigure(options_.penalty_half_life, now);
  of_group_.assign(options_.groups.size(), 0);
  by_rank_.clear();
  strangers_ = 0;
  for (auto& [id, conn] : conns_) {
    conn.group = group_of(conn.client.base);
    if (conn.group >= 0) ++of_group_[static_cast<std::size_t>(conn.group)];
    enter(id, conn);
  }
}

std::vector<ConnectionId> ConnectionLimiter::excess_connections(double now) const {
  std::vector<ConnectionId> out;
  const std::size_t total = share_.total();
  for (const Rank& rank : by_rank_) {
    if (conns_.size() - out.size() <= total) break;
    if (std::get<1>(rank) <= now) out.push_back(std::get<2>(rank));
  }
  return out;
}

std::vector<ConnectionLimiter::ClientSummary> ConnectionLimiter::client_summaries(double now,
                                                                                  double unix_now) const {
  std::vector<ClientSummary> out;
  for (const auto& [client, ids] : of_client_) {
    ClientSummary view{client,
                       ids.size(),
                       0,
                       standing_of(client.base, unix_now),
                       waste_.score(client, now),
                       known_.score(client)};
    for (const ConnectionId id : ids) view.busy += conns_.at(id).busy;
    out.push_back(view);
  }
  std::sort(out.begin(), out.end(), [](const ClientSummary& a, const ClientSummary& b) {
    return a.open != b.open ? a.open > b.open : a.client < b.client;
  });
  return out;
}

}  // namespace damsonspoke::conns
