// The layer below: calls on a small pool of connections, with their patience kept here. Each call ends once.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/connection.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "peers/ports.h"

namespace damsonspoke::peers {

class DependencyClient : public DependencyPort, private net::ConnectionOwner {
 public:
  // Bytes a connection: a reply with its payload is under 70 KiB, a call under 5.
  static constexpr std::size_t kMostInput = 96 * 1024, kMostOutput = 32 * 1024;

  // An address that is empty: nothing is ever called.
  DependencyClient(net::Reactor& reactor, const std::string& address, std::size_t most_links,
                   DependencyEvents& events, Counters& counters, Logger& log);
  ~DependencyClient() override;

  void call(RequestId id, double patience, std::string_view body) override;
  void cancel(RequestId id) override;
  // The layer is reached elsewhere from now on; calls in hand stay where they are.
  void move_to(const std::string& address);

 private:
  struct Link {
    std::shared_ptr<net::Connection> connection;
    std::vector<RequestId> calls;  // in hand on it: one, unless there is no descriptor left for another
    RequestId last = 0;            // whose call it carried last
    double idle_since = 0;
    bool spent = false;          // takes no new call, and closes after its last one
    net::Reactor::TimerId rest;  // until which a reply that has begun must be whole
  };
  struct Call {
    std::uint64_t link = 0;
    bool sent = false;  // a byte of it may have left
    double since = 0;
    net::Reactor::TimerId patience;
  };

  void on_connected(net::Connection& connection) override;
  std::size_t on_input(net::Connection& connection, std::string_view bytes) override;
  void on_end_of_input(net::Connection& connection) override;
  void on_end(net::Connection& connection, net::End why) override;

  std::uint64_t link_for_call(RequestId id);
  void take_off(RequestId id, std::uint64_t tag, bool answered);
  void end(RequestId id, Outcome outcome, std::string_view reply);
  void patience_over(RequestId id);
  void spoilt(Link& link, const char* what);
  void look_for_idle();

  net::Reactor& reactor_;
  std::string address_;
  std::size_t most_links_;
  DependencyEvents& events_;
  Counters& counters_;
  Logger& log_;
  std::map<std::uint64_t, Link> links_;  // by the connection's tag: the newest last
  std::uint64_t next_tag_ = 1;
  std::unordered_map<RequestId, Call> calls_;
  net::Reactor::TimerId idle_timer_;
};

}  // namespace damsonspoke::peers
