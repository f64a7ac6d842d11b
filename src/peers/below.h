// The layer below: calls on one kept connection, with their patience kept here. Each call ends once.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "app/counters.h"
#include "app/logger.h"
#include "net/connection.h"
#include "peers/ports.h"

namespace damsonspoke::peers {

class Below : public BelowPort, private net::ConnectionOwner {
 public:
  // An address that is empty: nothing is ever called.
  Below(net::Reactor& reactor, const std::string& address, BelowEvents& events, Counters& counters,
        Logger& log);
  ~Below() override;

  void call(OpId id, double patience, std::string_view body) override;
  void cancel(OpId id) override;

 private:
  struct Call {
    std::uint64_t connection = 0;
    bool sent = false;  // a byte of it may have left
    double since = 0;
    net::Reactor::TimerId patience;
  };

  void on_connected(net::Connection& connection) override;
  std::size_t on_input(net::Connection& connection, std::string_view bytes) override;
  void on_end_of_input(net::Connection& connection) override;
  void on_end(net::Connection& connection, net::End why) override;

  void connect();
  void end(OpId id, Outcome outcome, std::string_view reply);
  void patience_over(OpId id);
  void look_for_idle();

  net::Reactor& reactor_;
  std::string address_;
  BelowEvents& events_;
  Counters& counters_;
  Logger& log_;
  std::shared_ptr<net::Connection> link_;
  std::uint64_t next_tag_ = 1;
  std::unordered_map<OpId, Call> calls_;
  double last_traffic_ = 0;
  net::Reactor::TimerId idle_timer_;
};

}  // namespace damsonspoke::peers
