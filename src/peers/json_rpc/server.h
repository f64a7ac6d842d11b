// The server for clients that speak JSON-RPC 2.0: edge nodes that send requests and health checks. Many
// requests may be in flight on a connection; their answers are sent in any order.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "catalog/catalog.h"
#include "net/connection.h"
#include "net/listener.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "peers/client_connection.h"
#include "peers/client_table.h"
#include "peers/json_rpc/request_builder.h"
#include "peers/listener_admission.h"
#include "peers/ports.h"
#include "wire/rpc.h"

namespace damsonspoke::peers {

// Listens, reads requests and writes their answers. A request is identified by the number that its client
// gave it; it is in flight until it is answered or its connection closes.
class JsonRpcServer : public RequestServer, private net::ConnectionOwner {
 public:
  // Per connection: one read, and the incomplete frame of under 9 KiB before it.
  static constexpr std::size_t kMaxInputBytes = 28 * 1024;

  // `catalog` names routes and tenants; their positions there are the numbers of the requests' routes and
  // tenants. Throws std::runtime_error where the address can't be used.
  JsonRpcServer(net::Reactor& reactor, const std::string& listen, const catalog::Catalog& catalog,
                IdempotencyKeyOptions keys, const ListenerLimits& limits, CallerEvents& events,
                Counters& counters, Logger& log);
  ~JsonRpcServer() override;
  JsonRpcServer(const JsonRpcServer&) = delete;
  JsonRpcServer& operator=(const JsonRpcServer&) = delete;

  void answer_succeeded(ReplyAddress reply_to, std::string_view result) override;
  void answer_rejected(ReplyAddress reply_to, double retry_after, bool no_retry) override;
  void answer_failed(ReplyAddress reply_to, FailureReason reason) override;
  void answer_health_check(ReplyAddress reply_to, bool is_healthy) override;
  // Clients that are idle for longer are notified to close their connections.
  void set_idle_timeout(double seconds) override;
  void announce_drain() override;

  void stop_listening() override;
  [[nodiscard]] bool is_listening() const override { return listener_.is_open(); }
  void close_idle_connections() override;
  [[nodiscard]] std::size_t connections() const override { return clients_.size(); }
  [[nodiscard]] std::uint16_t port() const override { return listener_.port(); }

 private:
  struct PendingRequest {
    RequestId id = 0;  // 0: a health check
    int route = -1;
  };
  struct Client : ClientConnection {
    // In flight, by the client's number.
    std::unordered_map<std::uint64_t, PendingRequest> requests;
    double drain_announced_at = -1;  // monotonic s; < 0: not yet
    int invalid_messages = 0;        // so far; valid ones in between don't lower it
  };

  std::size_t on_input(net::Connection& connection, std::string_view bytes) override;
  void on_end_of_input(net::Connection& connection) override;
  void on_end(net::Connection& connection, net::CloseReason why) override;
  void on_output_sent(net::Connection& connection) override;

  void on_accept(const net::Accepted& accepted);
  [[nodiscard]] bool evict_one();
  [[nodiscard]] Client* find_stalled(double now);
  void evict(std::uint64_t tag);
  [[nodiscard]] static bool is_idle(const Client& client);
  void update_busy(const Client& client);

  [[nodiscard]] double weight_of(std::string_view body) const;
  // Handles one frame; false: nothing more is read from the connection.
  [[nodiscard]] bool read_frame(Client& client, std::string_view body);
  void handle_message(Client& client, std::string_view text);
  void handle_health_check(Client& client, const wire::RpcRequest& message, bool has_bad_params);
  void handle_request(Client& client, wire::RpcRequest& message);
  void refuse_request(Client& client, wire::RpcRequest& message);
  void on_valid_message(Client& client);
  void send_error(Client& client, std::uint64_t number, const RequestError& error);

  void answer(ReplyAddress reply_to, const std::string& text, bool is_success = false);
  void send(Client& client, const std::string& text);
  void reject_input(Client& client, const std::string& last_message);
  void reject_invalid_frame(Client& client);
  void close_if_done(Client& client);

  void check_connections();
  void check_byte_rates(Client& client, double now);
  void check_timeouts(Client& client, double now);
  void check_idle_clients();
  void announce_drain(Client& client);

  net::Reactor& reactor_;
  const catalog::Catalog& catalog_;
  const IdempotencyKeyOptions keys_;
  CallerEvents& events_;
  Counters& counters_;
  Logger& log_;
  ListenerAdmission admission_;  // declared before the connections whose output is charged to it
  net::Listener listener_;
  ClientTable<Client> clients_;
  std::uint64_t next_tag_ = 1;
  double idle_timeout_seconds_ = 0;  // 0: clients close idle connections themselves
  bool is_draining_ = false;
  net::Reactor::TimerId idle_timer_;
  net::Reactor::TimerId check_timer_;
};

}  // namespace damsonspoke::peers
