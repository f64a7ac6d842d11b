// Servers of src/peers in the test's own process, and plain sockets as their peers.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "observability/counters.h"
#include "observability/logger.h"
#include "peers/ports.h"
#include "peers/tier/planner_client.h"
#include "settings/operator_options.h"
#include "stepped_reactor.h"

namespace damsonspoke::peers {

constexpr double kStepSeconds = 0.1;  // in which the reactor reads what was sent
constexpr std::size_t kOutputBytes = 1 << 20;

inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

// A socket of the test. Reads and writes block.
class Socket {
 public:
  explicit Socket(int fd) : fd_(fd) {
    if (fd_ < 0) throw std::runtime_error("no socket over loopback");
  }
  static Socket connected(std::uint16_t port) {
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = loopback(port);
    if (::connect(socket.fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
      throw std::runtime_error("no connection over loopback");
    return socket;
  }
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  Socket& operator=(Socket&&) = delete;
  ~Socket() {
    if (fd_ >= 0) ::close(fd_);
  }
  void send(const std::string& bytes) const {
    EXPECT_EQ(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
  }
  // What has arrived; does not block.
  [[nodiscard]] std::string receive() const {
    std::string bytes(kOutputBytes, '\0');
    const ssize_t length = ::recv(fd_, bytes.data(), bytes.size(), MSG_DONTWAIT);
    bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(length, 0)));
    return bytes;
  }
  [[nodiscard]] bool is_closed() const {
    char byte = 0;
    return ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }
  [[nodiscard]] int fd() const { return fd_; }

 private:
  int fd_ = -1;
};

struct RecordedEvents : CallerEvents, PlannerEvents {
  [[nodiscard]] bool is_in_use(RequestId /*id*/) const override { return false; }
  [[nodiscard]] bool may_have_run(RequestId /*id*/) const override { return false; }
  [[nodiscard]] bool may_be_rejected(const IncomingRequest& request) const override {
    return request.idempotency_key != key_that_may_have_run;
  }
  void on_request_read(IncomingRequest request) override {
    request_ages.push_back(net::unix_now() - request.received_at);
    arrived_earlier.push_back(request.arrived_earlier);
  }
  void on_caller_disconnected(RequestId /*id*/) override {}
  void on_health_check(ReplyAddress reply_to, bool /*requires_self_test*/) override {
    health_checks.push_back(reply_to.connection);
  }
  void on_link_up(int /*planner*/, std::uint64_t /*epoch*/, std::uint32_t /*window*/) override { ++links; }
  void on_link_lost(int /*planner*/, const std::vector<std::uint64_t>& /*unwritten*/) override { --links; }
  void on_load_report(int /*planner*/, const wire::tier::LoadReport& /*report*/) override {}
  void on_planner_draining(int /*planner*/) override {}
  void on_answer(int /*planner*/, std::uint64_t /*epoch*/, const wire::tier::Answer& /*answer*/) override {}

  std::string key_that_may_have_run = "none";
  std::vector<std::uint64_t> health_checks;  // the tags of their connections, in order
  std::vector<double> request_ages;          // s since their arrival as they were read
  std::vector<double> arrived_earlier;       // s by which they may have arrived before that
  int links = 0;
};

// `stepped.end()` has to be called before the server of a test is destroyed.
struct PeerFixture {
  SteppedReactor stepped;
  Counters counters;
  Logger log{Level::kError};
  RecordedEvents events;
};

// One route "read", which POST /read is mapped to.
inline AjpOptions ajp_options() {
  AjpOptions options;
  options.listen = "127.0.0.1:0";
  options.packet = 8192;
  options.body = 2048;
  options.idle = 60;
  options.routes.push_back({"POST", {"read"}, false, "read", {}, {}, {}, {}});
  return options;
}

inline std::string json_message(const std::string& body) {
  return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string json_health_check(int id = 1) {
  return json_message(R"({"jsonrpc":"2.0","id":)" + std::to_string(id) +
                      R"(,"method":"health","params":{}})");
}

}  // namespace damsonspoke::peers
