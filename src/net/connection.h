// One stream socket in the reactor, with bounded buffers. It reads while its owner lets it, and asks to be
// told when it can write only while output waits.
#pragma once

#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/reactor.h"

namespace damsonspoke::net {

enum class CloseReason {
  kRefused,   // never connected: nothing that was written has left
  kOrderly,   // the peer closed, or we did
  kBroken,    // reset, or another error
  kOverflow,  // more output waits than is allowed
};

class Connection;

class ConnectionOwner {
 public:
  virtual ~ConnectionOwner() = default;
  virtual void on_connected(Connection&) {}
  // Returns how many bytes were used; the rest is offered again with what follows.
  virtual std::size_t on_input(Connection& connection, std::string_view bytes) = 0;
  // The peer will write no more; what it asked may still be answered.
  virtual void on_end_of_input(Connection& connection) = 0;
  // Once, the last call for this connection, never from inside one of its own methods.
  virtual void on_end(Connection& connection, CloseReason why) = 0;
  // All output has left.
  virtual void on_output_sent(Connection&) {}
};

// Output that waits on several connections together.
struct OutputPool {
  std::size_t max_bytes = 0;
  std::size_t used_bytes = 0;
  OutputPool* parent = nullptr;  // of which this is a part; outlives it
  bool fits(std::size_t bytes) const {
    return used_bytes + bytes <= max_bytes && (parent == nullptr || parent->fits(bytes));
  }
  void charge(std::size_t bytes) {
    used_bytes += bytes;
    if (parent != nullptr) parent->charge(bytes);
  }
  void release(std::size_t bytes) {
    used_bytes -= bytes;
    if (parent != nullptr) parent->release(bytes);
  }
};

struct BufferLimits {
  std::size_t input = 64 * 1024;
  std::size_t output = 256 * 1024;
  OutputPool* pool = nullptr;  // outlives the connection
};

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  // An accepted socket, or one that begins to connect to an address; `from`: an address of this machine.
  static std::shared_ptr<Connection> accepted(Reactor& reactor, ConnectionOwner& owner, int fd,
                                              BufferLimits limits);
  static std::shared_ptr<Connection> connecting(Reactor& reactor, ConnectionOwner& owner,
                                                const Poco::Net::SocketAddress& address, BufferLimits limits,
                                                const std::optional<Poco::Net::SocketAddress>& from = {});
  ~Connection();

  void send(std::string_view bytes);
  void close(CloseReason why = CloseReason::kOrderly);  // at once; on_end follows on the next turn
  // In order: nothing more is read, what waits is written, then the socket takes its leave (net/farewell.h).
  // Its owner hears of the end as of a close, once all is written.
  void end();
  // What lies in the socket is read and delivered now, not on the reactor's next turn. Not from inside one of
  // its owner's calls.
  void read_now();
  void pause_reading(bool pause);
  void pause_reading_until(double time);  // monotonic, s
  void stop_reading();                    // for good; what is to be written still leaves
  bool connected() const { return state_ == State::kOpen; }
  bool open() const { return state_ != State::kClosed; }
  std::size_t waiting() const { return output_.size() - output_offset_; }
  // Once closed: bytes that were given to it and not to the system, its refused ones among them.
  std::size_t unwritten() const { return unsent_bytes_; }
  // Bytes that came from the peer, and that the system took for it, since it was made.
  std::uint64_t bytes_in() const { return bytes_in_; }
  std::uint64_t bytes_out() const { return bytes_out_; }
  // The peer has closed its side, or the connection is broken, with nothing before that to read: asks the
  // system.
  bool peer_has_closed() const;
  bool nothing_to_read() const;  // neither bytes nor the peer's end: asks the system, not the reactor
  std::uint64_t tag = 0;         // the owner's name for it

 private:
  enum class State { kConnecting, kOpen, kClosed };
  Connection(Reactor& reactor, ConnectionOwner& owner, const Poco::Net::StreamSocket& socket, State state,
             BufferLimits limits);

  void on_readable(Poco::Net::ReadableNotification* notification);
  void on_writable(Poco::Net::WritableNotification* notification);
  void on_error(Poco::Net::ErrorNotification* notification);
  void read_some();
  void write_some();
  void begin_lingering_close();
  void observe_readable(bool want);
  void observe_writable(bool want);
  void observe_errors(bool want);
  void set_observers(bool read, bool write, bool error);
  void deliver();
  void charge(std::size_t bytes);
  void release(std::size_t bytes);
  int fd() const { return socket_.impl()->sockfd(); }

  Reactor& reactor_;
  ConnectionOwner& owner_;
  Poco::Net::StreamSocket socket_;
  State state_;
  BufferLimits limits_;
  std::string input_;
  std::string output_;
  std::size_t output_offset_ = 0;
  std::size_t unsent_bytes_ = 0;
  std::uint64_t bytes_in_ = 0, bytes_out_ = 0;
  bool observes_readable_ = false, observes_writable_ = false, observes_errors_ = false;
  bool is_paused_ = false, is_input_stopped_ = false, is_delivering_ = false;
  bool has_peer_ended_ = false;       // its end has been read: nothing of it can be unread
  bool closes_after_output_ = false;  // takes its leave once all is written
};

}  // namespace damsonspoke::net
