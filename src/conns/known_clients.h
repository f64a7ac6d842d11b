// Who is known: clients that had requests acked here in the last days, on connections that behaved. The
// standing is score by requests that succeeded and lost by misbehaviour, ages, and outlives the process as
// far as its record does. Pure policy: times are Unix seconds that are handed in.
#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>
#include <vector>

#include "conns/prefix.h"

namespace damsonspoke::conns {

struct KnownClientsOptions {
  double max_age = 7 * 86400;      // s from the last acked request
  double required_successes = 20;  // requests that succeeded until a client is known
  std::size_t max_entries = 4096;  // clients that are remembered at all
};

struct KnownClient {
  Prefix client;
  double score = 0;  // requests that succeeded, at most twice as many as are needed; misbehaviour takes a
                     // quarter of those
  double last_success = 0;  // Unix s of the last acked request
  bool is_known = false;
};

class KnownClients {
 public:
  explicit KnownClients(KnownClientsOptions options) : options_(options) {}

  bool is_known(const Prefix& client, double now) const;
  void record_success(const Prefix& client, double now);
  void record_misbehavior(const Prefix& client);
  std::size_t size() const { return order_.size(); }
  double score(const Prefix& client) const;
  void reconfigure(KnownClientsOptions options) { options_ = options; }

  // For a successor: the newest first.
  std::vector<KnownClient> entries() const { return {order_.begin(), order_.end()}; }
  // What an earlier life knew. Entries from the future, too old, or that no life could have written are left
  // out. Returns how many were taken.
  std::size_t restore(const std::vector<KnownClient>& clients, double now);

 private:
  using Order = std::list<KnownClient>;  // the newest ack first
  void make_room();

  KnownClientsOptions options_;
  Order order_;
  std::unordered_map<Prefix, Order::iterator, PrefixHash> at_;
};

}  // namespace damsonspoke::conns
