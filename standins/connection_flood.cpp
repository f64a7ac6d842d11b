#include "connection_flood.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <memory>

namespace damsonspoke::standins {
namespace {

constexpr double kPollSeconds = 0.002;  // maximum wait of the flood's thread
constexpr double kHealthIntervalSeconds = 0.5, kDripIntervalSeconds = 1, kJunkIntervalSeconds = 0.05;
constexpr std::size_t kMaxConnections = 8000;  // open at once, of a flood
constexpr double kMaxAnswerWaitSeconds = 5;    // a connection without an answer is closed after this

std::string health_request() {
  const std::string text = R"({"jsonrpc":"2.0","id":1,"method":"health","params":{}})";
  return fmt::format("Content-Length: {}\r\n\r\n{}", text.size(), text);
}

}  // namespace

int connecting_socket(std::uint16_t port, const std::string& from) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) return -1;
  sockaddr_in mine{}, theirs{};
  mine.sin_family = theirs.sin_family = AF_INET;
  ::inet_pton(AF_INET, from.c_str(), &mine.sin_addr);
  theirs.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  theirs.sin_port = htons(port);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const bool bound = ::bind(fd, reinterpret_cast<const sockaddr*>(&mine), sizeof mine) == 0;
  if (bound &&
      (::connect(fd, reinterpret_cast<const sockaddr*>(&theirs), sizeof theirs) == 0 || errno == EINPROGRESS))
    return fd;
  ::close(fd);
  return -1;
}

std::string flood_address(unsigned n) {
  return fmt::format("127.{}.{}.{}", 20 + n / 64000, n % 256, 1 + n / 256 % 250);
}

// ---- Floods.
Flood::Flood(std::uint16_t port, Options options)
    : port_(port),
      options_(options),
      poll_(::epoll_create1(EPOLL_CLOEXEC)),
      connections_by_address_(options.addresses, 0) {
  thread_ = std::thread([this] { run(); });
}

Flood::~Flood() {
  is_stopping_ = true;
  thread_.join();
  for (const auto& [fd, connection] : connections_) ::close(fd);
  ::close(poll_);
}

void Flood::run() {
  const double began = now();
  while (!is_stopping_) {
    epoll_event events[512];
    const int got = ::epoll_wait(poll_, events, 512, static_cast<int>(kPollSeconds * 1000));
    for (int i = 0; i < got; ++i)
      handle(events[i].data.fd, (events[i].events & EPOLLOUT) != 0, (events[i].events & EPOLLIN) != 0,
             (events[i].events & (EPOLLERR | EPOLLHUP)) != 0);
    const double time = now();
    dial_due(began, time);
    if (options_.shape != FloodShape::kSilent && options_.shape != FloodShape::kReset) send_due(time);
  }
}

void Flood::dial_due(double began, double time) {
  while (!is_stopping_ && static_cast<double>(dialled_) < (time - began) * options_.connections_per_second &&
         connections_.size() < kMaxConnections) {
    const std::uint64_t before = dialled_;
    dial(time);
    if (dialled_ == before) return;  // all addresses have their maximum number of connections
  }
}

void Flood::send_due(double time) {
  std::vector<int> due;
  for (const auto& [fd, connection] : connections_) {
    if (connection.is_up && connection.next_send_at <= time) due.push_back(fd);
  }
  for (const int fd : due) send_next(fd, connections_.at(fd), time);
}

void Flood::dial(double time) {
  for (unsigned tried = 0; tried < options_.addresses; ++tried) {
    const unsigned address = next_address_++ % options_.addresses;
    if (connections_by_address_[address] >= options_.connections_per_address) continue;
    const int fd = connecting_socket(port_, flood_address(address));
    ++dialled_;
    if (fd < 0) return;
    connections_[fd] = {address, false, time, 0};
    ++connections_by_address_[address];
    epoll_event event{};
    event.events = EPOLLIN | EPOLLOUT | EPOLLET;
    event.data.fd = fd;
    ::epoll_ctl(poll_, EPOLL_CTL_ADD, fd, &event);
    return;
  }
}

