#include "crowd.h"

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

constexpr double kTurn = 0.002;  // s; of the flood's thread
constexpr double kAskAgain = 0.5, kDripEvery = 1, kJunkEvery = 0.05;
constexpr std::size_t kMostOpen = 8000;

std::string check_request() {
  const std::string text = R"({"jsonrpc":"2.0","id":1,"method":"health","params":{}})";
  return fmt::format("Content-Length: {}\r\n\r\n{}", text.size(), text);
}

}  // namespace

int dialled_socket(std::uint16_t port, const std::string& from) {
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

std::string crowd_address(unsigned n) {
  return fmt::format("127.{}.{}.{}", 20 + n / 64000, n % 256, 1 + n / 256 % 250);
}

// ---- Floods.
Flood::Flood(std::uint16_t port, Options options)
    : port_(port), options_(options), poll_(::epoll_create1(EPOLL_CLOEXEC)), held_by_(options.addresses, 0) {
  thread_ = std::thread([this] { run(); });
}

Flood::~Flood() {
  over_ = true;
  thread_.join();
  for (const auto& [fd, conn] : conns_) ::close(fd);
  ::close(poll_);
}

void Flood::run() {
  const double began = now();
  while (!over_) {
    epoll_event events[512];
    const int got = ::epoll_wait(poll_, events, 512, static_cast<int>(kTurn * 1000));
    for (int i = 0; i < got; ++i)
      ready(events[i].data.fd, (events[i].events & EPOLLOUT) != 0, (events[i].events & EPOLLIN) != 0,
            (events[i].events & (EPOLLERR | EPOLLHUP)) != 0);
    const double time = now();
    while (!over_ && static_cast<double>(dialled_) < (time - began) * options_.per_s &&
           conns_.size() < kMostOpen) {
      const std::uint64_t before = dialled_;
      dial(time);
      if (dialled_ == before) break;  // all hold what they may
    }
    if (options_.shape == FloodShape::kSilent || options_.shape == FloodShape::kReset) continue;
    std::vector<int> due;
    for (const auto& [fd, conn] : conns_) {
      if (conn.connected && conn.next <= time) due.push_back(fd);
    }
    for (const int fd : due) speak(fd, conns_.at(fd), time);
  }
}

void Flood::dial(double time) {
  for (unsigned tried = 0; tried < options_.addresses; ++tried) {
    const unsigned address = next_address_++ % options_.addresses;
    if (held_by_[address] >= options_.each) continue;
    const int fd = dialled_socket(port_, crowd_address(address));
    ++dialled_;
    if (fd < 0) return;
    conns_[fd] = {address, false, false, time, 0};
    ++held_by_[address];
    epoll_event event{};
    event.events = EPOLLIN | EPOLLOUT | EPOLLET;
    event.data.fd = fd;
    ::epoll_ctl(poll_, EPOLL_CTL_ADD, fd, &event);
    return;
  }
}

void Flood::ready(int fd, bool writable, bool readable, bool broken) {
  const auto found = conns_.find(fd);
  if (found == conns_.end()) return;
  if (broken) {
    ++turned_away_;
    return drop(fd, false);
  }
  if (writable && !found->second.connected) {
    found->second.connected = true;
    ++held_;
    if (options_.shape == FloodShape::kReset) return drop(fd, true);
  }
  if (!readable) return;
  char bytes[4096];
  for (;;) {
    const ssize_t got = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
    if (got < 0 && errno == EAGAIN) return;
    if (got <= 0) break;
  }
  ++turned_away_;
  drop(fd, false);
}

void Flood::speak(int fd, Conn& conn, double time) {
  static const std::string check = check_request();
  std::string bytes;
  switch (options_.shape) {
    case FloodShape::kDrip:
      bytes = check.substr(conn.said++ % check.size(), 1);
      conn.next = time + kDripEvery;
      break;
    case FloodShape::kAsking:
      bytes = check;
      conn.next = time + kAskAgain;
      break;
    case FloodShape::kJunk:
      bytes = "Content-Length: 4\r\n\r\nnone";
      conn.next = time + kJunkEvery;
      break;
    default: return;
  }
  static_cast<void>(::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
}

void Flood::drop(int fd, bool reset) {
  const auto found = conns_.find(fd);
  if (found->second.connected) --held_;
  --held_by_[found->second.address];
  conns_.erase(found);
  if (reset) {
    const linger at_once{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  }
  ::close(fd);
}

// ---- Newcomers.
Newcomers::Newcomers(Loop& loop, std::uint16_t port, Options options)
    : loop_(loop), port_(port), options_(std::move(options)) {
  come();
}

Newcomers::~Newcomers() {
  *here_ = false;
  while (!open_.empty()) end(open_.begin()->first);
}

void Newcomers::come() {
  if (!more_) return;
  loop_.after(options_.every, [this, here = here_] {
    if (*here) come();
  });
  ++came_;
  const int fd = dialled_socket(port_, options_.from);
  if (fd < 0) return;
  open_[fd] = now();
  const std::uint64_t serial = serials_[fd] = ++serial_;
  loop_.watch(fd, [this, fd] { read(fd); });
  loop_.send(fd, check_request());
  loop_.after(5, [this, here = here_, fd, serial] {  // whatever comes of it, it is over then
    if (*here && serials_.contains(fd) && serials_.at(fd) == serial) end(fd);
  });
}

void Newcomers::read(int fd) {
  char bytes[4096];
  const ssize_t got = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (got < 0 && errno == EAGAIN) return;
  if (got <= 0) return end(fd);
  std::string& in = in_[fd];
  in.append(bytes, static_cast<std::size_t>(got));
  if (in.find("\"result\"") == std::string::npos) return;
  const double took = now() - open_.at(fd);
  longest_ = std::max(longest_, took);
  in_time_ += took <= options_.patience;
  if (options_.stays <= 0) return end(fd);
  const std::uint64_t serial = serials_.at(fd);
  loop_.forget(fd);
  loop_.after(options_.stays, [this, here = here_, fd, serial] {
    if (*here && serials_.contains(fd) && serials_.at(fd) == serial) end(fd);
  });
}

void Newcomers::end(int fd) {
  loop_.forget(fd);
  ::close(fd);
  open_.erase(fd);
  in_.erase(fd);
  serials_.erase(fd);
}

}  // namespace damsonspoke::standins
