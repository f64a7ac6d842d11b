#include "faulty_network.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <stdexcept>

namespace damsonspoke::standins {
namespace {

constexpr std::uint16_t kPort = 7400;  // of all hosts, as each has its own addresses
constexpr std::size_t kMaxWaitingBytes = 4u
                                         << 20;  // per direction of a stream, which is reset when it has more
constexpr double kReorderDelaySeconds = 0.05;    // of a reordered datagram
constexpr int kMaxHosts = 120;

// The first three octets of the hosts' addresses, different for plays and tests that run at the same time.
std::string draw_network() {
  static unsigned serial = 0;
  const unsigned number = static_cast<unsigned>(::getpid()) + 4099u * serial++;
  return fmt::format("127.{}.{}", 16 + number / 256 % 200, number % 256);
}

}  // namespace

sockaddr_in FaultyNetwork::address(const std::string& ip, std::uint16_t port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  ::inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
  return out;
}

FaultyNetwork::FaultyNetwork(Loop& loop, std::uint64_t seed)
    : loop_(loop), random_(seed), network_(draw_network()) {}

FaultyNetwork::~FaultyNetwork() {
  *is_alive_ = false;
  while (!streams_.empty()) drop(streams_.begin()->first, true);
  const auto end = [this](int fd) {
    if (fd < 0) return;
    loop_.forget(fd);
    ::close(fd);
  };
  for (const auto& [name, sockets] : hosts_) end(sockets.datagrams), end(sockets.listener);
  for (const auto& [pair, path] : paths_) end(path.listener);
  for (const auto& [at, listener] : extra_listeners_) end(listener);
}

double FaultyNetwork::random_unit() { return std::ldexp(static_cast<double>(random_() >> 11), -53); }

const FaultyNetwork::Host& FaultyNetwork::add_host(const std::string& name) {
  if (hosts_.contains(name)) return hosts_.at(name).host;
  const int number = static_cast<int>(hosts_.size());
  if (number >= kMaxHosts) throw std::runtime_error("too many hosts in the faulty network");
  HostSockets& sockets = hosts_[name];
  sockets.host = {fmt::format("{}.{}", network_, 2 * number + 1),
                  fmt::format("{}.{}", network_, 2 * number + 2), kPort};
  sockets.bind_address = address(sockets.host.bind_address, kPort);
  const sockaddr_in at = address(sockets.host.advertised_address, kPort);
  sockets.datagrams = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockets.listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  ::setsockopt(sockets.listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  for (const int fd : {sockets.datagrams, sockets.listener}) {
    if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0)
      throw std::runtime_error("cannot bind the address of a host of the faulty network");
  }
  if (::listen(sockets.listener, 64) != 0)
    throw std::runtime_error("cannot listen on the address of a host of the faulty network");
  loop_.watch(sockets.datagrams, [this, name] { on_datagram(name); });
  loop_.watch(sockets.listener, [this, name] {
    const HostSockets& of = hosts_.at(name);
    on_stream(of.listener, name, of.bind_address, nullptr);
  });
  return sockets.host;
}

std::uint16_t FaultyNetwork::path(const std::string& from, const std::string& to, std::uint16_t port) {
  Path& path = paths_[{from, to}];
  path.target = port;
  if (path.listener >= 0) return path.port;
  path.from = from, path.to = to;
  path.listener = listening_socket(path.port);
  loop_.watch(path.listener, [this, pair = std::make_pair(from, to)] {
    const Path& of = paths_.at(pair);
    on_stream(of.listener, of.to, address("127.0.0.1", of.target), &of.from);
  });
  return path.port;
}

void FaultyNetwork::open(const std::string& name, std::uint16_t port) {
  int& listener = extra_listeners_.try_emplace({name, port}, -1).first->second;
  if (listener >= 0) return;
  const sockaddr_in at = address(hosts_.at(name).host.advertised_address, port);
  listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(listener, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || ::listen(listener, 64) != 0)
    throw std::runtime_error("cannot open another port of a host of the faulty network");
  loop_.watch(listener, [this, fd = listener, name, target = address("127.0.0.1", port)] {
    on_stream(fd, name, target, nullptr);
  });
}

void FaultyNetwork::set(const std::string& from, const std::string& to, const LinkConditions& conditions) {
  conditions_[{from, to}] = conditions;
  if (conditions.refused) reset(from, to);
  std::vector<std::uint64_t> all;
  for (const auto& [number, stream] : streams_) all.push_back(number);
  for (const std::uint64_t number : all) {  // forwards the bytes that a cut held back
    if (streams_.contains(number)) pump(number, false);
    if (streams_.contains(number)) pump(number, true);
  }
}

const LinkConditions& FaultyNetwork::conditions(const std::string& from, const std::string& to) const {
  const auto found = conditions_.find({from, to});
  return found == conditions_.end() ? no_faults_ : found->second;
}

const FaultyNetwork::TrafficCounts& FaultyNetwork::traffic(const std::string& from) const {
  static const TrafficCounts kNoTraffic;
  const auto found = traffic_.find(from);
  return found == traffic_.end() ? kNoTraffic : found->second;
}

void FaultyNetwork::reset(const std::string& from, const std::string& to) {
  std::vector<std::uint64_t> of;
  for (const auto& [number, stream] : streams_) {
    const Flow& flow = stream.outbound;
    if ((flow.from == from && flow.to == to) || (flow.from == to && flow.to == from)) of.push_back(number);
  }
  for (const std::uint64_t number : of) drop(number, true);
}

std::string FaultyNetwork::host_at(const sockaddr_in& from) const {
  for (const auto& [name, sockets] : hosts_) {
    if (sockets.bind_address.sin_addr.s_addr == from.sin_addr.s_addr) return name;
  }
  return {};
}

// ---- Datagrams.

void FaultyNetwork::on_datagram(const std::string& to) {
  for (int i = 0; i < 64; ++i) {
    char bytes[65536];
    sockaddr_in source{};
    socklen_t size = sizeof source;
    const ssize_t got = ::recvfrom(hosts_.at(to).datagrams, bytes, sizeof bytes, MSG_DONTWAIT,
                                   reinterpret_cast<sockaddr*>(&source), &size);
    if (got < 0) return;
    const std::string from = host_at(source);
    if (from.empty()) continue;  // not sent by a host of this network
    const LinkConditions& link = conditions(from, to);
    TrafficCounts& count = traffic_[from];
    ++count.datagrams;
    count.bytes += static_cast<std::uint64_t>(got);
    if (link.cut || random_unit() < link.loss) {
      ++count.lost;
      continue;
    }
    const int copies = random_unit() < link.duplicated ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const double late = random_unit() < link.reordered ? kReorderDelaySeconds : 0;
      deliver(from, to, std::string(bytes, static_cast<std::size_t>(got)),
              now() + link.delay + link.jitter * random_unit() + late);
    }
  }
}

