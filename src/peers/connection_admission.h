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
  // What a front does for the door: closes one of its connections now, which nothing is open on.
  using Shed = std::function<void(std::uint64_t tag)>;
  // The last words to who is turned away, by the time after which to come back, s.
  using Words = std::function<std::string(double retry_after)>;

  ConnectionAdmission(net::Reactor& reactor, const GateOptions& options, std::size_t connections,
                      const std::vector<double>& floors, std::vector<double> priority_weight,
                      Counters& counters, Logger& log);
  ~ConnectionAdmission();
  // `output`: of all of the front's connections.
  void serve(std::size_t front, net::OutputPool& output, Shed shed, Words words);
  void begin();  // reads who is known
  void reconfigure(const GateOptions& options);
  void leaving();  // writes who is known

  // True: the connection is the front's, with its answers charged to pool(tag). Else it is told, and closed.
  bool lets_in(std::size_t front, std::uint64_t tag, const net::Accepted& accepted);
  net::OutputPool* pool(std::uint64_t tag);

  void asked(std::uint64_t tag) { gate_.asked(tag, net::monotonic_now()); }
  void busy(std::uint64_t tag, bool busy) { gate_.busy(tag, busy); }
  void succeeded(std::uint64_t tag, int type);
  void wasted(std::uint64_t tag, conns::Penalty how);
  void ended(std::uint64_t tag);

  const conns::MinimumByteRateOptions& input_terms() const { return options_.input; }
  const conns::MinimumByteRateOptions& output_terms() const { return options_.output; }
  conns::ConnectionQuota& share() { return share_; }

  // Who holds what and who was turned away, a line each, at most so many clients.
  std::string report(std::size_t most) const;

 private:
  struct Front {
    net::OutputPool* output = nullptr;
    Shed shed;
    Words words;
  };
  struct ClientPool {
    net::OutputPool pool;
    std::size_t users = 0;
  };
  using PoolKey = std::pair<std::size_t, conns::Prefix>;

  void shed(std::uint64_t tag);
  void turn_away(const Front& front, const net::Accepted& accepted, double retry_after);
  void keep_known();
  void look_over();
  void scarce();
  void shed_beyond();

  net::Reactor& reactor_;
  GateOptions options_;
  const std::size_t most_connections_;  // that the limits allow
  const std::vector<double> importance_;
  Counters& counters_;
  Logger& log_;
  conns::ConnectionQuota share_;
  conns::KnownClients known_;
  conns::ConnectionLimiter gate_;
  std::vector<Front> fronts_;
  std::map<PoolKey, ClientPool> pools_;
  std::map<std::uint64_t, PoolKey> pool_of_;
  std::unique_ptr<store::PersistedFile> kept_;
  double scarce_at_ = -1;    // s, when the last descriptor was last reached; < 0: never
  conns::RateSketch words_;  // who is turned away and told
  net::Reactor::TimerId keep_timer_, look_timer_;
};

}  // namespace damsonspoke::peers
