// The orderly end of a stream socket: our sending side is shut down, and what still comes is read and thrown
// away until the peer ends too. Guards against a close over unread bytes, which resets the connection and
// takes answers with it that the peer has not read yet. Bounded in time and number; whoever is over a bound
// is closed at once.
#pragma once

#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <memory>

#include "net/reactor.h"

namespace damsonspoke::net {

class LingeringClose {
 public:
  static constexpr std::size_t kMaxOpen = 12;  // at once, of the descriptors that a process keeps for itself
  static constexpr double kTimeoutSeconds = 0.5;  // s for the peer to end; it is asked to by our own end
  static constexpr std::size_t kMaxDiscardedBytes = std::size_t{256}
                                                    << 10;  // thrown away; who sends more never ends

  // Takes the socket over: its bytes have all been given to the system, and nobody else watches it.
  static void begin(Reactor& reactor, const Poco::Net::StreamSocket& socket);
  static void begin(Reactor& reactor, int fd);
  ~LingeringClose();
  LingeringClose(const LingeringClose&) = delete;
  LingeringClose& operator=(const LingeringClose&) = delete;

 private:
  LingeringClose(Reactor& reactor, const Poco::Net::StreamSocket& socket)
      : reactor_(reactor), socket_(socket) {}
  void on_readable(Poco::Net::ReadableNotification* notification);
  bool discard();  // false: the peer has ended, or may not go on
  void finish();

  Reactor& reactor_;
  Poco::Net::StreamSocket socket_;
  std::size_t discarded_bytes_ = 0;
  bool is_observing_ = false;
  Reactor::TimerId timer_;
};

}  // namespace damsonspoke::net
