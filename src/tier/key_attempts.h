// The attempts of keyed requests that this forwarder has sent, by idempotency key: which keys may have run.
//
// A rejection tells a caller that its operation never ran and may be sent elsewhere. Proof about one attempt
// is not enough for that: another attempt with the same key may have run, may be running, or may still run.
// So every attempt of a key counts, from when it is sent until it is proven never to have run, or until the
// key's idempotency window has ended. Lookups, which never run, don't count. A request that waits to be sent
// may still run, too.
//
// A planner that does not know a key proves that no earlier attempt has run or will run, if it is the process
// that got all of them, and if it took the lookup to have arrived inside the window. It gets attempts in the
// order in which they were sent, and none of a link that was lost.
//
// Memory is bounded. Keys are retained after their windows for the allowed lateness, for requests that are
// read later than they arrived. A key that is dropped raises a watermark, as in results/idempotency_cache.h:
// of an unknown key of a request that arrived before it, nothing is proven.
//
// Policy without I/O; times are seconds on one monotonic clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <set>
#include <unordered_map>
#include <utility>

#include "tier/attempt_ledger.h"

namespace damsonspoke::tier {

struct KeyAttemptsOptions {
  std::size_t max_keys = 16 * 1024;
  // How long a key is retained after its window, for requests that are read later than they arrived.
  double allowed_lateness = 0;
};

// What is known about the earlier attempts of a key.
enum class KeyHistory {
  kNeverRan,           // none was sent, or all are proven never to have run
  kPossiblyForgotten,  // the key is unknown, but may have been dropped since the request arrived
  kMayHaveRun,         // an attempt may have run, or may still run
};

class KeyAttempts {
 public:
  // Memory of a key: its nodes in the map and in the set.
  static constexpr std::size_t kKeyBytes = 144;

  explicit KeyAttempts(KeyAttemptsOptions options) : options_(options) {}

  // An attempt with this key is sent in the planner's session `epoch`. One of the following two has to be
  // called once it has ended.
  void on_attempt_sent(std::uint64_t key_hash, Attempt attempt, std::uint64_t epoch);
  // The attempt is proven never to have run, and never will.
  void on_attempt_proven_not_run(std::uint64_t key_hash);
  // The attempt was answered, lost or abandoned without such a proof. `window_ends_at`: of its request.
  // `has_run`: its answer is the result of a run.
  void on_attempt_ended(std::uint64_t key_hash, double window_ends_at, bool has_run);
  // The planner was asked with the attempt `lookup` in the session `epoch`, and does not know the key. It
  // took the lookup to have arrived at `latest_arrival` at the latest. Forgets the earlier attempts if that
  // is proof.
  void on_key_unknown(std::uint64_t key_hash, Attempt lookup, std::uint64_t epoch, double latest_arrival);

  // Whether an attempt with this key was sent after the attempt `lookup`.
  [[nodiscard]] bool was_sent_since(std::uint64_t key_hash, Attempt lookup) const;

  // A request with this key may be sent from now on, until on_request_withdrawn() is called.
  void on_request_pending(std::uint64_t key_hash) { ++pending_requests_[key_hash]; }
  void on_request_withdrawn(std::uint64_t key_hash);
  // Whether a request with this key may still be sent.
  [[nodiscard]] bool is_pending(std::uint64_t key_hash) const { return pending_requests_.contains(key_hash); }

  // Of a request that arrived at `arrived_at`, whose own attempt, if it had one, has ended.
  [[nodiscard]] KeyHistory history(std::uint64_t key_hash, double arrived_at) const;

  // Drops the keys whose windows and allowed lateness have ended.
  void expire(double now);

  [[nodiscard]] std::size_t size() const { return keys_.size(); }

 private:
  static constexpr double kNever = -std::numeric_limits<double>::infinity();

  struct Key {
    int open_attempts = 0;
    // No lookup proves that the key never ran: it has run, or attempts went to several planner processes.
    bool is_beyond_proof = false;
    double window_ends_at = kNever;  // the latest one of the attempts that ended without proof
    Attempt last_attempt = 0;
    std::uint64_t epoch = 0;  // of the planner's session in which it was sent
  };
  using Keys = std::unordered_map<std::uint64_t, Key>;

  void release_attempt(Keys::iterator found);
  void drop_first_window();
  void enforce_limit();

  const KeyAttemptsOptions options_;
  Keys keys_;
  std::unordered_map<std::uint64_t, int> pending_requests_;  // their number, by key
  // Of the keys without open attempts, by the ends of their windows.
  std::set<std::pair<double, std::uint64_t>> window_ends_;
  double watermark_ = kNever;  // keys whose windows ended before it may have been dropped
};

}  // namespace damsonspoke::tier
