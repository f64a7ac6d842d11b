// Decides which clients may open connections, and which idle connection is evicted for a new one. There are
// caps per client, network and operator-defined group, limits for the rate of new connections, a reserve for
// known clients, and penalties for connections that wasted resources.
//
// This is a state machine without I/O: connections are identified by numbers, each event carries its time,
// and the caller carries out the returned actions. Open connections are counted exactly, because their number
// is limited. Past events are counted in sketches of fixed size, because clients choose their addresses. A
// client is never rejected because of another client's behavior, except by limits that are shared on purpose:
// those of networks, groups and all unknown clients.
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

// Why a connection adds penalty points to its client. kSilent: it sent no request. kIncompleteRequest: a
// request was not complete in time. kInvalidRequests: several messages were invalid. kInvalidFrame: a frame
// was invalid. kSlowTransfer: it sent or read too slowly. kReset: it was reset before its first request.
enum class Penalty { kSilent, kIncompleteRequest, kInvalidRequests, kInvalidFrame, kSlowTransfer, kReset };

struct AdmissionResult {
  bool is_admitted = false;
  RejectCause cause = RejectCause::kNone;
  double retry_after = 0;  // s; only if rejected
  // A connection that must be closed in favor of the new one; report its end by on_closed().
  std::optional<ConnectionId> evicts;
};

// `now` is in monotonic seconds, `unix_now` in Unix seconds. Events of connections that are not open are
// ignored.
class ConnectionLimiter {
 public:
  // `quota` and `known_clients` must outlive this object.
  ConnectionLimiter(ConnectionLimiterOptions options, ConnectionQuota& quota, KnownClients& known_clients);

  // Decides on a new connection. `is_out_of_descriptors`: the process has no free descriptor left, so that
  // the connection can be admitted only if another one is evicted.
  AdmissionResult admit(ConnectionId id, std::size_t listener, const Address& from, double now,
                        double unix_now, bool is_out_of_descriptors = false);
  void on_closed(ConnectionId id);
  // A complete message was read.
  void on_request_read(ConnectionId id, double now);
  // A connection is busy while requests of it are in flight or output is unsent. A busy one is never evicted.
  void set_busy(ConnectionId id, bool is_busy);
  void on_success(ConnectionId id, double priority_weight, double now, double unix_now);
  void penalize(ConnectionId id, Penalty penalty, double now);

  // Applies new options. Connections that exceed a lowered limit stay open until they end or are evicted.
  void reconfigure(ConnectionLimiterOptions options, double now);
  // Unprotected idle connections that should be closed because more connections are open than the quota's
  // total.
  [[nodiscard]] std::vector<ConnectionId> excess_connections(double now) const;

  [[nodiscard]] Standing standing_of(const Address& from, double unix_now) const;
  [[nodiscard]] std::size_t open_count() const { return connections_.size(); }
  [[nodiscard]] std::size_t unknown_count() const { return unknown_count_; }
  // Maximum number of connections of all unknown clients together.
  [[nodiscard]] std::size_t max_unknown() const;

  struct ClientSummary {
    Prefix client;
    std::size_t open = 0;
    std::size_t busy = 0;
    Standing standing = Standing::kUnknown;
    double penalty_score = 0;
    double success_score = 0;
  };
  // The clients with open connections, in descending order of their number of connections.
  [[nodiscard]] std::vector<ClientSummary> client_summaries(double now, double unix_now) const;
  [[nodiscard]] const std::deque<Rejection>& recent_rejections() const { return rejections_.recent(); }
  [[nodiscard]] std::uint64_t rejected_count(RejectCause cause) const { return rejections_.count(cause); }
  [[nodiscard]] std::uint64_t evicted_count() const { return evicted_count_; }
  // The maximum number of connections of one client that the rate limit may have missed.
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
    double extra_protection = 0;  // s, gained by successful requests

    [[nodiscard]] bool is_unknown() const { return standing == Standing::kUnknown; }
  };
  // Whether there is a slot for a new connection. Without a cause it is admitted: into a free slot, or into
  // that of the connection that it `evicts`. With a cause it is rejected.
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
  // Add a connection to, and remove it from, eviction_order_ (unless it is busy) and unknown_count_.
  // Invariant: the fields of a connection, and the options that determine its rank, change only while it is
  // not in them; see modify() and reconfigure().
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
