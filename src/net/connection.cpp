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

constexpr std::size_t kReadAtOnce = 16 * 1024;   // bytes; then the other sockets get their turn
constexpr int kReadsAtOnce = 8;                  // pieces; more than a peer that waits for answers sends
constexpr std::size_t kKeptCapacity = 4 * 1024;  // bytes that a buffer may hold beyond what is in it

void no_delay(int fd) {
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
  no_delay(fd);
  std::shared_ptr<Connection> made(new Connection(reactor, owner, socket, State::kOpen, limits));
  made->want_read(true);
  return made;
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
    has_socket = false;  // out of descriptors: told as refused, so that who asked tries again later
  }
  std::shared_ptr<Connection> made(new Connection(reactor, owner, socket, State::kConnecting, limits));
  if (!has_socket) return made->close(CloseReason::kRefused), made;
  const int fd = made->fd();
  made->socket_.setBlocking(false);
  no_delay(fd);
  if (from && ::bind(fd, from->addr(), from->length()) != 0) return made->close(CloseReason::kRefused), made;
  if (::connect(fd, address.addr(), address.length()) == 0 || errno == EINPROGRESS) {
    made->want_write(true);
  } else {
    made->close(CloseReason::kRefused);
  }
  return made;
}

Connection::~Connection() {
  if (state_ == State::kClosed) return;
  watch(false, false, false);
  release(waiting());
  socket_.close();
}

void Connection::want_read(bool want) { watch(want, writing_, watching_); }
void Connection::want_write(bool want) { watch(reading_, want, watching_); }
void Connection::want_error(bool want) { watch(reading_, writing_, want); }

// All observers go before those that are wanted come back: the reactor narrows what it polls for only with
// the last of a socket's observers. Guards against a poll that returns at once for ever, since the socket can
// be written and nobody wants to.
void Connection::watch(bool read, bool write, bool error) {
  if (read == reading_ && write == writing_ && error == watching_) return;
  const Poco::Observer<Connection, ReadableNotification> on_read(*this, &Connection::on_readable);
  const Poco::Observer<Connection, WritableNotification> on_write(*this, &Connection::on_writable);
  const Poco::Observer<Connection, ErrorNotification> on_error(*this, &Connection::on_error);
  if (reading_) reactor_.removeEventHandler(socket_, on_read);
  if (writing_) reactor_.removeEventHandler(socket_, on_write);
  if (watching_) reactor_.removeEventHandler(socket_, on_error);
  reading_ = read;
  writing_ = write;
  watching_ = error;
  if (reading_) reactor_.addEventHandler(socket_, on_read);
  if (writing_) reactor_.addEventHandler(socket_, on_write);
  if (watching_) reactor_.addEventHandler(socket_, on_error);
}

void Connection::pause_reading(bool pause) {
  paused_ = pause;
  if (state_ != State::kOpen || input_over_) return;
  want_read(!pause);
  if (!pause && !in_.empty()) {
    reactor_.post([self = shared_from_this()] { self->deliver(); });
  }
}

void Connection::pause_reading_until(double time) {
  pause_reading(true);
  reactor_.at(time, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->pause_reading(false);
  });
}

void Connection::send(std::string_view bytes) {
  if (state_ == State::kClosed) return;
  if (waiting() + bytes.size() > limits_.output) return close(CloseReason::kOverflow);
  if (state_ == State::kOpen && waiting() == 0) {
    const ssize_t wrote = ::send(fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (wrote >= 0) {
      bytes.remove_prefix(static_cast<std::size_t>(wrote));
      bytes_out_ += static_cast<std::uint64_t>(wrote);
    } else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
      return close(CloseReason::kBroken);
    }
    if (bytes.empty()) return;
  }
  if (out_at_ > 0 && out_at_ >= out_.size() / 2) {
    out_.erase(0, out_at_);
    out_at_ = 0;
  }
  if (limits_.pool != nullptr && !limits_.pool->fits(bytes.size())) return close(CloseReason::kOverflow);
  out_.append(bytes);
  charge(bytes.size());
  if (state_ == State::kOpen) want_write(true);
}

