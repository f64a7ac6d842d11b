// The clients whose requests have succeeded here in the last days. They are preferred when connections are
// scarce. A client becomes known by requests that succeed, loses that by misbehavior and by age, and stays
// known over a restart where the list is stored (known_clients_record.h).
#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>
#include <vector>

#include "conns/prefix.h"

namespace damsonspoke::conns {

// How far a client is trusted: not at all, for the requests that succeeded, or because operators list it.
enum class Standing { kUnknown, kKnown, kListed };

struct KnownClientsOptions {
  double max_age = 7 * 86400;      // s since the last request that succeeded
  double required_successes = 20;  // until a client is known
  std::size_t max_entries = 4096;  // clients that are remembered, known or not
};

struct KnownClient {
  Prefix client;
  double score = 0;         // successes, less the deductions for misbehavior; at most twice the required ones
  double last_success = 0;  // Unix s
  bool is_known = false;
};

// Times are Unix seconds, so that they keep their meaning over a restart.
class KnownClients {
 public:
  explicit KnownClients(KnownClientsOptions options) : options_(options) {}

  [[nodiscard]] bool is_known(const Prefix& client, double unix_now) const;
  [[nodiscard]] double score(const Prefix& client) const;
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

  void record_success(const Prefix& client, double unix_now);
  void record_misbehavior(const Prefix& client);
  void reconfigure(KnownClientsOptions options) { options_ = options; }

  // The one with the latest success first.
  [[nodiscard]] std::vector<KnownClient> entries() const { return {entries_.begin(), entries_.end()}; }
  // Adds what an earlier process has stored and returns how many were taken. Left out are entries of the
  // future, ones that are too old and ones that no process could have written.
  std::size_t restore(const std::vector<KnownClient>& clients, double unix_now);

 private:
  using Entries = std::list<KnownClient>;
  void evict_one();

  KnownClientsOptions options_;
  Entries entries_;  // the one with the latest success first
  std::unordered_map<Prefix, Entries::iterator, PrefixHash> entry_by_client_;
};

}  // namespace damsonspoke::conns
