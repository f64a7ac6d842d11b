// The client of the dependency that speaks lines (wire/dependency_lines.h): calls on a small pool of
// connections. Each call ends exactly once, by its reply, by its timeout or with its connection.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "net/connection.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "peers/ports.h"

namespace damsonspoke::peers {

// Makes calls, reports their ends, and opens and closes links as the calls need them.
class DependencyClient : public DependencyPort, private net::ConnectionOwner {
 public:
  // Of a connection: a reply with its payload is under 70 KiB, a call under 5.
  static constexpr std::size_t kMaxInputBytes = 96 * 1024;
  static constexpr std::size_t kMaxOutputBytes = 32 * 1024;

  // An empty address: there is no dependency, and nothing is ever called. `max_links`: connections at a time;
  // beyond them calls share one. Throws std::runtime_error where the address can't be used.
  DependencyClient(net::Reactor& reactor, const std::string& address, std::size_t max_links,
                   DependencyEvents& events, Counters& counters, Logger& log);
  ~DependencyClient() override;
  DependencyClient(const DependencyClient&) = delete;
  DependencyClient& operator=(const DependencyClient&) = delete;

  void call(RequestId id, double timeout, std::string_view body) override;
  void cancel(RequestId id) override;
  // Sends new calls to another address; calls in flight stay on their links.
  void move_to(const std::string& address);

 private:
  struct Link {
    std::shared_ptr<net::Connection> connection;
    std::vector<RequestId> calls;           // in flight on it: one, unless max_links_ links are in use
    std::unordered_set<RequestId> carried;  // the requests that it has carried calls of
    double idle_since = 0;
    bool is_retired = false;            // takes no new call and closes after its last one
    net::Reactor::TimerId reply_timer;  // until which a partly received reply must be complete
  };
  struct Call {
    std::uint64_t link = 0;
    bool may_be_sent = false;  // a byte of it may have been sent
    double started_at = 0;
    net::Reactor::TimerId timeout_timer;
  };

  void on_connected(net::Connection& connection) override;
  std::size_t on_input(net::Connection& connection, std::string_view bytes) override;
  void on_end_of_input(net::Connection& connection) override;
  void on_end(net::Connection& connection, net::CloseReason why) override;

  [[nodiscard]] std::uint64_t link_for_call(RequestId id);
  [[nodiscard]] std::uint64_t find_reusable_link(RequestId id);
  [[nodiscard]] std::uint64_t shared_link(RequestId id);
  [[nodiscard]] std::uint64_t open_link();
  void detach_call(RequestId id, std::uint64_t tag, bool is_answered);
  void finish_call(RequestId id, Outcome outcome, std::string_view reply);
  void on_timeout(RequestId id);
  void on_reply(std::uint64_t tag, RequestId id, Outcome outcome, std::string_view body);
  void close_broken(Link& link, std::string_view reason);
  void limit_reply_time(std::uint64_t tag);
  void close_idle_links();

  net::Reactor& reactor_;
  std::string address_;
  std::size_t max_links_;
  DependencyEvents& events_;
  Counters& counters_;
  Logger& log_;
  std::map<std::uint64_t, Link> links_;  // by the connection's tag: the newest last
  std::uint64_t next_tag_ = 1;
  std::unordered_map<RequestId, Call> calls_;
  net::Reactor::TimerId idle_timer_;
};

}  // namespace damsonspoke::peers
