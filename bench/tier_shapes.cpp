// Probe for the design of two levels: what passing the whole request on costs, against asking for a grant
// with a descriptor and sending the body only once it is granted. Two threads over loopback, the project's
// frames; the processor time of both ends a request, and the time to an answer, by body size and by the share
// that is refused.
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

double cpu() {
  timespec t{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}
double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::pair<int, int> connected() {
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  if (::bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(listener, 1) != 0)
    throw std::runtime_error("no loopback");
  ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  const int a = ::socket(AF_INET, SOCK_STREAM, 0);
  if (::connect(a, reinterpret_cast<sockaddr*>(&address), size) != 0) throw std::runtime_error("no loopback");
  const int b = ::accept(listener, nullptr, nullptr), on = 1;
  ::close(listener);
  for (const int fd : {a, b}) ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return {a, b};
}

class End {
 public:
  explicit End(int fd) : fd_(fd) {}
  void put(const wt::Message& message) {
    const std::string bytes = wt::encode(message);
    if (::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) throw std::runtime_error("send");
  }
  wt::Message get() {
    for (;;) {
      wt::DecodedFrame taken = wt::decode_next_frame(in_);
      if (taken.state == wt::Framing::kFrame) return in_.erase(0, taken.length), std::move(taken.message);
      char bytes[65536];
      const ssize_t got = ::recv(fd_, bytes, sizeof bytes, 0);
      if (got <= 0) throw std::runtime_error("recv");
      in_.append(bytes, static_cast<std::size_t>(got));
    }
  }

 private:
  int fd_;
  std::string in_;
};

struct Cost {
  double us = 0;   // of both ends, a request
  double p50 = 0;  // us to an answer
};

// One request at a time, as forwarders send them; a grant is a Window frame, the body follows in a Submit.
Cost play(bool grants, std::size_t body, double refused, int requests) {
  const auto [a, b] = connected();
  double planner_cpu = 0;
  std::thread planner([&, fd = b] {
    End end(fd);
    pcg32 random(3);
    const double begin = cpu();
    for (int i = 0; i < requests; ++i) {
      wt::Message message = end.get();
      wt::Answer answer;
      answer.attempt = std::get<wt::Submit>(message).attempt;
      if (random() / 4294967296.0 < refused) {
        answer.result = wt::Result::kRejected;
      } else {
        if (grants) end.put(wt::LoadReport{1, 0, true}), message = end.get();
        answer.result = wt::Result::kSucceeded;
        answer.body.assign(256, 'r');
      }
      end.put(answer);
    }
    planner_cpu = cpu() - begin;
  });
  End end(a);
  std::vector<double> waits;
  const double begin = cpu();
  for (int i = 0; i < requests; ++i) {
    wt::Submit submit;
    submit.attempt = static_cast<std::uint64_t>(i) + 1;
    submit.request = submit.attempt;
    const double sent = now();
    if (!grants) submit.body.assign(body, 'b');
    end.put(submit);
    if (grants && std::holds_alternative<wt::LoadReport>(end.get())) {
      submit.body.assign(body, 'b');
      end.put(submit);
      end.get();
    } else if (!grants) {
      end.get();
    }
    waits.push_back(now() - sent);
  }
  const double forwarder_cpu = cpu() - begin;
  planner.join();
  ::close(a), ::close(b);
  std::nth_element(waits.begin(), waits.begin() + requests / 2, waits.end());
  return {(forwarder_cpu + planner_cpu) / requests * 1e6,
          waits[static_cast<std::size_t>(requests) / 2] * 1e6};
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("tier_shapes", "whole ops against grants");
  options.add_options()("ops", "of each play", cxxopts::value<int>()->default_value("20000"));
  const int requests = options.parse(argc, argv)["ops"].as<int>();
  fmt::print("{:>8}{:>9}{:>12}{:>12}{:>12}{:>12}\n", "body", "refused", "whole us", "grant us", "whole p50",
             "grant p50");
  std::string figures;
  for (const std::size_t body : {64, 2048, 16384}) {
    for (const double refused : {0.0, 0.2, 0.5, 0.9}) {
      Cost whole, grant;
      for (int round = 0; round < 2; ++round)  // the second counts: the first warms up
        whole = play(false, body, refused, requests), grant = play(true, body, refused, requests);
      fmt::print("{:>8}{:>9.1f}{:>12.2f}{:>12.2f}{:>12.1f}{:>12.1f}\n", body, refused, whole.us, grant.us,
                 whole.p50, grant.p50);
      figures += fmt::format(" whole_{}_{:.1f}_us={:.2f} grant_{}_{:.1f}_us={:.2f}", body, refused, whole.us,
                             body, refused, grant.us);
    }
  }
  fmt::print("figures:{}\n", figures);
  return 0;
}
