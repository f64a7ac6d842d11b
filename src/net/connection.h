// A stream socket in the reactor, with bounded buffers. It reads unless its owner has paused that, and
// polls for writability only while output is pending.
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
  kRefused,   // never connected: no output was sent
  kOrderly,   // closed by either side without an error
  kBroken,    // reset, or another error
  kOverflow,  // more output or input is buffered than allowed
};

class Connection;

class ConnectionOwner {
 public:
  virtual ~ConnectionOwner() = default;
  virtual void on_connected(Connection&) {}
  // Returns the number of consumed bytes; the rest is passed again together with the next input.
  virtual std::size_t on_input(Connection& connection, std::string_view bytes) = 0;
  // The peer has ended its side: no more input follows, but requests that it sent may still be answered.
  virtual void on_end_of_input(Connection& connection) = 0;
  // Called once, as the last call for this connection, and never from inside one of its own methods.
  virtual void on_end(Connection& connection, CloseReason why) = 0;
  // All pending output was written to the socket.
  virtual void on_output_sent(Connection&) {}
};

// A budget for the pending output of several connections together.
struct OutputPool {
  std::size_t max_bytes = 0;
  std::size_t used_bytes = 0;
  OutputPool* parent = nullptr;  // of which this is a part; must outlive it
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
  OutputPool* pool = nullptr;  // must outlive the connection
};

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  // Takes over an accepted socket, or starts to connect to an address. `from`: a local address to connect
  // from.
  static std::shared_ptr<Connection> accepted(Reactor& reactor, ConnectionOwner& owner, int fd,
                                              BufferLimits limits);
  static std::shared_ptr<Connection> connecting(Reactor& reactor, ConnectionOwner& owner,
                                                const Poco::Net::SocketAddress& address, BufferLimits limits,
                                                const std::optional<Poco::Net::SocketAddress>& from = {});
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection();

  void send(std::string_view bytes);
  void close(
      CloseReason why = CloseReason::kOrderly);  // at once; on_end() follows in the next event-loop iteration
  // Closes gracefully: stops reading, writes the pending output, then begins a lingering close of the
  // socket (net/lingering_close.h). on_end() follows once all output is written.
  void close_gracefully();
  // Reads and delivers the input that is in the socket now, without waiting for the next event-loop
  // iteration. Must not be called from inside a callback of the owner.
  void read_now();
  // After a pause, buffered input is delivered before more is read.
  void pause_reading(bool pause);
  // Delivers the input that is buffered, also while reading is paused. Must not be called from inside
  // on_input().
  void deliver_buffered();
  void stop_reading();  // permanently; pending output is still written
  bool connected() const { return state_ == State::kOpen; }
  bool open() const { return state_ != State::kClosed; }
  std::size_t pending_output_bytes() const { return output_.size() - output_offset_; }
  // Once closed: bytes of pending output that were never written to the socket, for example as it never
  // connected.
  std::size_t unsent_bytes() const { return unsent_bytes_; }
  // Bytes read from the socket, and written to it, so far.
  std::uint64_t bytes_in() const { return bytes_in_; }
  // When the latest input was read from the socket (monotonic s); buffered input arrived no later.
  double last_input_at() const { return last_input_at_; }
  std::uint64_t bytes_out() const { return bytes_out_; }
  // Whether the peer has closed its side, or the connection is broken, with no unread input before that.
  // Queries the socket.
  bool peer_has_closed() const;
  bool nothing_to_read() const;  // neither bytes nor the peer's end; queries the socket
  std::uint64_t tag = 0;         // chosen by the owner, to identify it

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
  void resume_reading();
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
  double last_input_at_ = 0;
  bool observes_readable_ = false, observes_writable_ = false, observes_errors_ = false;
  bool is_paused_ = false, is_input_stopped_ = false, is_delivering_ = false;
  bool has_peer_ended_ = false;       // its end was read: no input can be unread
  bool closes_after_output_ = false;  // close_gracefully() was called; closes once all output is written
};

}  // namespace damsonspoke::net
