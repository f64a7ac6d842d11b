// The control socket: operators' queries to a running process, on a Unix socket in a private folder.
// Subsystems register the queries that they answer. One query a connection, a few connections at once, a
// second for each.
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
  // Answers a query; gets all its words, the registered one first. An exception's text is sent as the error.
  using QueryHandler = std::function<std::string(const std::vector<std::string>& tokens)>;

  // Throws std::runtime_error with one plain line where the folder does not exist or is not private, or
  // another process answers there.
  Server(net::Reactor& reactor, const std::string& folder, Logger& log);
  ~Server() override;
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Registers the answer to queries that begin with this word.
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
  void on_end(net::Connection& connection, net::CloseReason why) override;
  void on_output_sent(net::Connection& connection) override;
  void on_accept(const net::Accepted& accepted);
  std::string handle(const std::vector<std::string>& tokens) const;

  net::Reactor& reactor_;
  Logger& log_;
  const std::string path_;
  std::map<std::string, QueryHandler> handlers_;
  std::map<std::uint64_t, OpenQuery> queries_;  // by the tag of their connection
  std::uint64_t next_tag_ = 1;
  std::unique_ptr<net::Listener> listener_;
};

// The path of the socket of a process with that folder.
std::string socket_path(const std::string& folder);
// Sends a query to a running process and waits for its answer, at most so long. Throws std::runtime_error
// with one plain line where nobody listens, or no complete answer arrives.
std::string send_query(const std::string& folder, const std::vector<std::string>& tokens, double seconds);

}  // namespace damsonspoke::control
