#include "conns/connection_limiter.h"

#include <algorithm>
#include <utility>

namespace damsonspoke::conns {
namespace {

constexpr double kRetryAfterFullSeconds = 0.5;  // if a slot must become free first
constexpr double kMinorPenaltyPoints = 1;

double points_of(Penalty penalty) {
  switch (penalty) {
    case Penalty::kSilent:
    case Penalty::kReset: return kMinorPenaltyPoints;
    case Penalty::kIncompleteRequest: return 2;
    case Penalty::kSlowTransfer:
    case Penalty::kInvalidRequests:
    case Penalty::kInvalidFrame: return 4;
  }
  return 0;
}

}  // namespace

ConnectionLimiter::ConnectionLimiter(ConnectionLimiterOptions options, ConnectionQuota& quota,
                                     KnownClients& known_clients)
    : options_(std::move(options)),
      quota_(quota),
      known_clients_(known_clients),
      open_by_group_(options_.groups.size(), 0),
      rates_(options_),
      penalties_(options_.clients, options_.penalty_half_life) {}

// ---- Queries.

std::size_t ConnectionLimiter::share_of_total(double share) const {
  const auto connections = static_cast<std::size_t>(static_cast<double>(quota_.total()) * share);
  return std::max<std::size_t>(1, connections);
}

std::size_t ConnectionLimiter::max_unknown() const { return share_of_total(1 - options_.reserve); }

// The group with the longest prefix that contains the address.
std::optional<std::size_t> ConnectionLimiter::group_of(const Address& from) const {
  std::optional<std::size_t> longest_group;
  int longest_bits = -1;
  for (std::size_t group = 0; group < options_.groups.size(); ++group) {
    for (const Prefix& prefix : options_.groups[group].prefixes) {
      if (prefix.bits <= longest_bits || !prefix.contains(from)) continue;
      longest_group = group;
      longest_bits = prefix.bits;
    }
  }
  return longest_group;
}

Standing ConnectionLimiter::standing_of(const Address& from, double unix_now) const {
  const auto contains_it = [&](const Prefix& prefix) { return prefix.contains(from); };
  if (std::any_of(options_.listed.begin(), options_.listed.end(), contains_it)) return Standing::kListed;
  return known_clients_.is_known(client_of(from), unix_now) ? Standing::kKnown : Standing::kUnknown;
}

std::size_t ConnectionLimiter::open_of_client(const Prefix& client) const {
  const auto found = ids_by_client_.find(client);
  return found == ids_by_client_.end() ? 0 : found->second.size();
}

std::size_t ConnectionLimiter::open_of_network(const Prefix& network) const {
  const auto found = open_by_network_.find(network);
  return found == open_by_network_.end() ? 0 : found->second;
}

std::vector<ConnectionLimiter::ClientSummary> ConnectionLimiter::client_summaries(double now,
                                                                                  double unix_now) const {
  std::vector<ClientSummary> summaries;
  for (const auto& [client, ids] : ids_by_client_) {
    ClientSummary summary{client,
                          ids.size(),
                          0,
                          standing_of(client.base, unix_now),
                          penalties_.score(client, now),
                          known_clients_.score(client)};
    for (const ConnectionId id : ids) summary.busy += connections_.at(id).is_busy;
    summaries.push_back(summary);
  }
  std::sort(summaries.begin(), summaries.end(), [](const ClientSummary& a, const ClientSummary& b) {
    return a.open != b.open ? a.open > b.open : a.client < b.client;
  });
  return summaries;
}

// ---- Open connections.
EvictionRank ConnectionLimiter::rank_of(ConnectionId id, const Connection& connection) const {
  EvictionClass eviction_class = EvictionClass::kKnownClient;
  if (connection.is_unknown())
    eviction_class = connection.has_requested ? EvictionClass::kUnknownClient : EvictionClass::kNoRequest;
  const double protected_until =
      connection.has_requested
          ? connection.last_useful_at + options_.idle_protection + connection.extra_protection
          : connection.opened_at + options_.first_request_grace;
  return {eviction_class, protected_until, id};
}

void ConnectionLimiter::add_to_indexes(ConnectionId id, const Connection& connection) {
  if (!connection.is_busy) eviction_order_.insert(rank_of(id, connection));
  if (connection.is_unknown()) ++unknown_count_;
}

void ConnectionLimiter::remove_from_indexes(ConnectionId id, const Connection& connection) {
  if (!connection.is_busy) eviction_order_.erase(rank_of(id, connection));
  if (connection.is_unknown()) --unknown_count_;
}

template <typename F>
void ConnectionLimiter::modify(ConnectionId id, F&& change) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  remove_from_indexes(id, found->second);
  change(found->second);
  add_to_indexes(id, found->second);
}

