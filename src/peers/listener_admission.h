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
#include <optional>

#include "conns/connection_quota.h"
#include "conns/read_scheduler.h"
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
  // Returns the client with this tag; null: it is unknown.
  using FindClient = std::function<ClientConnection*(std::uint64_t tag)>;

  // The quota and the admission must outlive this object, and this object its connections.
  ListenerAdmission(net::Reactor& reactor, const ListenerLimits& limits, FindClient find_client,
                    Counters& counters);
  ~ListenerAdmission();
  ListenerAdmission(const ListenerAdmission&) = delete;
  ListenerAdmission& operator=(const ListenerAdmission&) = delete;

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

  // Whether the client's next message, which is complete, may be read now. Otherwise it is held back: the
  // connection reads nothing, and its buffered input is delivered again when it is its turn.
  // `weight`: returns the weight of the message, relative to the greatest one.
  [[nodiscard]] bool try_read(ClientConnection& client, const std::function<double()>& weight);
  // Reads all messages of this client that are held back.
  void read_held_back(ClientConnection& client);
  // Reads the messages of all clients that are held back, in order, for at most `seconds`.
  void read_all_held_back(double seconds);
  // Whether the client is below the minimum byte rates of ConnectionAdmission; false where it is not
  // enabled.
  [[nodiscard]] bool is_input_too_slow(const ClientConnection& client, double now) const;
  [[nodiscard]] bool is_output_too_slow(ClientConnection& client, double now) const;

 private:
  [[nodiscard]] bool has_capacity(std::size_t open_count) const;
  [[nodiscard]] double next_read_turn_at() const;
  void schedule_read_turns(double time);
  void give_read_turns();
  std::optional<std::uint64_t> take_next_reader(double now);
  void give_read_turn(ClientConnection& client);

  net::Reactor& reactor_;
  const ListenerLimits limits_;
  const FindClient find_client_;
  Counters& counters_;
  net::OutputPool output_;
  conns::ReadScheduler held_back_;
  net::Reactor::TimerId read_turn_timer_;
};

}  // namespace damsonspoke::peers
