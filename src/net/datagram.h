// A socket for datagrams that get no answer.
#pragma once

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <string_view>

namespace damsonspoke::net {

class DatagramSender {
 public:
  explicit DatagramSender(const Poco::Net::SocketAddress& to);
  void move_to(const Poco::Net::SocketAddress& to);
  // Returns false where the datagram cannot be sent now; it is not sent again.
  bool send(std::string_view bytes);

 private:
  Poco::Net::SocketAddress to_;
  Poco::Net::DatagramSocket socket_;
};

}  // namespace damsonspoke::net
