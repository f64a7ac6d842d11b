// Admission of connections for all listeners of clients, where operators enable it.
//
// This class connects the policy of conns::ConnectionLimiter with sockets: it queries the limiter, sends
// rejected clients the reason, closes the connections that the limiter evicts, limits the memory for each
// client's answers, and stores which clients are known. It decides nothing itself.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "conns/connection_limiter.h"
#include "conns/minimum_byte_rate.h"
#include "net/connection.h"
#include "net/listener.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "settings/operator_file.h"
#include "store/persisted_file.h"

namespace damsonspoke::peers {

// Admits connections for all listeners of the process. Listeners are numbered from 0. A connection is
// identified by its tag, which is unique over all listeners.
class ConnectionAdmission {
 public:
  // Closes a connection of the listener that has no request in flight; ignores the tags of other listeners.
  using Evict = std::function<void(std::uint64_t tag)>;
  // The last message to a rejected client. `retry_after`: s.
  using RejectionMessage = std::function<std::string(double retry_after)>;

  // `max_connections`: the number that the limits of the process allow; `shares`: the guaranteed share of
  // each listener; `priority_weights`: by route.
  ConnectionAdmission(net::Reactor& reactor, const ConnectionAdmissionOptions& options,
                      std::size_t max_connections, const std::vector<double>& shares,
                      std::vector<double> priority_weights, Counters& counters, Logger& log);
  ~ConnectionAdmission();
  ConnectionAdmission(const ConnectionAdmission&) = delete;
  ConnectionAdmission& operator=(const ConnectionAdmission&) = delete;

  // `output`: the memory budget for the answers of all the listener's connections. Without
  // `rejection_message` its rejected clients receive no message.
  void register_listener(std::size_t listener, net::OutputPool& output, Evict evict,
                         RejectionMessage rejection_message);
  // Restores the stored list of known clients and saves it periodically from then on. Waits for a slow
  // folder for a short time only.
  void load_known_clients();
  // Saves the list now, for a process that is about to end.
  void save_known_clients();
  // Applies new limits; connections beyond them are evicted over the next checks.
  void reconfigure(const ConnectionAdmissionOptions& options);

  // True: the listener owns the connection, whose answers are charged to output_pool(tag). False: the
  // client was rejected and the socket is closed.
  [[nodiscard]] bool admit(std::size_t listener, std::uint64_t tag, const net::Accepted& accepted);
  // Null where the tag is unknown.
  [[nodiscard]] net::OutputPool* output_pool(std::uint64_t tag);

  // The connection has sent a valid message.
  void on_request_read(std::uint64_t tag) { limiter_.on_request_read(tag, net::monotonic_now()); }
  // A busy connection, which has a request in flight or pending output, is not evicted.
  void set_busy(std::uint64_t tag, bool is_busy) { limiter_.set_busy(tag, is_busy); }
  // A request of this route was answered with its result, which raises the client's score.
  void on_success(std::uint64_t tag, int route);
  // Adds a penalty to the record of the client.
  void penalize(std::uint64_t tag, conns::Penalty penalty);
  // Frees the connection's place; has no effect if it is free already.
  void on_closed(std::uint64_t tag);

  // The minimum byte rates at which clients must send and read.
  [[nodiscard]] const conns::MinimumByteRateOptions& input_rate() const { return options_.input; }
  [[nodiscard]] const conns::MinimumByteRateOptions& output_rate() const { return options_.output; }
  // The connection quota of all listeners.
  [[nodiscard]] conns::ConnectionQuota& quota() { return quota_; }

  // The output of `damsonspoke conns`: the totals, at most `max_clients` clients and the latest rejections,
  // a line each.
  [[nodiscard]] std::string report(std::size_t max_clients) const;

 private:
  struct Listener {
    net::OutputPool* output = nullptr;
    Evict evict;
    RejectionMessage rejection_message;
  };
  // The part of a listener's memory for answers that one client may use.
  struct ClientPool {
    net::OutputPool pool;
    std::size_t connections = 0;
  };
  using PoolKey = std::pair<std::size_t, conns::Prefix>;  // listener and client

  void charge_to_client_pool(std::size_t listener, std::uint64_t tag, const conns::Address& from);
  void evict(std::uint64_t tag);
  void reject(const Listener& listener, const net::Accepted& accepted, double retry_after);
  void write_known_clients();
  void on_descriptor_shortage();
  void check_table();
  void evict_excess();

  net::Reactor& reactor_;
  ConnectionAdmissionOptions options_;
  const std::size_t max_connections_;
  const std::vector<double> priority_weights_;
  Counters& counters_;
  Logger& log_;
  conns::ConnectionQuota quota_;
  conns::KnownClients known_clients_;
  conns::ConnectionLimiter limiter_;
  std::vector<Listener> listeners_;
  std::map<PoolKey, ClientPool> pools_;
  std::map<std::uint64_t, PoolKey> pool_key_by_tag_;
  std::unique_ptr<store::PersistedFile> known_clients_file_;
  double last_shortage_at_ = -1;          // monotonic s; < 0: never
  conns::RateSketch rejection_messages_;  // limits the rate of rejection messages
  net::Reactor::TimerId write_timer_;
  net::Reactor::TimerId check_timer_;
};

}  // namespace damsonspoke::peers
