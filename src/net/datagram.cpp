#include "net/datagram.h"

#include <sys/socket.h>

namespace damsonspoke::net {

DatagramSender::DatagramSender(const Poco::Net::SocketAddress& to) : to_(to), socket_(to.family()) {}

void DatagramSender::move_to(const Poco::Net::SocketAddress& to) {
  if (to.af() != to_.af()) socket_ = Poco::Net::DatagramSocket(to.family());
  to_ = to;
}

// Not connected: a connected socket would report the last datagram's refusal on the next one and lose that
// too.
bool DatagramSender::send(std::string_view bytes) {
  const ssize_t sent = ::sendto(socket_.impl()->sockfd(), bytes.data(), bytes.size(),
                                MSG_DONTWAIT | MSG_NOSIGNAL, to_.addr(), to_.length());
  return sent == static_cast<ssize_t>(bytes.size());
}

}  // namespace damsonspoke::net
