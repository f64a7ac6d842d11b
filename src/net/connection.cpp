#include "net/connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Observer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "net/lingering_close.h"

namespace damsonspoke::net {
namespace {

using Poco::Net::ErrorNotification;
using Poco::Net::ReadableNotification;
using Poco::Net::WritableNotification;

constexpr std::size_t kMaxBytesPerRead = 16 * 1024;  // then other sockets are served
constexpr int kMaxReadsPerCall = 8;  // of read_now(); more than a peer sends that waits for answers
constexpr std::size_t kMaxSpareCapacityBytes = 4 * 1024;  // that a buffer may hold beyond its content

void disable_nagle(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

Connection::Connection(Reactor& reactor, ConnectionOwner& owner, const Poco::Net::StreamSocket& socket,
                       State state, BufferLimits limits)
    : reactor_(reactor), owner_(owner), socket_(socket), state_(state), limits_(limits) {}

std::shared_ptr<Connection> Connection::accepted(Reactor& reactor, ConnectionOwner& owner, int fd,
                                                 BufferLimits limits) {
  Poco::Net::StreamSocket socket(new Poco::Net::StreamSocketImpl(fd));
  disable_nagle(fd);
  std::shared_ptr<Connection> connection(new Connection(reactor, owner, socket, State::kOpen, limits));
  connection->observe_readable(true);
  return connection;
}

std::shared_ptr<Connection> Connection::connecting(Reactor& reactor, ConnectionOwner& owner,
                                                   const Poco::Net::SocketAddress& address,
                                                   BufferLimits limits,
                                                   const std::optional<Poco::Net::SocketAddress>& from) {
  Poco::Net::StreamSocket socket;
  bool has_socket = true;
  try {
    socket = Poco::Net::StreamSocket(address.family());
  } catch (const Poco::Exception&) {
    has_socket = false;  // out of descriptors: reported as refused, so that the owner tries again later
  }
  std::shared_ptr<Connection> connection(new Connection(reactor, owner, socket, State::kConnecting, limits));
  if (!has_socket) return connection->close(CloseReason::kRefused), connection;
  const int fd = connection->fd();
  connection->socket_.setBlocking(false);
  disable_nagle(fd);
  if (from && ::bind(fd, from->addr(), from->length()) != 0)
    return connection->close(CloseReason::kRefused), connection;
  if (::connect(fd, address.addr(), address.length()) == 0 || errno == EINPROGRESS) {
    connection->observe_writable(true);
  } else {
    connection->close(CloseReason::kRefused);
  }
  return connection;
}

Connection::~Connection() {
  if (state_ == State::kClosed) return;
  set_observers(false, false, false);
  release(pending_output_bytes());
  socket_.close();
}

void Connection::observe_readable(bool want) { set_observers(want, observes_writable_, observes_errors_); }
void Connection::observe_writable(bool want) { set_observers(observes_readable_, want, observes_errors_); }
void Connection::observe_errors(bool want) { set_observers(observes_readable_, observes_writable_, want); }

// Removes all observers before it adds those that are wanted: the reactor reduces the events that it polls
// a socket for only when the last of its observers is removed. Otherwise the poll would return at once over
// and over for a writable socket that nothing is written to.
void Connection::set_observers(bool read, bool write, bool error) {
  if (read == observes_readable_ && write == observes_writable_ && error == observes_errors_) return;
  const Poco::Observer<Connection, ReadableNotification> on_read(*this, &Connection::on_readable);
  const Poco::Observer<Connection, WritableNotification> on_write(*this, &Connection::on_writable);
  const Poco::Observer<Connection, ErrorNotification> on_error(*this, &Connection::on_error);
  if (observes_readable_) reactor_.removeEventHandler(socket_, on_read);
  if (observes_writable_) reactor_.removeEventHandler(socket_, on_write);
  if (observes_errors_) reactor_.removeEventHandler(socket_, on_error);
  observes_readable_ = read;
  observes_writable_ = write;
  observes_errors_ = error;
  if (observes_readable_) reactor_.addEventHandler(socket_, on_read);
  if (observes_writable_) reactor_.addEventHandler(socket_, on_write);
  if (observes_errors_) reactor_.addEventHandler(socket_, on_error);
}

void Connection::pause_reading(bool pause) {
  is_paused_ = pause;
  if (state_ != State::kOpen || is_input_stopped_) return;
  if (pause || input_.empty()) return observe_readable(!pause);
  reactor_.post([self = shared_from_this()] { self->resume_reading(); });
}

// The end of the peer's input must not be noticed before the buffered input is delivered.
void Connection::resume_reading() {
  if (is_paused_) return;
  deliver_buffered();
  if (state_ == State::kOpen && !is_paused_ && !is_input_stopped_) observe_readable(true);
}

void Connection::send(std::string_view bytes) {
  if (state_ == State::kClosed) return;
  if (pending_output_bytes() + bytes.size() > limits_.output) return close(CloseReason::kOverflow);
  if (state_ == State::kOpen && pending_output_bytes() == 0) {
    const ssize_t wrote = ::send(fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (wrote >= 0) {
      bytes.remove_prefix(static_cast<std::size_t>(wrote));
      bytes_out_ += static_cast<std::uint64_t>(wrote);
    } else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
      return close(CloseReason::kBroken);
    }
    if (bytes.empty()) return;
  }
  if (output_offset_ > 0 && output_offset_ >= output_.size() / 2) {
    output_.erase(0, output_offset_);
    output_offset_ = 0;
  }
  if (limits_.pool != nullptr && !limits_.pool->fits(bytes.size())) return close(CloseReason::kOverflow);
  output_.append(bytes);
  charge(bytes.size());
  if (state_ == State::kOpen) observe_writable(true);
}

void Connection::write_some() {
  while (pending_output_bytes() > 0) {
    const ssize_t wrote =
        ::send(fd(), output_.data() + output_offset_, pending_output_bytes(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (wrote < 0) {
      if (errno == EINTR) continue;
      if (errno != EAGAIN && errno != EWOULDBLOCK) close(CloseReason::kBroken);
      return;
    }
    output_offset_ += static_cast<std::size_t>(wrote);
    bytes_out_ += static_cast<std::uint64_t>(wrote);
    release(static_cast<std::size_t>(wrote));
  }
  output_.clear();
  output_offset_ = 0;
  if (output_.capacity() > kMaxSpareCapacityBytes) output_.shrink_to_fit();
  observe_writable(false);
  if (closes_after_output_) return begin_lingering_close();
  owner_.on_output_sent(*this);
}

void Connection::stop_reading() {
  if (state_ != State::kOpen || is_input_stopped_) return;
  is_input_stopped_ = true;
  observe_readable(false);
  observe_errors(true);  // a reset must still be noticed
}

void Connection::charge(std::size_t bytes) {
  if (limits_.pool != nullptr) limits_.pool->charge(bytes);
}

void Connection::release(std::size_t bytes) {
  if (limits_.pool != nullptr) limits_.pool->release(bytes);
}

void Connection::close(CloseReason why) {
  if (state_ == State::kClosed) return;
  set_observers(false, false, false);
  state_ = State::kClosed;
  unsent_bytes_ = pending_output_bytes();
  release(pending_output_bytes());
  output_ = {};
  output_offset_ = 0;
  socket_.close();
  reactor_.post([self = shared_from_this(), why] { self->owner_.on_end(*self, why); });
}

void Connection::close_gracefully() {
  if (state_ != State::kOpen) return close();
  stop_reading();
  if (pending_output_bytes() == 0) return begin_lingering_close();
  closes_after_output_ = true;
}

void Connection::begin_lingering_close() {
  if (has_peer_ended_) return close();
  set_observers(false, false, false);
  state_ = State::kClosed;
  LingeringClose::begin(reactor_, socket_);
  reactor_.post([self = shared_from_this()] { self->owner_.on_end(*self, CloseReason::kOrderly); });
}

void Connection::read_now() {
  const auto self = shared_from_this();
  for (int i = 0; i < kMaxReadsPerCall && state_ == State::kOpen && !is_paused_ && !is_input_stopped_; ++i) {
    if (nothing_to_read()) return;
    read_some();
  }
}

bool Connection::peer_has_closed() const {
  if (state_ != State::kOpen) return false;
  char byte;
  const ssize_t got = ::recv(fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

bool Connection::nothing_to_read() const {
  char byte;
  return ::recv(fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void Connection::read_some() {
  char bytes[kMaxBytesPerRead];
  if (state_ != State::kOpen || is_paused_ || is_input_stopped_) return;
  const ssize_t got = ::recv(fd(), bytes, sizeof bytes, MSG_DONTWAIT);
  if (got < 0) {
    if (errno != EINTR && errno != EAGAIN && errno != EWOULDBLOCK) close(CloseReason::kBroken);
    return;
  }
  if (got == 0) {
    has_peer_ended_ = true;
    stop_reading();
    owner_.on_end_of_input(*this);
    return;
  }
  bytes_in_ += static_cast<std::uint64_t>(got);
  last_input_at_ = monotonic_now();
  const std::string_view piece(bytes, static_cast<std::size_t>(got));
  if (!input_.empty()) {
    input_.append(piece);
    return deliver_buffered();
  }
  // Most reads contain complete messages: only the remainder is buffered, so that hundreds of connections
  // take little memory.
  is_delivering_ = true;
  const std::size_t used_bytes = owner_.on_input(*this, piece);
  is_delivering_ = false;
  if (state_ == State::kOpen) input_.assign(piece.substr(used_bytes));
}

void Connection::deliver_buffered() {
  if (state_ != State::kOpen || is_delivering_ || input_.empty()) return;
  is_delivering_ = true;
  const std::size_t used_bytes = owner_.on_input(*this, input_);
  is_delivering_ = false;
  input_.erase(0, used_bytes);
  if (input_.capacity() > input_.size() + kMaxSpareCapacityBytes) input_.shrink_to_fit();
  if (input_.size() > limits_.input) close(CloseReason::kOverflow);
}

void Connection::on_readable(ReadableNotification* notification) {
  notification->release();
  const auto self = shared_from_this();
  run_guarded("read", [this] { read_some(); });
}

void Connection::on_writable(WritableNotification* notification) {
  notification->release();
  const auto self = shared_from_this();
  run_guarded("write", [this] {
    if (state_ == State::kConnecting) {
      int error = 0;
      socklen_t size = sizeof error;
      ::getsockopt(fd(), SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0) return close(CloseReason::kRefused);
      state_ = State::kOpen;
      observe_readable(!is_paused_);
      owner_.on_connected(*this);
      if (state_ != State::kOpen) return;
    }
    if (state_ == State::kOpen) write_some();
  });
}

void Connection::on_error(ErrorNotification* notification) {
  notification->release();
  const auto self = shared_from_this();
  run_guarded("error", [this] { close(CloseReason::kBroken); });
}

}  // namespace damsonspoke::net