void ConnectionLimiter::insert(ConnectionId id, const Connection& connection) {
  connections_[id] = connection;
  add_to_indexes(id, connection);
  ids_by_client_[connection.client].insert(id);
  ++open_by_network_[connection.network];
  if (connection.group) ++open_by_group_[*connection.group];
  quota_.on_opened(connection.listener);
}

void ConnectionLimiter::on_closed(ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const Connection& connection = found->second;
  remove_from_indexes(id, connection);
  if (const auto of_client = ids_by_client_.find(connection.client); of_client != ids_by_client_.end()) {
    of_client->second.erase(id);
    if (of_client->second.empty()) ids_by_client_.erase(of_client);
  }
  const auto of_network = open_by_network_.find(connection.network);
  if (of_network != open_by_network_.end() && --of_network->second == 0) open_by_network_.erase(of_network);
  if (connection.group) --open_by_group_[*connection.group];
  quota_.on_closed(connection.listener);
  connections_.erase(found);
}

void ConnectionLimiter::on_request_read(ConnectionId id, double now) {
  modify(id, [&](Connection& connection) {
    connection.has_requested = true;
    connection.last_useful_at = now;
  });
}

void ConnectionLimiter::set_busy(ConnectionId id, bool is_busy) {
  const auto found = connections_.find(id);
  if (found == connections_.end() || found->second.is_busy == is_busy) return;
  modify(id, [&](Connection& connection) { connection.is_busy = is_busy; });
}

void ConnectionLimiter::on_success(ConnectionId id, double priority_weight, double now, double unix_now) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const Prefix client = found->second.client;
  known_clients_.record_success(client, unix_now);
  const bool is_known = known_clients_.is_known(client, unix_now);
  modify(id, [&](Connection& connection) {
    connection.last_useful_at = now;
    connection.extra_protection = std::min(
        options_.max_protection, connection.extra_protection + options_.weight_protection * priority_weight);
    if (is_known && connection.is_unknown()) connection.standing = Standing::kKnown;
  });
}

void ConnectionLimiter::penalize(ConnectionId id, Penalty penalty, double now) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const Prefix client = found->second.client;
  penalties_.add(client, points_of(penalty), now);
  // For a known client, a silent or reset connection does not count as misbehavior: connections break.
  if (points_of(penalty) > kMinorPenaltyPoints) known_clients_.record_misbehavior(client);
}

// ---- New connections.
AdmissionResult ConnectionLimiter::reject(RejectCause cause, const Prefix& client, double retry_after,
                                          double now) {
  rejections_.record(cause, client, now);
  return {false, cause, retry_after, std::nullopt};
}

// Whether closing a connection of `other_listener` frees a slot that `listener` may use: both are the same,
// or the other listener has more connections than it is guaranteed.
bool ConnectionLimiter::frees_slot(std::size_t listener, std::size_t other_listener) const {
  return listener == other_listener || quota_.open_count(other_listener) > quota_.guaranteed(other_listener);
}

// A client at its cap may replace one of its own connections whose protection has expired, because a client
// that reconnects may leave dead connections behind.
ConnectionLimiter::Placement ConnectionLimiter::replace_own(const Connection& new_connection,
                                                            RejectCause cause, double now) const {
  const auto own = ids_by_client_.find(new_connection.client);
  if (own == ids_by_client_.end()) return {cause, std::nullopt};
  std::optional<EvictionRank> first;
  for (const ConnectionId id : own->second) {
    const Connection& connection = connections_.at(id);
    if (connection.is_busy || !frees_slot(new_connection.listener, connection.listener)) continue;
    const EvictionRank rank = rank_of(id, connection);
    if (rank.protected_until <= now && (!first || rank < *first)) first = rank;
  }
  if (!first) return {cause, std::nullopt};
  return {RejectCause::kNone, first->id};
}

