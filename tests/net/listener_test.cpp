// The listener among the other work of the reactor.
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

constexpr int kNewcomers = 20;
constexpr std::chrono::seconds kPatience{20};           // until all newcomers are accepted
constexpr std::chrono::milliseconds kNewcomerCost{10};  // more than the listener's time of a turn

// A client whose connection is complete and waits to be accepted.
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

struct Crowd {
  std::vector<int> clients;
  explicit Crowd(std::uint16_t port) {
    for (int i = 0; i < kNewcomers; ++i) clients.push_back(connected_client(port));
  }
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;
  ~Crowd() {
    for (const int fd : clients) ::close(fd);
  }
};

// Guards against a turn in which a crowd of costly newcomers holds up work that is due: requests with little
// time left were answered a tenth of a second late.
TEST(Listener, DueWorkWaitsForOneCostlyNewcomerAtMost) {
  SteppedReactor stepped;
  std::atomic<int> accepted_count = 0;  // also read by the test's thread
  int accepted_before_due_work = -1;
  Listener listener(stepped.reactor, parse_address("127.0.0.1:0"), [&](const Accepted& accepted) {
    const bool is_first = ++accepted_count == 1;
    if (is_first) stepped.reactor.post([&] { accepted_before_due_work = accepted_count; });
    std::this_thread::sleep_for(kNewcomerCost);
    ::close(accepted.fd);
  });
  const Crowd crowd(listener.port());
  stepped.run_for([&] {
    const auto until = std::chrono::steady_clock::now() + kPatience;
    while (accepted_count < kNewcomers && std::chrono::steady_clock::now() < until)
      std::this_thread::sleep_for(kNewcomerCost);
  });
  EXPECT_EQ(accepted_before_due_work, 1);
  EXPECT_EQ(accepted_count, kNewcomers);
  stepped.end();
}

// Guards against a process that is killed at its stop with requests unanswered: closing its listener took one
// turn for all that waited, 460 connections in 160 ms.
TEST(Listener, ClosingTakesThoseThatWaitOverManyTurns) {
  SteppedReactor stepped;
  std::atomic<int> accepted_count = 0;  // also read by the test's thread
  std::atomic<bool> is_open = true;     // likewise
  int accepted_before_due_work = -1;
  Listener listener(stepped.reactor, parse_address("127.0.0.1:0"), [&](const Accepted& accepted) {
    ++accepted_count;
    std::this_thread::sleep_for(kNewcomerCost);
    ::close(accepted.fd);
  });
  const Crowd crowd(listener.port());
  stepped.reactor.post([&] {
    listener.close();
    stepped.reactor.post([&] { accepted_before_due_work = accepted_count; });
  });
  stepped.run_for([&] {
    const auto until = std::chrono::steady_clock::now() + kPatience;
    while (is_open && std::chrono::steady_clock::now() < until) {
      stepped.reactor.post_from_other_thread([&] { is_open = listener.is_open(); });
      std::this_thread::sleep_for(kNewcomerCost);
    }
  });
  EXPECT_LT(accepted_before_due_work, 3);
  EXPECT_EQ(accepted_count, kNewcomers);
  EXPECT_FALSE(is_open);
  stepped.end();
}

}  // namespace
}  // namespace damsonspoke::net