void Flood::handle(int fd, bool is_writable, bool is_readable, bool is_broken) {
  const auto found = connections_.find(fd);
  if (found == connections_.end()) return;
  if (is_broken) {
    ++closed_by_server_;
    return drop(fd, false);
  }
  if (is_writable && !found->second.is_up) {
    found->second.is_up = true;
    ++open_connections_;
    if (options_.shape == FloodShape::kReset) return drop(fd, true);
  }
  if (!is_readable) return;
  char bytes[4096];
  for (;;) {
    const ssize_t got = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
    if (got < 0 && errno == EAGAIN) return;
    if (got <= 0) break;
  }
  ++closed_by_server_;
  drop(fd, false);
}

void Flood::send_next(int fd, Connection& connection, double time) {
  static const std::string kHealth = health_request();
  std::string bytes;
  switch (options_.shape) {
    case FloodShape::kDrip:
      bytes = kHealth.substr(connection.sent_bytes++ % kHealth.size(), 1);
      connection.next_send_at = time + kDripIntervalSeconds;
      break;
    case FloodShape::kHealthRequests:
      bytes = kHealth;
      connection.next_send_at = time + kHealthIntervalSeconds;
      break;
    case FloodShape::kJunk:
      bytes = "Content-Length: 4\r\n\r\nnone";
      connection.next_send_at = time + kJunkIntervalSeconds;
      break;
    default: return;
  }
  static_cast<void>(::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
}

void Flood::drop(int fd, bool with_reset) {
  const auto found = connections_.find(fd);
  if (found->second.is_up) --open_connections_;
  --connections_by_address_[found->second.address];
  connections_.erase(found);
  if (with_reset) {
    const linger at_once{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  }
  ::close(fd);
}

// ---- Clients that reconnect.
ReconnectingClient::ReconnectingClient(Loop& loop, std::uint16_t port, Options options)
    : loop_(loop), port_(port), options_(std::move(options)) {
  connect();
}

ReconnectingClient::~ReconnectingClient() {
  *is_alive_ = false;
  while (!began_at_.empty()) end(began_at_.begin()->first);
}

void ReconnectingClient::connect() {
  if (!is_connecting_) return;
  loop_.after(options_.interval, [this, is_alive = is_alive_] {
    if (*is_alive) connect();
  });
  ++connects_;
  const int fd = connecting_socket(port_, options_.from);
  if (fd < 0) return;
  began_at_[fd] = now();
  serials_[fd] = ++last_serial_;
  loop_.watch(fd, [this, fd] { read(fd); });
  loop_.send(fd, health_request());
  end_after(fd, kMaxAnswerWaitSeconds);
}

void ReconnectingClient::end_after(int fd, double seconds) {
  loop_.after(seconds, [this, is_alive = is_alive_, fd, serial = serials_.at(fd)] {
    if (*is_alive && serials_.contains(fd) && serials_.at(fd) == serial) end(fd);
  });
}

void ReconnectingClient::read(int fd) {
  char bytes[4096];
  const ssize_t got = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (got < 0 && errno == EAGAIN) return;
  if (got <= 0) return end(fd);
  std::string& in = in_[fd];
  in.append(bytes, static_cast<std::size_t>(got));
  if (in.find("\"result\"") == std::string::npos) return;
  const double took = now() - began_at_.at(fd);
  max_answer_seconds_ = std::max(max_answer_seconds_, took);
  answered_in_time_ += took <= options_.timeout;
  if (options_.stay_seconds <= 0) return end(fd);
  loop_.forget(fd);
  end_after(fd, options_.stay_seconds);
}

void ReconnectingClient::end(int fd) {
  loop_.forget(fd);
  ::close(fd);
  began_at_.erase(fd);
  in_.erase(fd);
  serials_.erase(fd);
}

}  // namespace damsonspoke::standins
