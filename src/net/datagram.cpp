#include "net/datagram.h"

#include <sys/socket.h>

namespace damsonspoke::net {

DatagramSender::DatagramSender(const Poco::Net::SocketAddress& to) : to_(to), socket_(to.family()) {}

void DatagramSender::move_to(const Poco::Net::SocketAddress& to) {
  if (to.af() != to_.af()) socket_ = Poco::Net::DatagramSocket(to.family());
  to_ = to;
}

// The socket is not connected: a connected one would report that the last datagram was refused on the next
// send, and lose that datagram too.
bool DatagramSender::send(std::string_view bytes) {
  const ssize_t sent = ::sendto(socket_.impl()->sockfd(), bytes.data(), bytes.size(),
                                MSG_DONTWAIT | MSG_NOSIGNAL, to_.addr(), to_.length());
  return sent == static_cast<ssize_t>(bytes.size());
}

}  // namespace damsonspoke::net
