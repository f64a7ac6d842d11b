// A faulty network in user space, without privileges: processes reach one another through it, and for every
// ordered pair it delays, loses, doubles, disorders, slows down, cuts, refuses or resets what goes from the
// one to the other.
//
// Hosts have two addresses on loopback: `home`, which the process listens on and sends from, and `face`,
// which all others know it by and behind which this network stands, for datagrams and streams alike. Streams
// of processes that listen on a port of their own choice go through paths: one listener an ordered pair.
//
// A cut swallows nothing of a stream for good, as TCP would send it again: it arrives when the cut ends, the
// end of the stream too, unless somebody has lost patience meanwhile. A connection is made even over a cut
// link, by the system, and is silent then: only a refusal refuses.
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

// Of one direction of one pair.
struct LinkConditions {
  double delay = 0, jitter = 0;                    // s; jitter is evenly on top of the delay
  double loss = 0, duplicated = 0, reordered = 0;  // shares of datagrams; a disordered one comes 50 ms later
  double bytes_per_s = 0;                          // of streams; 0: any
  bool cut = false;
  bool refused = false;  // new streams are, old ones are reset
};

class FaultyNetwork {
 public:
  FaultyNetwork(Loop& loop, std::uint64_t seed);
  ~FaultyNetwork();
  FaultyNetwork(const FaultyNetwork&) = delete;
  FaultyNetwork& operator=(const FaultyNetwork&) = delete;

  struct Host {
    std::string bind_address, advertised_address;  // addresses, without a port
    std::uint16_t port = 0;                        // the same on both
    std::string bind_endpoint() const { return bind_address + ':' + std::to_string(port); }
    std::string advertised_endpoint() const { return advertised_address + ':' + std::to_string(port); }
  };
  const Host& add_host(const std::string& name);
  // What listens at that port on 127.0.0.1 as this host is reached at its face and the same port, by those
  // who come from their homes.
  void open(const std::string& name, std::uint16_t port);
  // A port on 127.0.0.1 that leads from the one to what listens at `port` as the other; the same one each
  // time that it is asked for, also when the other listens somewhere else by then.
  std::uint16_t path(const std::string& from, const std::string& to, std::uint16_t port);

  void set(const std::string& from, const std::string& to, const LinkConditions& conditions);
  const LinkConditions& conditions(const std::string& from, const std::string& to) const;
  void reset(const std::string& from, const std::string& to);  // the streams that there are, in either order

  struct Counted {
    std::uint64_t datagrams = 0, lost = 0, bytes = 0, streams = 0;
  };
  const Counted& counted(const std::string& from) const;  // by who sent

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
    std::deque<std::pair<double, std::string>> waiting;  // when each is due at the sink
    std::size_t bytes = 0;
    double free_at = 0;
    bool has_ended = false, is_end_sent = false;  // the source wrote its last; the sink has been told so
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
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);  // timers may outlive this
  std::map<std::string, HostSockets> hosts_;
  std::map<std::pair<std::string, std::string>, Path> paths_;
  std::map<std::pair<std::string, std::uint16_t>, int> extra_listeners_;  // listeners
  std::map<std::pair<std::string, std::string>, LinkConditions> conditions_;
  std::map<std::string, Counted> counted_;
  std::map<std::uint64_t, Stream> streams_;
  std::uint64_t next_stream_ = 1;
  std::string network_;
  const LinkConditions no_faults_;
};

}  // namespace damsonspoke::standins
