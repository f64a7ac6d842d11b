// The server for gateways that speak AJP 1.3. A connection carries one request at a time; the operators'
// table maps it to a route (request_mapping.h). Messages that map to no route are answered at once; the
// others are requests like those of the other protocols.
//
// States of a connection: idle (a request or a ping may arrive), reading the body, in flight (nothing is
// read until the answer has been written) and closing (pending answers are written, nothing is read any
// more). A connection on which a part of a body was left unread is never used again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <pcg_random.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "net/connection.h"
#include "net/listener.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "peers/ajp/request_mapping.h"
#include "peers/client_connection.h"
#include "peers/client_table.h"
#include "peers/listener_admission.h"
#include "peers/ports.h"
#include "settings/operator_file.h"
#include "wire/ajp.h"

namespace damsonspoke::peers {

// Set in the tags of this server's connections, so that a reply address identifies its server.
constexpr std::uint64_t kAjpTagBit = std::uint64_t{1} << 63;

// Listens, reads requests and writes their answers.
class AjpServer : public RequestServer, private net::ConnectionOwner {
 public:
  // Bytes that a connection may buffer until its request is complete.
  [[nodiscard]] static std::size_t max_input_bytes(const AjpOptions& options) {
    return 2 * options.packet + options.body;
  }

  // `seed`: for the ids of its requests. Throws std::runtime_error where the address can't be used.
  AjpServer(net::Reactor& reactor, AjpSite site, std::uint64_t seed, const AjpOptions& options,
            const ListenerLimits& limits, CallerEvents& events, Counters& counters, Logger& log);
  ~AjpServer() override;
  AjpServer(const AjpServer&) = delete;
  AjpServer& operator=(const AjpServer&) = delete;

  // Applies a new table, secret and list of attributes to requests that arrive from now on. Options that
  // need a new listener take effect at the next start.
  void reconfigure(const AjpOptions& options);

  void answer_succeeded(ReplyAddress reply_to, std::string_view result) override;
  void answer_rejected(ReplyAddress reply_to, double retry_after, bool no_retry) override;
  void answer_failed(ReplyAddress reply_to, FailureReason reason) override;
  void answer_health_check(ReplyAddress reply_to, bool is_healthy) override;
  void set_idle_timeout(double /*seconds*/) override {}  // it has its own: AjpOptions::idle
  void announce_drain() override;

  void close_idle_connections() override { announce_drain(); }
  void stop_listening() override { listener_.close(); }
  [[nodiscard]] bool is_listening() const override { return listener_.is_open(); }
  [[nodiscard]] std::size_t connections() const override { return clients_.size(); }
  [[nodiscard]] std::uint16_t port() const override { return listener_.port(); }

 private:
  enum class State { kIdle, kReadingBody, kInFlight, kClosing };
  struct Client : ClientConnection {
    State state = State::kIdle;
    MappedRequest mapped;          // while it is read; once submitted only its id is left
    bool is_head_request = false;  // its answer has no body
    std::uint64_t number = 0;      // of the latest request on this connection
    int route = -1;                // of the request in flight
    double deadline = 0;           // Unix s
    double empty_at = 0;           // when nothing was unread in its socket, monotonic s
  };

  std::size_t on_input(net::Connection& connection, std::string_view bytes) override;
  void on_end_of_input(net::Connection& connection) override;
  void on_end(net::Connection& connection, net::CloseReason why) override;
  void on_output_sent(net::Connection& connection) override;

  void on_accept(const net::Accepted& accepted);
  [[nodiscard]] bool evict_one();
  void evict(std::uint64_t tag);
  [[nodiscard]] static bool is_idle(const Client& client);
  void update_busy(const Client& client);

  [[nodiscard]] double weight_of(const Client& client, std::string_view payload) const;
  [[nodiscard]] double relative_weight(const MappedRequest& mapped) const;
  // Handles one packet; false: it is invalid, and nothing after it can be trusted.
  [[nodiscard]] bool handle_packet(Client& client, std::string_view payload);
  [[nodiscard]] bool handle_message(Client& client, const wire::ajp::FromGateway& message);
  void handle_request(Client& client, const wire::ajp::ForwardRequest& message);
  void handle_body_chunk(Client& client, std::string_view payload);
  void request_body_chunk(Client& client);
  void submit(Client& client);
  void close_after_invalid_input(Client& client);

  void reject(Client& client, const AjpRejection& rejection);
  void respond_without_request(Client& client, std::uint16_t status, bool body_may_follow);
  void respond(Client& client, std::uint16_t status, std::vector<wire::ajp::Header> headers,
               std::string_view body, bool can_reuse);
  [[nodiscard]] Client* find_in_flight(ReplyAddress reply_to);
  void answer(Client& client, std::uint16_t status, std::vector<wire::ajp::Header> headers,
              std::string_view body);
  void send(Client& client, const wire::ajp::FromServer& message);
  void close_after_output(Client& client);

  void check_connections();
  void check_timeouts(Client& client, double now);

  net::Reactor& reactor_;
  const AjpSite site_;
  AjpOptions options_;
  CallerEvents& events_;
  Counters& counters_;
  Logger& log_;
  ListenerAdmission admission_;  // declared before the connections whose output is charged to it
  net::Listener listener_;
  pcg64 random_;
  ClientTable<Client> clients_;
  std::uint64_t next_tag_ = kAjpTagBit + 1;
  bool is_draining_ = false;
  net::Reactor::TimerId check_timer_;
};

}  // namespace damsonspoke::peers
