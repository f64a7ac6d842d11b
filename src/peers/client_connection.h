// The state of one client's connection that the servers of all client protocols share, and the timeouts that
// apply to it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>

#include "conns/minimum_byte_rate.h"
#include "net/connection.h"

namespace damsonspoke::peers {

// Each open connection costs a descriptor and memory. A connection whose client does not send a request,
// complete one that it started or read its answers within these timeouts is closed.
constexpr double kConnectionCheckSeconds = 0.25;   // between checks of all connections
constexpr double kFirstRequestTimeoutSeconds = 2;  // from accept until the first request is complete
constexpr double kRequestTimeoutSeconds = 1.5;     // from a request's first byte until it is complete
constexpr double kOutputTimeoutSeconds = 5;        // in which the client must read pending output
constexpr double kFirstRequestGraceSeconds =
    0.1;  // after that, a silent connection is evicted before idle ones

// The state of one client's connection. Times are monotonic seconds; negative: does not apply now.
struct ClientConnection {
  std::shared_ptr<net::Connection> connection;
  std::list<std::uint64_t>::iterator idle_position;  // in its ClientTable
  double last_traffic_at = 0;
  double message_started_at = -1;  // of the incomplete message
  double output_waits_since = -1;
  bool has_requested = false;  // it has sent a valid message
  bool input_ended = false;    // nothing more is read from it
  bool is_evicted = false;     // its place was given to another connection
  bool is_held_back = false;   // a complete message waits in its buffer for its turn to be read
  bool has_read_turn = false;  // it may read one message that was held back
  bool awaits_output = false;  // it reads nothing until its pending output is written
  conns::MinimumByteRate input_rate;
  conns::MinimumByteRate output_rate;

  // Whether the client has had time to send a request and has sent none.
  [[nodiscard]] bool is_silent(double now) const {
    return !has_requested && now - last_traffic_at >= kFirstRequestGraceSeconds;
  }
  // `unread_bytes`: bytes of this message that were received already.
  void start_message(double now, std::size_t unread_bytes) {
    message_started_at = now;
    input_rate.start(now, connection->bytes_in() - unread_bytes);
  }
  // The message is complete, or no longer awaited.
  void finish_message() {
    message_started_at = -1;
    input_rate.stop();
  }
  [[nodiscard]] bool is_message_incomplete() const { return message_started_at >= 0; }
  [[nodiscard]] bool is_message_overdue(double now) const {
    return is_message_incomplete() && now - message_started_at > kRequestTimeoutSeconds;
  }
  // Records since when output is pending; returns whether that exceeds kOutputTimeoutSeconds.
  [[nodiscard]] bool check_output_overdue(double now) {
    if (connection->pending_output_bytes() == 0) output_waits_since = -1;
    if (connection->pending_output_bytes() > 0 && output_waits_since < 0) output_waits_since = now;
    return output_waits_since >= 0 && now - output_waits_since > kOutputTimeoutSeconds;
  }
};

// Whether a client is late, also after what it has sent is read: if this process was paused, that may be
// unread in the socket. `is_late`: whether it is by what was read. May close the connection.
template <typename IsLate>
[[nodiscard]] bool is_late_after_reading(const ClientConnection& client, IsLate&& is_late) {
  if (!is_late()) return false;
  const std::shared_ptr<net::Connection> connection = client.connection;
  connection->read_now();
  return connection->open() && is_late();
}

// Seconds since the client's buffered input was read from the socket.
[[nodiscard]] inline double input_age(const ClientConnection& client) {
  return net::monotonic_now() - client.connection->last_input_at();
}

}  // namespace damsonspoke::peers
