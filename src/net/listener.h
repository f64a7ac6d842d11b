// A listening socket in the reactor. It accepts in slices of a bounded time, so that a crowd of newcomers
// holds up neither timers nor other sockets, and pauses where descriptors have run out.
#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>
#include <sys/socket.h>

#include <cstdint>
#include <functional>

#include "net/reactor.h"

namespace damsonspoke::net {

// A connection that was accepted.
struct Accepted {
  int fd = -1;  // the receiver's
  sockaddr_storage from{};
  bool uses_reserved_descriptor = false;  // it took the last descriptor that there was
};

class Listener {
 public:
  using OnAccept = std::function<void(const Accepted& accepted)>;

  // Throws std::system_error where the address can't be listened on.
  Listener(Reactor& reactor, const Poco::Net::SocketAddress& address, OnAccept on_accept);
  // A socket that listens already, of any family.
  Listener(Reactor& reactor, int listening_fd, OnAccept on_accept);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Keeps one descriptor back. Out of descriptors, it is given for one newcomer at a time, marked as scarce,
  // so that it can be told, or let in for another, before the pause.
  void reserve_descriptor();

  // Keeps newcomers out from now on, accepts those that wait already over the next turns, then closes. Those
  // that still wait when the listener is destroyed are reset.
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
