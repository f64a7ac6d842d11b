// Transports the membership protocol over the network: a socket for datagrams, a listener for push-pulls over
// TCP, and the view that implements the protocol. It receives from and sends to addresses in the configured
// networks only; every buffer has a limit and every stream a timeout. Disabled without an operator file.
#pragma once

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "members/membership_view.h"
#include "net/connection.h"
#include "net/listener.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "settings/operator_file.h"

namespace damsonspoke::peers {

// This process as a member: its sockets, its timers and its MembershipView.
class MembershipTransport : private members::MembershipSink, private net::ConnectionOwner {
 public:
  // `name` and `epoch` identify this member. Throws std::runtime_error with a one-line message if an address
  // can't be used. The reactor, the counters and the log must outlive the transport.
  MembershipTransport(net::Reactor& reactor, const MembersOptions& options, const std::string& name,
                      std::uint64_t epoch, std::uint64_t random_seed, Counters& counters, Logger& log);
  ~MembershipTransport() override;
  MembershipTransport(const MembershipTransport&) = delete;
  MembershipTransport& operator=(const MembershipTransport&) = delete;

  // Starts to receive, and joins the cluster through the seeds.
  void start();
  // Sets the load report of this member.
  void set_load_report(members::LoadReport load_report) { view_.set_load_report(std::move(load_report)); }
  // Notifies other members that this one leaves. The transport continues to answer until it is destroyed.
  void leave();
  // Updates the counters.
  void report();
  // All members except this one.
  [[nodiscard]] std::vector<members::MemberStatus> known_members() const;
  // Whether the address is in one of the configured networks of members.
  [[nodiscard]] bool may_reach(const std::string& address) const;
  // For operators, as JSON or as a table.
  [[nodiscard]] std::string status(bool as_json) const;
  // Called in a later event-loop iteration after states of members have changed.
  std::function<void()> on_change;

 private:
  // One push-pull over a stream: the initiator sends first, the other side answers and closes.
  struct PushPull {
    std::shared_ptr<net::Connection> connection;
    net::Reactor::TimerId timeout;
    bool is_initiator = false;
    bool is_complete = false;  // the records of the other side have been received
  };

  void send(const std::string& address, const members::Message& message) override;
  void start_push_pull(const std::string& address) override;
  void on_state_changed(const std::string& name, members::MemberState state,
                        members::StateChangeReason reason) override;
  void on_notice(const members::Notice& notice) override;

  void on_connected(net::Connection& connection) override;
  std::size_t on_input(net::Connection& connection, std::string_view bytes) override;
  void on_end_of_input(net::Connection& connection) override;
  void on_end(net::Connection& connection, net::CloseReason reason) override;
  void on_output_sent(net::Connection& connection) override;

  void on_readable(Poco::Net::ReadableNotification* notification);
  bool receive_datagram(double now, bool is_stale);
  void on_accept(const net::Accepted& accepted);
  void on_timer();
  void schedule_timer();
  void send_records(net::Connection& connection, double now);
  PushPull& add_push_pull(std::shared_ptr<net::Connection> connection, bool is_initiator);
  PushPull* find_push_pull(const net::Connection& connection);
  [[nodiscard]] bool is_allowed(const Poco::Net::SocketAddress& address) const;
  const Poco::Net::SocketAddress* resolve(const std::string& address);

  net::Reactor& reactor_;
  const MembersOptions options_;
  Counters& counters_;
  Logger& log_;
  members::MembershipView view_;
  Poco::Net::DatagramSocket socket_;
  std::unique_ptr<net::Listener> listener_;
  std::map<std::uint64_t, PushPull> push_pulls_;  // by the connection's tag
  std::uint64_t next_tag_ = 1;
  std::map<std::string, Poco::Net::SocketAddress> resolved_addresses_;
  net::Reactor::TimerId timer_;
  bool is_change_posted_ = false;
  bool is_started_ = false;
};

}  // namespace damsonspoke::peers
