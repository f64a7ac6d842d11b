// The listener together with other tasks of the reactor.
#include "net/listener.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <stdexcept>
#include <thread>
#include <vector>

#include "net/address.h"
#include "stepped_reactor.h"

namespace damsonspoke::net {
namespace {

constexpr int kConnections = 20;
constexpr std::chrono::seconds kTimeout{20};          // until all connections are accepted
constexpr std::chrono::milliseconds kAcceptCost{10};  // longer than the listener accepts in an iteration

// A client whose connection is established and waits to be accepted.
int connected_client(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    throw std::runtime_error("no connection over loopback");
  return fd;
}

struct ConnectionBurst {
  std::vector<int> clients;
  explicit ConnectionBurst(std::uint16_t port) {
    for (int i = 0; i < kConnections; ++i) clients.push_back(connected_client(port));
  }
  ConnectionBurst(const ConnectionBurst&) = delete;
  ConnectionBurst& operator=(const ConnectionBurst&) = delete;
  ~ConnectionBurst() {
    for (const int fd : clients) ::close(fd);
  }
};

// Guards against a burst of connections that are slow to accept and delay due tasks: requests with little
// time left were answered a tenth of a second late.
TEST(Listener, DueTasksWaitForAtMostOneSlowAccept) {
  SteppedReactor stepped;
  std::atomic<int> accepted_count = 0;  // also read by the test's thread
  int accepted_before_due_task = -1;
  Listener listener(stepped.reactor, parse_address("127.0.0.1:0"), [&](const Accepted& accepted) {
    const bool is_first = ++accepted_count == 1;
    if (is_first) stepped.reactor.post([&] { accepted_before_due_task = accepted_count; });
    std::this_thread::sleep_for(kAcceptCost);
    ::close(accepted.fd);
  });
  const ConnectionBurst burst(listener.port());
  stepped.run_for([&] {
    const auto until = std::chrono::steady_clock::now() + kTimeout;
    while (accepted_count < kConnections && std::chrono::steady_clock::now() < until)
      std::this_thread::sleep_for(kAcceptCost);
  });
  EXPECT_EQ(accepted_before_due_task, 1);
  EXPECT_EQ(accepted_count, kConnections);
  stepped.end();
}

// Guards against a process that is killed during shutdown with unanswered requests: closing its listener
// accepted all waiting connections in one iteration, 460 connections in 160 ms.
TEST(Listener, ClosingAcceptsWaitingConnectionsOverManyIterations) {
  SteppedReactor stepped;
  std::atomic<int> accepted_count = 0;  // also read by the test's thread
  std::atomic<bool> is_open = true;     // likewise
  int accepted_before_due_task = -1;
  Listener listener(stepped.reactor, parse_address("127.0.0.1:0"), [&](const Accepted& accepted) {
    ++accepted_count;
    std::this_thread::sleep_for(kAcceptCost);
    ::close(accepted.fd);
  });
  const ConnectionBurst burst(listener.port());
  stepped.reactor.post([&] {
    listener.close();
    stepped.reactor.post([&] { accepted_before_due_task = accepted_count; });
  });
  stepped.run_for([&] {
    const auto until = std::chrono::steady_clock::now() + kTimeout;
    while (is_open && std::chrono::steady_clock::now() < until) {
      stepped.reactor.post_from_other_thread([&] { is_open = listener.is_open(); });
      std::this_thread::sleep_for(kAcceptCost);
    }
  });
  EXPECT_LT(accepted_before_due_task, 3);
  EXPECT_EQ(accepted_count, kConnections);
  EXPECT_FALSE(is_open);
  stepped.end();
}

}  // namespace
}  // namespace damsonspoke::net
