// Which clients may open connections, and which idle connection is closed for a new one: caps for a client, a
// network and the groups that operators name, limits for the rate of new connections, a reserve for known
// clients, and penalties for connections that wasted resources.
//
// A state machine without I/O: connections are numbers, each event carries its time, and what is to be done
// is returned. Open connections are counted exactly, since their number is limited. Past events are kept in
// sketches of fixed size, since clients choose the addresses. Nobody is rejected for what another address
// did, except by the limits that are meant to be shared: those of networks, groups and all unknown clients.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "conns/arrival_rates.h"
#include "conns/connection_limiter_options.h"
#include "conns/connection_quota.h"
#include "conns/decaying_score_sketch.h"
#include "conns/eviction_order.h"
#include "conns/known_clients.h"
#include "conns/prefix.h"
#include "conns/rejection_log.h"

namespace damsonspoke::conns {

// Why a connection counts against its client: it sent no request, not all of one in time, several that were
// invalid or a broken frame; it was too slow, or it was reset before its first request.
enum class Penalty { kSilent, kIncompleteRequest, kInvalidRequests, kInvalidFrame, kSlowTransfer, kReset };

struct AdmissionResult {
  bool is_admitted = false;
  RejectCause cause = RejectCause::kNone;
  double retry_after = 0;  // s, where rejected
  // A connection that the caller must close in favor of the new one; its end is reported by on_closed().
  std::optional<ConnectionId> evicts;
};

// Times called `now` are monotonic seconds, `unix_now` Unix seconds. Events of unknown connections are
// ignored.
class ConnectionLimiter {
 public:
  // `quota` and `known_clients` must outlive this object.
  ConnectionLimiter(ConnectionLimiterOptions options, ConnectionQuota& quota, KnownClients& known_clients);

  // A new connection. `is_out_of_descriptors`: the system has no descriptor left, so that it can be admitted
  // only where another one is closed.
  AdmissionResult admit(ConnectionId id, std::size_t listener, const Address& from, double now,
                        double unix_now, bool is_out_of_descriptors = false);
  void on_closed(ConnectionId id);
  // A whole message was read.
  void on_request_read(ConnectionId id, double now);
  // Busy: requests of the connection are open, or output waits. A busy connection is never evicted.
  void set_busy(ConnectionId id, bool is_busy);
  void on_success(ConnectionId id, double priority_weight, double now, double unix_now);
  void penalize(ConnectionId id, Penalty penalty, double now);

  // Applies other options. Open connections beyond a lowered limit stay until they end or are evicted.
  void reconfigure(ConnectionLimiterOptions options, double now);
  // Idle connections to be closed because more are open than the quota's total.
  [[nodiscard]] std::vector<ConnectionId> excess_connections(double now) const;

  [[nodiscard]] Standing standing_of(const Address& from, double unix_now) const;
  [[nodiscard]] std::size_t open_count() const { return connections_.size(); }
  [[nodiscard]] std::size_t unknown_count() const { return unknown_count_; }
  // Connections that unknown clients may have together.
  [[nodiscard]] std::size_t max_unknown() const;

  struct ClientSummary {
    Prefix client;
    std::size_t open = 0;
    std::size_t busy = 0;
    Standing standing = Standing::kUnknown;
    double penalty_score = 0;
    double success_score = 0;
  };
  // The clients with open connections, the one with the most first.
  [[nodiscard]] std::vector<ClientSummary> client_summaries(double now, double unix_now) const;
  [[nodiscard]] const std::deque<Rejection>& recent_rejections() const { return rejections_.recent(); }
  [[nodiscard]] std::uint64_t rejected_count(RejectCause cause) const { return rejections_.count(cause); }
  [[nodiscard]] std::uint64_t evicted_count() const { return evicted_count_; }
  // Connections of one client that the rate limit may have missed.
  [[nodiscard]] double rate_error(double now) const { return rates_.max_error(now); }

 private:
  struct Connection {
    std::size_t listener = 0;
    Prefix client;
    Prefix network;
    std::optional<std::size_t> group;
    Standing standing = Standing::kUnknown;
    bool has_requested = false;
    bool is_busy = false;
    double opened_at = 0;
    double last_useful_at = 0;
    double extra_protection = 0;  // s, earned by successes

    [[nodiscard]] bool is_unknown() const { return standing == Standing::kUnknown; }
  };
  // Where a newcomer finds its place: free (neither is set), another's that is evicted, or nowhere.
  struct Placement {
    RejectCause cause = RejectCause::kNone;
    std::optional<ConnectionId> evicts;
  };

  [[nodiscard]] Connection describe(std::size_t listener, const Address& from, double now,
                                    double unix_now) const;
  [[nodiscard]] Placement find_slot_under_caps(const Connection& new_connection, double now) const;
  [[nodiscard]] Placement find_slot_in_table(const Connection& new_connection, double now,
                                             bool is_out_of_descriptors) const;
  [[nodiscard]] Placement replace_own(const Connection& new_connection, RejectCause cause, double now) const;
  [[nodiscard]] bool frees_slot(std::size_t listener, std::size_t other_listener) const;
  AdmissionResult reject(RejectCause cause, const Prefix& client, double retry_after, double now);

  [[nodiscard]] std::optional<std::size_t> group_of(const Address& from) const;
  [[nodiscard]] std::size_t share_of_total(double share) const;
  [[nodiscard]] std::size_t open_of_client(const Prefix& client) const;
  [[nodiscard]] std::size_t open_of_network(const Prefix& network) const;

  [[nodiscard]] EvictionRank rank_of(ConnectionId id, const Connection& connection) const;
  void insert(ConnectionId id, const Connection& connection);
  // Counts by standing, and the rank: both must be left before a connection changes, and entered after.
  void add_to_indexes(ConnectionId id, const Connection& connection);
  void remove_from_indexes(ConnectionId id, const Connection& connection);
  template <typename F>
  void modify(ConnectionId id, F&& change);

  ConnectionLimiterOptions options_;
  ConnectionQuota& quota_;
  KnownClients& known_clients_;
  std::unordered_map<ConnectionId, Connection> connections_;
  EvictionOrder eviction_order_;
  std::unordered_map<Prefix, std::set<ConnectionId>, PrefixHash> ids_by_client_;
  std::unordered_map<Prefix, std::size_t, PrefixHash> open_by_network_;
  std::vector<std::size_t> open_by_group_;
  std::size_t unknown_count_ = 0;
  ArrivalRates rates_;
  DecayingScoreSketch penalties_;
  RejectionLog rejections_;
  std::uint64_t evicted_count_ = 0;
};

}  // namespace damsonspoke::conns