ConnectionLimiter::Placement ConnectionLimiter::find_slot_under_caps(const Connection& new_connection,
                                                                     double now) const {
  if (new_connection.group) {
    const std::size_t group_cap = share_of_total(options_.groups[*new_connection.group].share);
    if (open_by_group_[*new_connection.group] < group_cap) return {};
    return replace_own(new_connection, RejectCause::kGroupCap, now);
  }
  const double client_share =
      new_connection.is_unknown() ? options_.client_share : options_.known_client_share;
  if (open_of_client(new_connection.client) >= share_of_total(client_share))
    return replace_own(new_connection, RejectCause::kClientCap, now);
  const double network_share = new_connection.is_unknown()
                                   ? options_.network_share
                                   : std::max(options_.network_share, options_.known_client_share);
  if (open_of_network(new_connection.network) >= share_of_total(network_share))
    return replace_own(new_connection, RejectCause::kNetworkCap, now);
  return {};
}

ConnectionLimiter::Placement ConnectionLimiter::find_slot_in_table(const Connection& new_connection,
                                                                   double now,
                                                                   bool is_out_of_descriptors) const {
  const bool is_unknown_share_full = new_connection.is_unknown() && unknown_count_ >= max_unknown();
  if (!is_unknown_share_full && !is_out_of_descriptors && quota_.has_capacity(new_connection.listener))
    return {};
  const auto frees_usable_slot = [&](ConnectionId id) {
    return frees_slot(new_connection.listener, connections_.at(id).listener);
  };
  const std::optional<ConnectionId> evicts =
      eviction_order_.find(new_connection.is_unknown(), now, frees_usable_slot);
  if (evicts) return {RejectCause::kNone, evicts};
  return {is_unknown_share_full ? RejectCause::kUnknownClientsShare : RejectCause::kTableFull, std::nullopt};
}

ConnectionLimiter::Connection ConnectionLimiter::describe(std::size_t listener, const Address& from,
                                                          double now, double unix_now) const {
  Connection connection;
  connection.listener = listener;
  connection.client = client_of(from);
  connection.network = network_of(from);
  connection.group = group_of(from);
  connection.standing = standing_of(from, unix_now);
  connection.opened_at = now;
  connection.last_useful_at = now;
  return connection;
}

AdmissionResult ConnectionLimiter::admit(ConnectionId id, std::size_t listener, const Address& from,
                                         double now, double unix_now, bool is_out_of_descriptors) {
  const Connection new_connection = describe(listener, from, now, unix_now);
  const Prefix& client = new_connection.client;
  if (new_connection.is_unknown() && penalties_.score(client, now) >= options_.penalty_limit) {
    const double wait = penalties_.seconds_until(client, options_.penalty_limit, now);
    return reject(RejectCause::kPenaltyLimit, client, wait, now);
  }
  // Rates are checked before caps, so that rejecting a flood stays cheap.
  const ArrivalRates::NewConnection arrival{client, new_connection.network, new_connection.is_unknown(),
                                            new_connection.group.has_value()};
  if (const auto violation = rates_.find_violation(arrival, now))
    return reject(violation->cause, client, violation->retry_after, now);

  Placement placement = find_slot_under_caps(new_connection, now);
  if (placement.cause == RejectCause::kNone && !placement.evicts)
    placement = find_slot_in_table(new_connection, now, is_out_of_descriptors);
  if (placement.cause != RejectCause::kNone)
    return reject(placement.cause, client, kRetryAfterFullSeconds, now);

  rates_.record(arrival, now);
  if (placement.evicts) ++evicted_count_;
  insert(id, new_connection);
  return {true, RejectCause::kNone, 0, placement.evicts};
}

// ---- Reconfiguration.
void ConnectionLimiter::reconfigure(ConnectionLimiterOptions options, double now) {
  options_ = std::move(options);
  rates_.reconfigure(options_, now);
  penalties_.reconfigure(options_.penalty_half_life, now);
  open_by_group_.assign(options_.groups.size(), 0);
  eviction_order_.clear();
  unknown_count_ = 0;
  for (auto& [id, connection] : connections_) {
    connection.group = group_of(connection.client.base);
    if (connection.group) ++open_by_group_[*connection.group];
    add_to_indexes(id, connection);
  }
}

std::vector<ConnectionId> ConnectionLimiter::excess_connections(double now) const {
  const std::size_t allowed = std::min(connections_.size(), quota_.total());
  return eviction_order_.unprotected(connections_.size() - allowed, now);
}

}  // namespace damsonspoke::conns