void Connection::write_some() {
  while (waiting() > 0) {
    const ssize_t wrote = ::send(fd(), out_.data() + out_at_, waiting(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (wrote < 0) {
      if (errno == EINTR) continue;
      if (errno != EAGAIN && errno != EWOULDBLOCK) close(CloseReason::kBroken);
      return;
    }
    out_at_ += static_cast<std::size_t>(wrote);
    bytes_out_ += static_cast<std::uint64_t>(wrote);
    release(static_cast<std::size_t>(wrote));
  }
  out_.clear();
  out_at_ = 0;
  if (out_.capacity() > kKeptCapacity) out_.shrink_to_fit();
  want_write(false);
  if (ending_) return part();
  owner_.on_output_sent(*this);
}

void Connection::stop_reading() {
  if (state_ != State::kOpen || input_over_) return;
  input_over_ = true;
  want_read(false);
  want_error(true);  // a reset is still to be heard of
}

void Connection::charge(std::size_t bytes) {
  if (limits_.pool != nullptr) limits_.pool->charge(bytes);
}

void Connection::release(std::size_t bytes) {
  if (limits_.pool != nullptr) limits_.pool->release(bytes);
}

void Connection::close(CloseReason why) {
  if (state_ == State::kClosed) return;
  watch(false, false, false);
  state_ = State::kClosed;
  unwritten_ = waiting();
  release(waiting());
  out_ = {};
  out_at_ = 0;
  socket_.close();
  reactor_.post([self = shared_from_this(), why] { self->owner_.on_end(*self, why); });
}

void Connection::end() {
  if (state_ != State::kOpen) return close();
  stop_reading();
  if (waiting() == 0) return part();
  ending_ = true;
}

void Connection::part() {
  if (peer_ended_) return close();
  watch(false, false, false);
  state_ = State::kClosed;
  LingeringClose::begin(reactor_, socket_);
  reactor_.post([self = shared_from_this()] { self->owner_.on_end(*self, CloseReason::kOrderly); });
}

void Connection::read_now() {
  const auto self = shared_from_this();
  for (int i = 0; i < kReadsAtOnce && state_ == State::kOpen && !paused_ && !input_over_; ++i) {
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
  char bytes[kReadAtOnce];
  if (state_ != State::kOpen || paused_ || input_over_) return;
  const ssize_t got = ::recv(fd(), bytes, sizeof bytes, MSG_DONTWAIT);
  if (got < 0) {
    if (errno != EINTR && errno != EAGAIN && errno != EWOULDBLOCK) close(CloseReason::kBroken);
    return;
  }
  if (got == 0) {
    peer_ended_ = true;
    stop_reading();
    owner_.on_end_of_input(*this);
    return;
  }
  bytes_in_ += static_cast<std::uint64_t>(got);
  const std::string_view piece(bytes, static_cast<std::size_t>(got));
  if (!in_.empty()) {
    in_.append(piece);
    return deliver();
  }
  // Most pieces hold whole messages: only what is left over is kept, so that hundreds of connections cost
  // little memory.
  delivering_ = true;
  const std::size_t used = owner_.on_input(*this, piece);
  delivering_ = false;
  if (state_ == State::kOpen) in_.assign(piece.substr(used));
}

void Connection::deliver() {
  if (state_ != State::kOpen || delivering_ || in_.empty()) return;
  delivering_ = true;
  const std::size_t used = owner_.on_input(*this, in_);
  delivering_ = false;
  in_.erase(0, used);
  if (in_.capacity() > in_.size() + kKeptCapacity) in_.shrink_to_fit();
  if (in_.size() > limits_.input) close(CloseReason::kOverflow);
}

void Connection::on_readable(ReadableNotification* notification) {
  notification->release();
  const auto self = shared_from_this();
  guarded("read", [this] { read_some(); });
}

void Connection::on_writable(WritableNotification* notification) {
  notification->release();
  const auto self = shared_from_this();
  guarded("write", [this] {
    if (state_ == State::kConnecting) {
      int error = 0;
      socklen_t size = sizeof error;
      ::getsockopt(fd(), SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0) return close(CloseReason::kRefused);
      state_ = State::kOpen;
      want_read(!paused_);
      owner_.on_connected(*this);
      if (state_ != State::kOpen) return;
    }
    if (state_ == State::kOpen) write_some();
  });
}

void Connection::on_error(ErrorNotification* notification) {
  notification->release();
  const auto self = shared_from_this();
  guarded("error", [this] { close(CloseReason::kBroken); });
}

}  // namespace damsonspoke::net
