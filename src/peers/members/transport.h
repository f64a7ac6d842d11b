// The other instances of a fleet: one socket for datagrams, one for full exchanges by stream, and the view
// that decides who is there. Who is heard, and written to, is a list of networks; every buffer has its bound,
// every stream its deadline. Off without an operators' file.
#pragma once

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "members/membership_view.h"
#include "net/connection.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "settings/operator_file.h"

namespace damsonspoke::peers {

class MembershipTransport : private members::MembershipSink, private net::ConnectionOwner {
 public:
  // Throws std::runtime_error with one plain line where an address can't be used.
  MembershipTransport(net::Reactor& reactor, const MembersOptions& options, const std::string& name,
                      std::uint64_t epoch, std::uint64_t seed, Counters& counters, Logger& log);
  ~MembershipTransport() override;
  void start();
  void set_load_report(members::LoadReport load_report) { view_.set_load_report(std::move(load_report)); }
  void leave();
  void report();  // the counters
  std::vector<members::MemberStatus> known_members() const;
  bool may_reach(const std::string& address) const;  // it is one of the networks of members
  // For operators: a table, or JSON.
  std::string status(bool json) const;
  // Somebody has come, gone or changed; on the next turn.
  std::function<void()> on_change;

 private:
  struct Stream {
    std::shared_ptr<net::Connection> connection;
    net::Reactor::TimerId patience;
    bool ours = false, answered = false;
  };
  void send(const std::string& address, const members::Message& message) override;
  void start_push_pull(const std::string& address) override;
  void on_state_changed(const std::string& name, members::MemberState state,
                        members::StateChangeReason reason) override;
  void on_notice(const members::Notice& notice) override;

  void on_connected(net::Connection& connection) override;
  std::size_t on_input(net::Connection& connection, std::string_view bytes) override;
  void on_end_of_input(net::Connection& connection) override;
  void on_end(net::Connection& connection, net::End why) override;
  void on_output_sent(net::Connection& connection) override;

  void on_readable(Poco::Net::ReadableNotification* notification);
  void on_accept(const net::Accepted& accepted);
  void tick();
  bool is_peer(const Poco::Net::SocketAddress& address) const;
  const Poco::Net::SocketAddress* resolved(const std::string& address);
  Stream& add(std::shared_ptr<net::Connection> connection, bool ours);

  net::Reactor& reactor_;
  const MembersOptions options_;
  Counters& counters_;
  Logger& log_;
  members::MembershipView view_;
  Poco::Net::DatagramSocket socket_;
  std::unique_ptr<net::Listener> listener_;
  std::map<std::uint64_t, Stream> streams_;
  std::uint64_t next_tag_ = 1;
  std::map<std::string, Poco::Net::SocketAddress> addresses_;
  net::Reactor::TimerId timer_;
  bool change_posted_ = false, started_ = false;
};

}  // namespace damsonspoke::peers
