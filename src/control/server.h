// The control socket: a Unix socket in a private folder on which a running process answers queries of
// operators. Subsystems register a handler for each query. A connection carries one query and must end within
// one second; only a few connections may be open at the same time.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/connection.h"
#include "net/listener.h"
#include "observability/logger.h"

namespace damsonspoke::control {

class Server : private net::ConnectionOwner {
 public:
  // Returns the response to a query. `tokens`: all tokens of the query, the registered command first. The
  // text of an exception is sent as an error response.
  using QueryHandler = std::function<std::string(const std::vector<std::string>& tokens)>;

  // Throws std::runtime_error with a message of one line if the folder does not exist or is not private, or
  // if another process accepts connections on its socket.
  Server(net::Reactor& reactor, const std::string& folder, Logger& log);
  ~Server() override;
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Registers the handler of queries whose first token is `command`.
  void add_handler(std::string command, QueryHandler handler) {
    handlers_[std::move(command)] = std::move(handler);
  }

 private:
  struct OpenQuery {
    std::shared_ptr<net::Connection> connection;
    net::Reactor::TimerId timeout;
    bool is_answered = false;
  };
  std::size_t on_input(net::Connection& connection, std::string_view bytes) override;
  void on_end_of_input(net::Connection& connection) override;
  void on_end(net::Connection& connection, net::CloseReason reason) override;
  void on_output_sent(net::Connection& connection) override;
  void on_accept(const net::Accepted& accepted);
  std::string handle(const std::vector<std::string>& tokens) const;

  net::Reactor& reactor_;
  Logger& log_;
  const std::string path_;
  std::map<std::string, QueryHandler> handlers_;
  std::map<std::uint64_t, OpenQuery> queries_;  // by the tag of the connection
  std::uint64_t next_tag_ = 1;
  std::unique_ptr<net::Listener> listener_;
};

// The path of the control socket in a folder.
std::string socket_path(const std::string& folder);
// Sends a query to a running process and returns the text of its response. Throws std::runtime_error with a
// message of one line if no process listens, the response is an error, or the process sends nothing for
// `timeout_seconds` before the response is complete.
std::string send_query(const std::string& folder, const std::vector<std::string>& tokens,
                       double timeout_seconds);

}  // namespace damsonspoke::control
