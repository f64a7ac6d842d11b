// Who may connect, who has to go for whom, and who has to wait: caps by client, network and operators'
// groups, rates of new connections, a reserve for known clients, and what connections do for their keep. Pure
// policy: connections by number, happenings with their time; what is to be done comes back.
//
// What is open is counted exactly, since it is bounded; what has passed is kept in sketches of fixed size,
// since whoever connects chooses the addresses. Nobody is refused for what another address did, but by the
// caps that are there to be shared (network, group, strangers).
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "conns/connection_quota.h"
#include "conns/known_clients.h"
#include "conns/prefix.h"
#include "conns/space_saving.h"

namespace damsonspoke::conns {

using ConnectionId = std::uint64_t;

struct ClientGroup {
  std::string name;
  double share = 1;  // of the connections, for all in it together; its members have no smaller cap
  std::vector<Prefix> prefixes;
};

struct ConnectionLimiterOptions {
  double client_share = 0.25;       // of the connections, for one client (an IPv4 address, an IPv6 /64)
  double known_client_share = 0.5;  // for one that is known: many may stand behind its address
  double network_share = 0.5;       // for one IPv4 /24 or IPv6 /48
  double reserve = 0.25;            // of the connections, for known clients alone
  double client_rate = 20, client_burst = 64;  // new connections a second, at once
  double network_rate = 100, network_burst = 256;
  double unknown_clients_rate = 200, unknown_clients_burst = 400;  // all strangers together
  double known_rate_factor = 4;      // x the rate of an address, for known clients
  double penalty_limit = 8;          // points from which a stranger waits outside
  double penalty_half_life = 30;     // s
  double idle_protection = 0.3;      // s that a connection keeps its place after it was of use
  double weight_protection = 0.5;    // s more for each importance that was acked on it
  double max_protection = 30;        // s at most
  double first_request_grace = 0.1;  // s in which a new connection need not have asked
  std::size_t clients = 1024;        // in each sketch
  std::vector<Prefix> listed;        // known by the operators' word
  std::vector<ClientGroup> groups;
};

enum class Standing { kUnknown, kKnown, kListed };

// Why a newcomer is not let in.
enum class RejectCause {
  kNone,
  kClientCap,
  kNetworkCap,
  kGroupCap,
  kClientRate,
  kNetworkRate,
  kUnknownClientsRate,
  kPenaltyLimit,
  kUnknownClientsShare,
  kTableFull
};
constexpr std::size_t kRejectCauseCount = 10;
const char* text_of(RejectCause why);

// What a connection was closed for, as far as it counts against its client.
enum class Penalty { kSilent, kIncompleteRequest, kInvalidRequests, kInvalidFrame, kSlowTransfer, kReset };

struct AdmissionResult {
  bool admitted = false;
  RejectCause cause = RejectCause::kNone;
  double retry_after = 0;              // s, where not in
  std::optional<ConnectionId> evicts;  // the connection that has to go for it; told with ended() when it has
};

class ConnectionLimiter {
 public:
  // Both outlive this. `share` says how many connections there are and what fronts keep of them.
  ConnectionLimiter(ConnectionLimiterOptions options, ConnectionQuota& share, KnownClients& known);

  // A newcomer. `scarce`: the system has no descriptor left, whatever the table says: it may come in only
  // where another goes. `unix_now`: for the standing of clients.
  AdmissionResult admit(ConnectionId id, std::size_t front, const Address& from, double now, double unix_now,
                        bool scarce = false);
  void on_closed(ConnectionId id);

  void on_request_read(ConnectionId id, double now);  // a whole message was read
  void set_busy(ConnectionId id, bool busy);  // requests of it are open, or output waits: it can't be shed
  void on_success(ConnectionId id, double priority_weight, double now, double unix_now);
  void penalize(ConnectionId id, Penalty penalty, double now);

  // Terms from now on; what is open beyond them stays until it ends or is shed.
  void reconfigure(ConnectionLimiterOptions options, double now);
  // Connections that have to go because fewer are allowed than are open: the least worth keeping, none busy.
  std::vector<ConnectionId> excess_connections(double now) const;

  Standing standing_of(const Address& from, double unix_now) const;
  std::size_t open_count() const { return conns_.size(); }
  std::size_t unknown_count() const { return strangers_; }
  std::size_t max_unknown() const;

  struct ClientSummary {
    Prefix client;
    std::size_t open = 0, busy = 0;
    Standing standing = Standing::kUnknown;
    double penalty_score = 0, success_score = 0;
  };
  std::vector<ClientSummary> client_summaries(double now,
                                              double unix_now) const;  // those with most open first
  struct Rejection {
    double at = 0;  // monotonic s
    Prefix client;
    RejectCause why = RejectCause::kNone;
  };
  const std::deque<Rejection>& recent_rejections() const { return refused_; }
  std::uint64_t rejected_count(RejectCause cause) const { return counts_[static_cast<std::size_t>(cause)]; }
  std::uint64_t evicted_count() const { return shed_; }
  double rate_error(double now) const { return by_client_.max_error(now); }
  const ConnectionLimiterOptions& options() const { return options_; }

 private:
  struct Conn {
    std::size_t front = 0;
    Prefix client, network;
    int group = -1;
    Standing standing = Standing::kUnknown;
    bool asked = false, busy = false;
    double opened = 0, useful = 0, keep = 0;  // s; keep: beyond its last use
  };
  // The first of these goes first: who never asked, then strangers, then known clients; each by when its time
  // to be kept is over.
  using Rank = std::tuple<int, double, ConnectionId>;
  Rank rank_of(ConnectionId id, const Conn& conn) const;
  void enter(ConnectionId id, const Conn& conn);
  void leave(ConnectionId id, const Conn& conn);
  template <typename F>
  void change(ConnectionId id, F&& how);

  int group_of(const Address& from) const;
  std::size_t of_total(double share) const;
  AdmissionResult refuse(RejectCause why, const Prefix& client, double retry_after, double now);
  std::optional<ConnectionId> to_shed(Standing newcomer, std::size_t front, double now) const;
  std::optional<ConnectionId> own_to_shed(const Prefix& client, std::size_t front, double now) const;
  bool frees_for(std::size_t front, std::size_t other) const;

  ConnectionLimiterOptions options_;
  ConnectionQuota& share_;
  KnownClients& known_;
  std::unordered_map<ConnectionId, Conn> conns_;
  std::set<Rank> by_rank_;  // those that are not busy
  std::unordered_map<Prefix, std::set<ConnectionId>, PrefixHash> of_client_;
  std::unordered_map<Prefix, std::size_t, PrefixHash> of_network_;
  std::vector<std::size_t> of_group_;
  std::size_t strangers_ = 0;
  RateSketch by_client_, by_network_, known_by_client_, all_strangers_;
  DecayingScoreSketch waste_;
  std::deque<Rejection> refused_;
  std::array<std::uint64_t, kRejectCauseCount> counts_{};
  std::uint64_t shed_ = 0;
};

}  // namespace damsonspoke::conns
