// A listening socket in the reactor. It accepts in slices of a bounded time, so that a burst of connections
// delays neither timers nor other sockets, and pauses while the process is out of descriptors.
#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>
#include <sys/socket.h>

#include <cstdint>
#include <functional>

#include "net/reactor.h"

namespace damsonspoke::net {

// An accepted connection.
struct Accepted {
  int fd = -1;  // owned by the receiver
  sockaddr_storage from{};
  bool uses_reserved_descriptor = false;  // it took the last descriptor of the process
};

class Listener {
 public:
  using OnAccept = std::function<void(const Accepted& accepted)>;

  // Throws std::system_error where listening on the address fails.
  Listener(Reactor& reactor, const Poco::Net::SocketAddress& address, OnAccept on_accept);
  // Takes over a socket of any family that listens already.
  Listener(Reactor& reactor, int listening_fd, OnAccept on_accept);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Reserves one descriptor. While the process is out of descriptors, the reserved one is used to accept
  // one connection at a time, marked with uses_reserved_descriptor, so that its client can be sent a
  // rejection, or be admitted in place of another one, before accepting pauses.
  void reserve_descriptor();

  // Drops new connections from now on, accepts those that wait already over the next event-loop iterations,
  // then closes. Connections that still wait when the listener is destroyed are reset.
  void close();
  [[nodiscard]] bool is_open() const { return state_ != State::kClosed; }
  [[nodiscard]] std::uint16_t port() const { return port_; }

 private:
  enum class State { kListening, kClosing, kClosed };
  enum class SliceEnd {
    kNonePending,
    kOutOfTime,
    kOutOfDescriptors,
  };

  void on_readable(Poco::Net::ReadableNotification* notification);
  SliceEnd accept_slice(double seconds);
  bool accept_with_reserved_descriptor();
  void watch();
  void unwatch();
  void drop_new_connections();
  void accept_pending();

  Reactor& reactor_;
  OnAccept on_accept_;
  int fd_ = -1;
  int reserved_fd_ = -1;
  bool has_reserve_ = false;
  bool is_watching_ = false;
  State state_ = State::kListening;
  Poco::Net::StreamSocket socket_;
  Reactor::TimerId next_slice_;
  std::uint16_t port_ = 0;
};

}  // namespace damsonspoke::net
