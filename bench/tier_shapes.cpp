// Benchmark of two designs of forwarding: sending the complete request, against sending its header, waiting
// for a grant, and then sending the body. Two threads exchange the project's frames over loopback. Measures
// the processor time of both ends per request and the latency, by body size and by the share of rejected
// requests.
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <cxxopts.hpp>
#include <pcg_random.hpp>
#include <stdexcept>
#include <thread>
#include <vector>

#include "wire/tier.h"

namespace wt = damsonspoke::wire::tier;

namespace {

double thread_cpu_seconds() {
  timespec t{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}
double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::pair<int, int> connected_sockets() {
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  if (::bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(listener, 1) != 0)
    throw std::runtime_error("cannot listen on loopback");
  ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  const int a = ::socket(AF_INET, SOCK_STREAM, 0);
  if (::connect(a, reinterpret_cast<sockaddr*>(&address), size) != 0)
    throw std::runtime_error("cannot connect over loopback");
  const int b = ::accept(listener, nullptr, nullptr), on = 1;
  ::close(listener);
  for (const int fd : {a, b}) ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return {a, b};
}

class Endpoint {
 public:
  explicit Endpoint(int fd) : fd_(fd) {}
  void send(const wt::Message& message) {
    const std::string bytes = wt::encode(message);
    if (::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0)
      throw std::runtime_error("send to the peer failed");
  }
  wt::Message receive() {
    for (;;) {
      wt::DecodedFrame frame = wt::decode_next_frame(received_);
      if (frame.state == wt::Framing::kFrame)
        return received_.erase(0, frame.length), std::move(frame.message);
      char bytes[65536];
      const ssize_t size_read = ::recv(fd_, bytes, sizeof bytes, 0);
      if (size_read <= 0) throw std::runtime_error("receive from the peer failed");
      received_.append(bytes, static_cast<std::size_t>(size_read));
    }
  }

 private:
  int fd_;
  std::string received_;
};

struct Costs {
  double cpu_us = 0;          // of both ends, per request
  double latency_p50_us = 0;  // until the answer
};

// Sends one request at a time. A grant is a LoadReport frame; the body follows in a second Submit frame.
Costs run_trial(bool uses_grants, std::size_t body_bytes, double rejected_share, int requests) {
  const auto [a, b] = connected_sockets();
  double planner_cpu_seconds = 0;
  std::thread planner([&, fd = b] {
    Endpoint endpoint(fd);
    pcg32 random(3);
    const double cpu_began = thread_cpu_seconds();
    for (int i = 0; i < requests; ++i) {
      wt::Message message = endpoint.receive();
      wt::Answer answer;
      answer.attempt = std::get<wt::Submit>(message).attempt;
      if (random() / 4294967296.0 < rejected_share) {
        answer.result = wt::Result::kRejected;
      } else {
        if (uses_grants) endpoint.send(wt::LoadReport{1, 0, true}), message = endpoint.receive();
        answer.result = wt::Result::kSucceeded;
        answer.body.assign(256, 'r');
      }
      endpoint.send(answer);
    }
    planner_cpu_seconds = thread_cpu_seconds() - cpu_began;
  });
  Endpoint endpoint(a);
  std::vector<double> latencies;
  const double cpu_began = thread_cpu_seconds();
  for (int i = 0; i < requests; ++i) {
    wt::Submit submit;
    submit.attempt = static_cast<std::uint64_t>(i) + 1;
    submit.request = submit.attempt;
    const double sent = now();
    if (!uses_grants) submit.body.assign(body_bytes, 'b');
    endpoint.send(submit);
    if (uses_grants && std::holds_alternative<wt::LoadReport>(endpoint.receive())) {
      submit.body.assign(body_bytes, 'b');
      endpoint.send(submit);
      endpoint.receive();
    } else if (!uses_grants) {
      endpoint.receive();
    }
    latencies.push_back(now() - sent);
  }
  const double forwarder_cpu_seconds = thread_cpu_seconds() - cpu_began;
  planner.join();
  ::close(a), ::close(b);
  std::nth_element(latencies.begin(), latencies.begin() + requests / 2, latencies.end());
  return {(forwarder_cpu_seconds + planner_cpu_seconds) / requests * 1e6,
          latencies[static_cast<std::size_t>(requests) / 2] * 1e6};
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("tier_shapes", "complete requests against grants");
  options.add_options()("ops", "requests of each trial", cxxopts::value<int>()->default_value("20000"));
  const int requests = options.parse(argc, argv)["ops"].as<int>();
  fmt::print("{:>8}{:>9}{:>12}{:>12}{:>12}{:>12}\n", "body", "rejected", "full us", "grant us", "full p50",
             "grant p50");
  std::string figures;
  for (const std::size_t body_bytes : {64, 2048, 16384}) {
    for (const double rejected_share : {0.0, 0.2, 0.5, 0.9}) {
      Costs complete, grant;
      for (int round = 0; round < 2; ++round)  // the first round warms up; the second is reported
        complete = run_trial(false, body_bytes, rejected_share, requests),
        grant = run_trial(true, body_bytes, rejected_share, requests);
      fmt::print("{:>8}{:>9.1f}{:>12.2f}{:>12.2f}{:>12.1f}{:>12.1f}\n", body_bytes, rejected_share,
                 complete.cpu_us, grant.cpu_us, complete.latency_p50_us, grant.latency_p50_us);
      figures += fmt::format(" whole_{}_{:.1f}_us={:.2f} grant_{}_{:.1f}_us={:.2f}", body_bytes,
                             rejected_share, complete.cpu_us, body_bytes, rejected_share, grant.cpu_us);
    }
  }
  fmt::print("figures:{}\n", figures);
  return 0;
}
