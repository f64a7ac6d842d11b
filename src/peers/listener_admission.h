// Decides which connections one listener may have open, and reports the behavior of its clients to
// ConnectionAdmission.
//
// Three cases, which the servers need not distinguish: the listener may use all connections of the process;
// it shares them with another listener by a quota; or operators have enabled admission by client
// (ConnectionAdmission).
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

#include "conns/connection_quota.h"
#include "net/connection.h"
#include "net/listener.h"
#include "observability/counters.h"
#include "peers/client_connection.h"
#include "peers/connection_admission.h"

namespace damsonspoke::peers {

// The limits of one listener and its connections.
struct ListenerLimits {
  int connections = 0;                       // maximum, where there is no quota
  std::size_t output_bytes = 0;              // maximum of pending output on all its connections together
  conns::ConnectionQuota* quota = nullptr;   // null: the listener may use all connections
  std::size_t listener = 0;                  // its number in the quota
  ConnectionAdmission* admission = nullptr;  // where enabled; then `quota` is its quota
};

// Admits the connections of one listener and accounts for their places and output.
class ListenerAdmission {
 public:
  // The quota and the admission must outlive this object, and this object its connections.
  ListenerAdmission(net::Reactor& reactor, const ListenerLimits& limits, Counters& counters)
      : reactor_(reactor), limits_(limits), counters_(counters), output_{limits.output_bytes, 0} {}

  // Whether clients are admitted by their behavior.
  [[nodiscard]] bool is_by_client() const { return limits_.admission != nullptr; }
  // Does nothing unless clients are admitted by their behavior.
  void register_listener(ConnectionAdmission::Evict evict,
                         ConnectionAdmission::RejectionMessage rejection_message);

  // False: the socket was closed. `evict_one` closes an idle connection and returns whether there was one; it
  // is called where the listener has no capacity.
  [[nodiscard]] bool admit(std::uint64_t tag, const net::Accepted& accepted, std::size_t open_count,
                           const std::function<bool()>& evict_one);
  // The pool to which the output of the connection is charged.
  [[nodiscard]] net::OutputPool* output_pool(std::uint64_t tag);
  // Closes a connection gracefully and frees its place at once.
  void evict(ClientConnection& client);
  // To be called after the connection was removed from the listener's table.
  void on_closed(const ClientConnection& client, net::CloseReason why);

  // The following report to ConnectionAdmission and do nothing where it is not enabled.
  void penalize(const ClientConnection& client, conns::Penalty penalty);
  void set_busy(const ClientConnection& client, bool is_busy);
  void on_request_read(const ClientConnection& client);
  void on_success(const ClientConnection& client, int route);

  // Whether the listener may read another message now; else reading is paused until it may.
  [[nodiscard]] bool try_read(net::Connection& connection);
  // Whether the client is below the minimum byte rates of ConnectionAdmission; false where it is not
  // enabled.
  [[nodiscard]] bool is_input_too_slow(const ClientConnection& client, double now) const;
  [[nodiscard]] bool is_output_too_slow(ClientConnection& client, double now) const;

 private:
  [[nodiscard]] bool has_capacity(std::size_t open_count) const;

  net::Reactor& reactor_;
  const ListenerLimits limits_;
  Counters& counters_;
  net::OutputPool output_;
};

}  // namespace damsonspoke::peers
