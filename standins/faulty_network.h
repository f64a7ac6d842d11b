// A faulty network between processes, in user space and without privileges. For each ordered pair of hosts it
// can delay, lose, duplicate, reorder, slow down, cut, refuse or reset the traffic from one to the other.
//
// Each host has two loopback addresses. Its process listens on and sends from `bind_address`; all other hosts
// use `advertised_address`, on which this network accepts datagrams and streams and forwards them. Streams to
// a process that listens on another port go through a path: one listener for each ordered pair of hosts.
//
// A cut does not lose bytes of a stream, as TCP would retransmit them: the bytes and the end of the stream
// arrive when the cut ends, unless an endpoint has timed out meanwhile. A new connection over a cut link is
// accepted by the system and then stays silent; only `refused` rejects connections.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <utility>
#include <vector>

#include "loop.h"

namespace damsonspoke::standins {

// The conditions of one direction between two hosts.
struct LinkConditions {
  double delay = 0, jitter = 0;  // s; a uniformly random part of jitter is added to the delay
  double loss = 0, duplicated = 0, reordered = 0;  // shares of datagrams; a reordered one is 50 ms late
  double bytes_per_s = 0;                          // limit for each stream; 0: none
  bool cut = false;
  bool refused = false;  // new streams are rejected, existing ones are reset
};

class FaultyNetwork {
 public:
  FaultyNetwork(Loop& loop, std::uint64_t seed);
  ~FaultyNetwork();
  FaultyNetwork(const FaultyNetwork&) = delete;
  FaultyNetwork& operator=(const FaultyNetwork&) = delete;

  struct Host {
    std::string bind_address, advertised_address;  // without port
    std::uint16_t port = 0;                        // the same on both addresses
    std::string bind_endpoint() const { return bind_address + ':' + std::to_string(port); }
    std::string advertised_endpoint() const { return advertised_address + ':' + std::to_string(port); }
  };
  const Host& add_host(const std::string& name);
  // Forwards streams to this port of the host's advertised address to the same port on 127.0.0.1, for hosts
  // that connect from their bind addresses.
  void open(const std::string& name, std::uint16_t port);
  // A port on 127.0.0.1 for streams of host `from` to host `to`, which listens on `port` of 127.0.0.1. The
  // result stays the same for a pair; a call with a new `port` changes the target.
  std::uint16_t path(const std::string& from, const std::string& to, std::uint16_t port);

  void set(const std::string& from, const std::string& to, const LinkConditions& conditions);
  const LinkConditions& conditions(const std::string& from, const std::string& to) const;
  void reset(const std::string& from,
             const std::string& to);  // existing streams between the two, in both directions

  struct TrafficCounts {
    std::uint64_t datagrams = 0, lost = 0, bytes = 0, streams = 0;
  };
  const TrafficCounts& traffic(const std::string& from) const;  // by sending host

 private:
  struct HostSockets {
    Host host;
    int datagrams = -1, listener = -1;
    sockaddr_in bind_address{};
  };
  struct Path {
    std::string from, to;
    int listener = -1;
    std::uint16_t port = 0, target = 0;
  };
  // One direction of one stream.
  struct Flow {
    std::string from, to;
    int source = -1, sink = -1;
    std::deque<std::pair<double, std::string>> waiting;  // with the times at which they are due at the sink
    std::size_t bytes = 0;
    double free_at = 0;
    bool has_ended = false, is_end_sent = false;  // the source's end was read; it was passed on to the sink
  };
  struct Stream {
    Flow outbound, inbound;
  };

  static sockaddr_in address(const std::string& ip, std::uint16_t port);
  void on_datagram(const std::string& to);
  void deliver(const std::string& from, const std::string& to, std::string bytes, double at);
  void on_stream(int listener, const std::string& to, const sockaddr_in& target, const std::string* from);
  void read(std::uint64_t stream, bool is_inbound);
  void pump(std::uint64_t stream, bool is_inbound);
  void drop(std::uint64_t stream, bool reset);
  std::string host_at(const sockaddr_in& address) const;
  double random_unit();

  Loop& loop_;
  pcg64 random_;
  std::shared_ptr<bool> is_alive_ =
      std::make_shared<bool>(true);  // false after destruction, for timers that outlive this
  std::map<std::string, HostSockets> hosts_;
  std::map<std::pair<std::string, std::string>, Path> paths_;
  std::map<std::pair<std::string, std::uint16_t>, int> extra_listeners_;  // by host and port, of open()
  std::map<std::pair<std::string, std::string>, LinkConditions> conditions_;
  std::map<std::string, TrafficCounts> traffic_;
  std::map<std::uint64_t, Stream> streams_;
  std::uint64_t next_stream_ = 1;
  std::string network_;
  const LinkConditions no_faults_;
};

}  // namespace damsonspoke::standins