void FaultyNetwork::deliver(const std::string& from, const std::string& to, std::string bytes, double at) {
  const auto send = [this, from, to, data = std::move(bytes)] {
    const HostSockets& sockets = hosts_.at(to);
    // Sent from the sender's advertised address, by which the receiver knows it.
    ::sendto(hosts_.at(from).datagrams, data.data(), data.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
             reinterpret_cast<const sockaddr*>(&sockets.bind_address), sizeof sockets.bind_address);
  };
  if (at <= now()) return send();
  loop_.at(at, [is_alive = is_alive_, send] {
    if (*is_alive) send();
  });
}

// ---- Streams.

void FaultyNetwork::on_stream(int listener, const std::string& to, const sockaddr_in& target,
                              const std::string* fixed_source) {
  sockaddr_in source{};
  socklen_t size = sizeof source;
  const int fd =
      ::accept4(listener, reinterpret_cast<sockaddr*>(&source), &size, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (fd < 0) return;
  const std::string from = fixed_source != nullptr ? *fixed_source : host_at(source);
  const linger at_once{1, 0};
  const auto reject = [&] {
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    ::close(fd);
  };
  if (from.empty() || conditions(from, to).refused) return reject();
  const int other = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in mine{};
  if (fixed_source == nullptr) mine = address(hosts_.at(from).host.advertised_address, 0);
  const bool bound =
      fixed_source != nullptr || ::bind(other, reinterpret_cast<const sockaddr*>(&mine), sizeof mine) == 0;
  // A blocking connect is acceptable, because on loopback it succeeds or fails immediately.
  if (other < 0 || !bound ||
      ::connect(other, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0) {
    if (other >= 0) ::close(other);
    return reject();
  }
  ::fcntl(other, F_SETFL, ::fcntl(other, F_GETFL) | O_NONBLOCK);
  const int on = 1;
  for (const int one : {fd, other}) ::setsockopt(one, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const std::uint64_t number = next_stream_++;
  Stream& stream = streams_[number];
  stream.outbound.from = stream.inbound.to = from;
  stream.outbound.to = stream.inbound.from = to;
  stream.outbound.source = stream.inbound.sink = fd;
  stream.outbound.sink = stream.inbound.source = other;
  ++traffic_[from].streams;
  loop_.watch(fd, [this, number] { read(number, false); });
  loop_.watch(other, [this, number] { read(number, true); });
}

void FaultyNetwork::read(std::uint64_t number, bool is_inbound) {
  Stream& stream = streams_.at(number);
  Flow& flow = is_inbound ? stream.inbound : stream.outbound;
  char bytes[65536];
  const ssize_t got = ::recv(flow.source, bytes, sizeof bytes, MSG_DONTWAIT);
  if (got < 0 && errno == EAGAIN) return;
  if (got < 0) return drop(number, true);
  if (got == 0) {
    flow.has_ended = true;
    loop_.stop_reading(flow.source);
  } else {
    const LinkConditions& link = conditions(flow.from, flow.to);
    const auto size = static_cast<std::size_t>(got);
    traffic_[flow.from].bytes += size;
    const double begins = std::max(now(), flow.free_at);
    flow.free_at = link.bytes_per_s > 0 ? begins + static_cast<double>(size) / link.bytes_per_s : now();
    double due = std::max(now(), flow.free_at) + link.delay + link.jitter * random_unit();
    if (!flow.waiting.empty())
      due = std::max(due, flow.waiting.back().first);  // preserves the order of the stream
    flow.waiting.emplace_back(due, std::string(bytes, size));
    flow.bytes += size;
    if (flow.bytes + loop_.unsent(flow.sink) > kMaxWaitingBytes) return drop(number, true);
  }
  pump(number, is_inbound);
}

void FaultyNetwork::pump(std::uint64_t number, bool is_inbound) {
  Stream& stream = streams_.at(number);
  Flow& flow = is_inbound ? stream.inbound : stream.outbound;
  if (conditions(flow.from, flow.to).cut) return;  // set() calls this again when the cut ends
  while (!flow.waiting.empty() && flow.waiting.front().first <= now()) {
    loop_.send(flow.sink, flow.waiting.front().second);
    flow.bytes -= flow.waiting.front().second.size();
    flow.waiting.pop_front();
  }
  if (!flow.waiting.empty()) {
    loop_.at(flow.waiting.front().first, [this, is_alive = is_alive_, number, is_inbound] {
      if (*is_alive && streams_.contains(number)) pump(number, is_inbound);
    });
    return;
  }
  if (!flow.has_ended || flow.is_end_sent) return;
  if (loop_.unsent(flow.sink) > 0) {
    loop_.after(0.005, [this, is_alive = is_alive_, number, is_inbound] {
      if (*is_alive && streams_.contains(number)) pump(number, is_inbound);
    });
    return;
  }
  flow.is_end_sent = true;
  ::shutdown(flow.sink, SHUT_WR);
  if (stream.outbound.is_end_sent && stream.inbound.is_end_sent) drop(number, false);
}

void FaultyNetwork::drop(std::uint64_t number, bool reset) {
  const Stream stream = std::move(streams_.at(number));
  streams_.erase(number);
  const linger at_once{1, 0};
  for (const int fd : {stream.outbound.source, stream.outbound.sink}) {
    loop_.forget(fd);
    if (reset) ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    ::close(fd);
  }
}

}  // namespace damsonspoke::standins
