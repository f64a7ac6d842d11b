// The door that all fronts of callers share, where operators switch it on: it asks the gate, tells who is
// turned away, keeps what each client's answers take within its part, and remembers who is known. It decides
// nothing.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "conns/connection_limiter.h"
#include "conns/minimum_byte_rate.h"
#include "net/connection.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "settings/operator_file.h"
#include "store/persisted_file.h"

namespace damsonspoke::peers {

class ConnectionAdmission {
 public:
  // What a listener does for the door: closes one of its connections now, which nothing is open on.
  using Evict = std::function<void(std::uint64_t tag)>;
  // The last rejection_text to who is turned away, by the time after which to come back, s.
  using RejectionText = std::function<std::string(double retry_after)>;

  ConnectionAdmission(net::Reactor& reactor, const GateOptions& options, std::size_t connections,
                      const std::vector<double>& floors, std::vector<double> priority_weight,
                      Counters& counters, Logger& log);
  ~ConnectionAdmission();
  // `output`: of all of the listener's connections.
  void register_listener(std::size_t listener, net::OutputPool& output, Evict shed,
                         RejectionText rejection_text);
  void load_known_clients();  // reads who is known
  void reconfigure(const GateOptions& options);
  void save_known_clients();  // writes who is known

  // True: the connection is the listener's, with its answers charged to pool(tag). Else it is told, and
  // closed.
  bool admit(std::size_t listener, std::uint64_t tag, const net::Accepted& accepted);
  net::OutputPool* output_pool(std::uint64_t tag);

  void on_request_read(std::uint64_t tag) { limiter_.on_request_read(tag, net::monotonic_now()); }
  void set_busy(std::uint64_t tag, bool busy) { limiter_.set_busy(tag, busy); }
  void on_success(std::uint64_t tag, int type);
  void penalize(std::uint64_t tag, conns::Penalty penalty);
  void on_closed(std::uint64_t tag);

  const conns::MinimumByteRateOptions& input_rate() const { return options_.input; }
  const conns::MinimumByteRateOptions& output_rate() const { return options_.output; }
  conns::ConnectionQuota& quota() { return quota_; }

  // Who holds what and who was turned away, a line each, at most so many clients.
  std::string report(std::size_t most) const;

 private:
  struct Listener {
    net::OutputPool* output = nullptr;
    Evict shed;
    RejectionText rejection_text;
  };
  struct ClientPool {
    net::OutputPool pool;
    std::size_t users = 0;
  };
  using PoolKey = std::pair<std::size_t, conns::Prefix>;

  void evict(std::uint64_t tag);
  void reject(const Listener& listener, const net::Accepted& accepted, double retry_after);
  void write_known_clients();
  void check_table();
  void shrink_table();
  void evict_excess();

  net::Reactor& reactor_;
  GateOptions options_;
  const std::size_t max_connections_;  // that the limits allow
  const std::vector<double> priority_weights_;
  Counters& counters_;
  Logger& log_;
  conns::ConnectionQuota quota_;
  conns::KnownClients known_;
  conns::ConnectionLimiter limiter_;
  std::vector<Listener> listeners_;
  std::map<PoolKey, ClientPool> pools_;
  std::map<std::uint64_t, PoolKey> pool_key_by_tag_;
  std::unique_ptr<store::PersistedFile> known_clients_file_;
  double last_shortage_at_ = -1;           // s, when the last descriptor was last reached; < 0: never
  conns::RateSketch rejection_text_rate_;  // who is turned away and told
  net::Reactor::TimerId write_timer_, check_timer_;
};

}  // namespace damsonspoke::peers
