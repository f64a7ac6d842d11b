#include "net/listener.h"

#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Observer.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>

namespace damsonspoke::net {
namespace {

using OnReadable = Poco::Observer<Listener, Poco::Net::ReadableNotification>;

constexpr int kMaxAcceptedPerSlice = 64;
constexpr double kSliceSeconds = 0.001;         // accepting a connection at a full table takes an eviction
constexpr double kClosingSliceSeconds = 0.005;  // little time is left until the process ends
constexpr int kBacklog = 1024;                  // connections that may wait to be accepted
constexpr double kDescriptorRetrySeconds = 0.05;

Accepted accept_from(int listening_fd) {
  Accepted accepted;
  socklen_t size = sizeof accepted.from;
  auto* from = reinterpret_cast<sockaddr*>(&accepted.from);
  accepted.fd = ::accept4(listening_fd, from, &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
  return accepted;
}

bool is_out_of_descriptors(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

}  // namespace

Listener::Listener(Reactor& reactor, const Poco::Net::SocketAddress& address, OnAccept on_accept)
    : reactor_(reactor),
      on_accept_(std::move(on_accept)),
      fd_(::socket(address.af(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  if (fd_ < 0) throw std::system_error(errno, std::generic_category(), "cannot create a listening socket");
  const int on = 1;
  ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  socket_ = Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(fd_));  // owns the descriptor from here
  if (::bind(fd_, address.addr(), address.length()) != 0 || ::listen(fd_, kBacklog) != 0)
    throw std::system_error(errno, std::generic_category(), "cannot listen on " + address.toString());
  port_ = socket_.address().port();
  watch();
}

Listener::Listener(Reactor& reactor, int listening_fd, OnAccept on_accept)
    : reactor_(reactor),
      on_accept_(std::move(on_accept)),
      fd_(listening_fd),
      socket_(new Poco::Net::StreamSocketImpl(listening_fd)) {
  watch();
}

Listener::~Listener() {
  reactor_.cancel(next_slice_);
  if (reserved_fd_ >= 0) ::close(reserved_fd_);
  if (state_ == State::kClosed) return;
  unwatch();
  socket_.close();
}

void Listener::watch() {
  if (is_watching_) return;
  is_watching_ = true;
  reactor_.addEventHandler(socket_, OnReadable(*this, &Listener::on_readable));
}

void Listener::unwatch() {
  if (!is_watching_) return;
  is_watching_ = false;
  reactor_.removeEventHandler(socket_, OnReadable(*this, &Listener::on_readable));
}

// ---- Accepting.

void Listener::reserve_descriptor() {
  has_reserve_ = true;
  if (reserved_fd_ < 0) reserved_fd_ = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
}

// Accepts one connection with the reserved descriptor. False: no connection waits, or no descriptor could
// be reserved again.
bool Listener::accept_with_reserved_descriptor() {
  if (reserved_fd_ < 0) return false;
  ::close(reserved_fd_);
  Accepted accepted = accept_from(fd_);
  accepted.uses_reserved_descriptor = true;
  if (accepted.fd >= 0) on_accept_(accepted);
  reserved_fd_ = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  return accepted.fd >= 0 && reserved_fd_ >= 0;
}

// Accepts connections for this time. Timers and other sockets are delayed by that and by accepting one more
// connection at most.
Listener::SliceEnd Listener::accept_slice(double seconds) {
  if (has_reserve_ && reserved_fd_ < 0) reserve_descriptor();
  const double until = monotonic_now() + seconds;
  for (int i = 0; i < kMaxAcceptedPerSlice; ++i) {
    const Accepted accepted = accept_from(fd_);
    if (accepted.fd >= 0) {
      on_accept_(accepted);
    } else if (is_out_of_descriptors(errno)) {
      if (!accept_with_reserved_descriptor()) return SliceEnd::kOutOfDescriptors;
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      return SliceEnd::kNonePending;
    }
    if (monotonic_now() >= until) break;
  }
  return SliceEnd::kOutOfTime;
}

void Listener::on_readable(Poco::Net::ReadableNotification* notification) {
  notification->release();
  run_guarded("accept", [this] {
    if (accept_slice(kSliceSeconds) != SliceEnd::kOutOfDescriptors) return;
    // The poll would report the socket again at once, and nothing could be accepted.
    unwatch();
    next_slice_ = reactor_.after(kDescriptorRetrySeconds, [this] { watch(); });
  });
}

// ---- Closing.

// Closing a listening socket resets the connections that wait in it, and the requests that their clients
// have sent are lost. So new connections are dropped first, then the waiting ones are accepted, then the
// socket is closed.
void Listener::close() {
  if (state_ != State::kListening) return;
  state_ = State::kClosing;
  reactor_.cancel(next_slice_);
  unwatch();
  drop_new_connections();
  accept_pending();
}

// Drops their SYN packets; the clients send them again and find the port closed.
void Listener::drop_new_connections() {
  sock_filter drop_all[] = {{BPF_RET | BPF_K, 0, 0, 0}};
  sock_fprog program{1, drop_all};
  ::setsockopt(fd_, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

void Listener::accept_pending() {
  SliceEnd slice_end = SliceEnd::kNonePending;
  run_guarded("accept", [this, &slice_end] { slice_end = accept_slice(kClosingSliceSeconds); });
  if (slice_end == SliceEnd::kOutOfTime) {
    next_slice_ = reactor_.after(0, [this] { accept_pending(); });
    return;
  }
  state_ = State::kClosed;
  socket_.close();
}

}  // namespace damsonspoke::net
