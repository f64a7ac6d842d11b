// The clients whose requests have succeeded here in recent days. They are preferred when connections are
// scarce. A client becomes known by successful requests, is no longer known after misbehavior or too long
// without a success, and stays known over a restart if the list is stored (known_clients_record.h).
#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>
#include <vector>

#include "conns/prefix.h"

namespace damsonspoke::conns {

// Why a client is trusted: it is not, because of successful requests, or because operators list it.
enum class Standing { kUnknown, kKnown, kListed };

struct KnownClientsOptions {
  double max_age = 7 * 86400;      // s since the last successful request
  double required_successes = 20;  // before a client becomes known
  std::size_t max_entries = 4096;  // remembered clients, known or not
};

struct KnownClient {
  Prefix client;
  double score = 0;         // successes minus deductions for misbehavior; at most twice the required number
  double last_success = 0;  // Unix s
  bool is_known = false;
};

// Times are Unix seconds, so that they stay valid over a restart.
class KnownClients {
 public:
  explicit KnownClients(KnownClientsOptions options) : options_(options) {}

  [[nodiscard]] bool is_known(const Prefix& client, double unix_now) const;
  [[nodiscard]] double score(const Prefix& client) const;
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

  void record_success(const Prefix& client, double unix_now);
  void record_misbehavior(const Prefix& client);
  void reconfigure(KnownClientsOptions options) { options_ = options; }

  // All entries, the one with the latest success first.
  [[nodiscard]] std::vector<KnownClient> entries() const { return {entries_.begin(), entries_.end()}; }
  // Adds the entries that a previous process stored and returns how many were added. Skips entries that are
  // too old, lie in the future or have values that no process could have stored.
  std::size_t restore(const std::vector<KnownClient>& clients, double unix_now);

 private:
  using Entries = std::list<KnownClient>;
  void evict_one();

  KnownClientsOptions options_;
  Entries entries_;  // the one with the latest success first
  std::unordered_map<Prefix, Entries::iterator, PrefixHash> entry_by_client_;
};

}  // namespace damsonspoke::conns
