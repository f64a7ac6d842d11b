// Closes a stream socket without losing answers in transit: shuts down the sending side, then reads and
// discards input until the peer closes too. Closing a socket with unread input would reset the connection
// and discard answers that the peer has not read yet. Bounded in time, bytes and number; a socket beyond a
// bound is closed at once.
#pragma once

#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <memory>

#include "net/reactor.h"

namespace damsonspoke::net {

class LingeringClose {
 public:
  // Sockets at a time, which use descriptors that the process reserves for itself.
  static constexpr std::size_t kMaxOpen = 12;
  // For the peer to close, as the shutdown of the sending side asks it to.
  static constexpr double kTimeoutSeconds = 0.5;
  // A peer that sends more is not about to close.
  static constexpr std::size_t kMaxDiscardedBytes = std::size_t{256} << 10;

  // Takes over the socket. All its output must have been written, and no other observer may be registered
  // for it.
  static void begin(Reactor& reactor, const Poco::Net::StreamSocket& socket);
  static void begin(Reactor& reactor, int fd);
  ~LingeringClose();
  LingeringClose(const LingeringClose&) = delete;
  LingeringClose& operator=(const LingeringClose&) = delete;

 private:
  LingeringClose(Reactor& reactor, const Poco::Net::StreamSocket& socket)
      : reactor_(reactor), socket_(socket) {}
  void on_readable(Poco::Net::ReadableNotification* notification);
  bool discard();  // false: the peer has closed or has exceeded kMaxDiscardedBytes
  void finish();

  Reactor& reactor_;
  Poco::Net::StreamSocket socket_;
  std::size_t discarded_bytes_ = 0;
  bool is_observing_ = false;
  Reactor::TimerId timer_;
};

}  // namespace damsonspoke::net
