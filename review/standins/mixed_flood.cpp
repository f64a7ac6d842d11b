// Case: bad clients send at full speed while edge nodes and an AJP gateway send their ops.
#include <sys/epoll.h>

#include "peers.h"

using namespace review;

namespace {

constexpr double kSeconds = 26;  // of the sound traffic
constexpr double kBadClientsAfterMs = 2000;
constexpr int kBadConnections = 400;        // "connect by hundreds"
constexpr int kRequestsAtOnce = 100;        // "hundreds of requests at once"
constexpr double kBadClientIntervalMs = 5;  // between two of them
constexpr int kEdgeNodes = 8;
constexpr double kEdgeIntervalMs = 100;  // between two ops of an edge node
constexpr int kGatewayConnections = 16;
constexpr double kGatewayIntervalMs = 10;  // between two ops of a connection of the gateway
constexpr double kLimitMs = 5400;          // the op type's timeout
constexpr double kSlackMs = 60 + 50;       // of the site, and of the sockets
constexpr double kAllowedShare = 3.0 / 1000;

std::string config(int listen, int runtime, int roster, int back_end) {
  return text(R"({"name":"n3","listen":"127.0.0.1:%d","runtime":"127.0.0.1:%d","roster":"127.0.0.1:%d",
 "backend":"127.0.0.1:%d","seed":"8c1f30d27a5be964","stop_ms":3200,
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "settings":{"servers":10,"resolution":4,
 "request-classes":[
  {"name":"avail-read","semantics":"retryable","target":1300,"give-up":3300,"worth":1},
  {"name":"rate-push","semantics":"retryable","target":2200,"give-up":5400,"worth":1},
  {"name":"close-out","semantics":"retryable","target":2200,"give-up":5400,"worth":3}],
 "family-info":{"cores":6,"memory-kb":110652,"run-factor":16,"key-kb":170,"callers":5,"caller-idle":30000,
  "halt":"pause","deep-checks":true,"list-follows":true,"say":"off","below":"shared","dep-share":6,
  "calls-over":5000,"linger":200,"calls-by-class":[true,false,true],"worth-without":[0.3,0,0.5],"fresh":0,
  "passes-deadline":true,"tells-gone":false,"cold":false,"gauges":["cpu_busy","runnable","mem_used","sockets"]},
 "rules":{"answer-slack":60,"fall":1500,"fall-multiple":8,"cold":17000,"cold-from":0.2,"stop-sending-within":2500},
 "allowed":{"retry-after":true,"max-retry-after":1000}}})",
              listen, runtime, roster, back_end);
}

std::string params(std::uint64_t txn, int edge, double limit_ms) {
  return text(R"("txn":"%016llx","door":%.0f,"lb":%d,"limit":%.0f,"ram":24.5,"standing":0.9,"arg":"%s")",
              static_cast<unsigned long long>(txn), std::floor(unix_ms()), edge, limit_ms,
              base64("room 7, stop sell").c_str());
}

// ---- An AJP gateway's connection: one request at a time.

std::string ajp_string(const std::string& value) {
  std::string out{static_cast<char>(value.size() >> 8), static_cast<char>(value.size() & 255)};
  return out + value + '\0';
}

std::string ajp_request() {
  std::string body{2, 2};  // forward request, GET
  body += ajp_string("HTTP/1.1") + ajp_string("/rates/lima") + ajp_string("127.0.0.1");
  body += "\xff\xff";  // no host name
  body += ajp_string("localhost") + std::string{0, 80, 0, 0, 0} + '\xff';
  return std::string{0x12, 0x34, static_cast<char>(body.size() >> 8), static_cast<char>(body.size() & 255)} +
         body;
}

// Sends ops until the time is over, a ping before each, as gateways do before they use a connection again;
// counts the ops that got a whole answer.
void run_gateway(int port, double until, std::atomic<int>& sent, std::atomic<int>& answered) {
  while (unix_ms() < until) {
    const int fd = connect_to(port);
    if (fd < 0) return;
    std::string input;
    bool is_open = true;
    while (is_open && unix_ms() < until) {
      const double next = unix_ms() + kGatewayIntervalMs;
      char pong[5];
      if (!write_all(fd, std::string{0x12, 0x34, 0, 1, 10}) || ::recv(fd, pong, 5, MSG_WAITALL) != 5) break;
      if (!write_all(fd, ajp_request())) break;
      ++sent;
      for (std::size_t end = std::string::npos; end == std::string::npos;) {
        char chunk[8192];
        const ssize_t n = ::recv(fd, chunk, sizeof chunk, 0);
        if (n <= 0) {
          is_open = false;
          break;
        }
        input.append(chunk, static_cast<std::size_t>(n));
        end = input.find(std::string("AB\0\2\5", 5));
        if (end == std::string::npos || input.size() < end + 6) {
          end = std::string::npos;
          continue;
        }
        ++answered;
        is_open = input[end + 5] == 1;
        input.clear();
      }
      sleep_until_unix_ms(next);
    }
    ::close(fd);
  }
}

// ---- Bad clients: each writes hundreds of requests at once, reads what comes, and writes the same again as
// soon as all are answered. One comes every few milliseconds.

void run_bad_clients(int port, double until, std::atomic<std::uint64_t>& bytes_read) {
  struct Client {
    std::string messages;
    std::size_t offset = 0;
    int answered = 0;
  };
  const int poll = ::epoll_create1(EPOLL_CLOEXEC);
  std::map<int, Client> clients;
  std::uint64_t txn = 1ULL << 50;
  const auto watch = [&](int fd, std::uint32_t what) {
    epoll_event event{what, {}};
    event.data.fd = fd;
    ::epoll_ctl(poll, EPOLL_CTL_MOD, fd, &event);
  };
  const auto add = [&] {
    const int fd = connect_to(port);
    if (fd < 0) return;
    Client& client = clients[fd];
    client = {};
    for (int n = 1; n <= kRequestsAtOnce; ++n)
      client.messages += EdgeNode::message(n, "avail-read", params(++txn, 99, 3300));
    ::fcntl(fd, F_SETFL, O_NONBLOCK);
    epoll_event event{EPOLLIN | EPOLLOUT, {}};
    event.data.fd = fd;
    ::epoll_ctl(poll, EPOLL_CTL_ADD, fd, &event);
  };
  double next = unix_ms();
  while (unix_ms() < until) {
    if (clients.size() < kBadConnections && unix_ms() >= next) {
      next = unix_ms() + kBadClientIntervalMs;
      add();
    }
    epoll_event events[64];
    const int count = ::epoll_wait(poll, events, 64, 1);
    for (int i = 0; i < count; ++i) {
      const int fd = events[i].data.fd;
      Client& client = clients.at(fd);
      bool is_open = true;
      if (events[i].events & (EPOLLIN | EPOLLERR | EPOLLHUP)) {
        char chunk[65536];
        const ssize_t n = ::recv(fd, chunk, sizeof chunk, 0);
        is_open = n > 0 || (n < 0 && errno == EAGAIN);
        if (n > 0) bytes_read += static_cast<std::uint64_t>(n);
        for (ssize_t k = 0; k < n; ++k) client.answered += chunk[k] == 'C' ? 1 : 0;  // of Content-Length
        const bool is_written = client.offset == client.messages.size();
        if (is_written && client.answered >= kRequestsAtOnce) {
          client.offset = 0;
          client.answered = 0;
          watch(fd, EPOLLIN | EPOLLOUT);
        }
      }
      if (is_open && (events[i].events & EPOLLOUT)) {
        const std::size_t left = std::min<std::size_t>(client.messages.size() - client.offset, 65536);
        const ssize_t n = ::send(fd, client.messages.data() + client.offset, left, MSG_NOSIGNAL);
        if (n > 0) client.offset += static_cast<std::size_t>(n);
        if (client.offset == client.messages.size()) watch(fd, EPOLLIN);
        is_open = n > 0 || errno == EAGAIN;
      }
      if (is_open) continue;
      ::close(fd);
      clients.erase(fd);
    }
  }
  for (const auto& [fd, client] : clients) ::close(fd);
  ::close(poll);
}

// ---- An edge node: ops on one connection, opened anew when it ends.

struct Tally {
  int sent = 0, served = 0, refused = 0, failed = 0, late = 0, lost = 0;
};

void run_edge_node(int index, int port, double until, Tally& tally) {
  const std::string name = "edge node " + std::to_string(index);
  auto edge = std::make_unique<EdgeNode>(port, name);
  edge->be_quiet();
  std::uint64_t txn = static_cast<std::uint64_t>(index) << 40;
  while (unix_ms() < until) {
    const double began = unix_ms();
    const double door = std::floor(began);
    ++txn;
    const int number = edge->send("close-out", params(txn, index, kLimitMs));
    ++tally.sent;
    const Answer answer = edge->wait_for(number, kLimitMs + kSlackMs + 500);
    const double ms = unix_ms() - door;
    switch (answer.kind) {
      case Answer::Kind::kServed: ++tally.served; break;
      case Answer::Kind::kRefused: ++tally.refused; break;
      case Answer::Kind::kFailed: ++tally.failed; break;
      default: ++tally.lost; break;
    }
    const bool is_lost = answer.kind == Answer::Kind::kLost || answer.kind == Answer::Kind::kNone;
    if (!is_lost && answer.at - door > kLimitMs + kSlackMs) ++tally.late;
    if (is_lost) {
      record.line(
          name +
          text(": op %016llx, written whole at once, lost: %s after %.0f ms; last message without an id: %s",
               static_cast<unsigned long long>(txn), name_of(answer.kind), ms, edge->last_words().c_str()));
      edge = std::make_unique<EdgeNode>(port, name);
      edge->be_quiet();
    }
    sleep_until_unix_ms(began + kEdgeIntervalMs);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments = read_arguments(argc, argv);
  Runtime runtime([](const std::string&, const std::string&, const std::string&) {
    return Work{0, "", 8, "complete", "done"};
  });
  runtime.be_quiet();
  BackEnd back_end(10);
  Roster roster;
  const int port = free_port();
  const int ajp_port = free_port();
  const std::string path = arguments.temporary + "/config.json";
  const std::string operators = arguments.temporary + "/operator.conf";
  write_file(path, config(port, runtime.port(), roster.port(), back_end.port()));
  write_file(
      operators,
      text("ajp\n    listen  127.0.0.1:%d\n    share   25%%\n    map GET /rates/**  avail-read  held=16\n",
           ajp_port));
  Program program(run_command(),
                  {"PROXY_NAME=n3", text("PROXY_LISTEN=127.0.0.1:%d", port), "PROXY_CONFIG=" + path,
                   "DAMSONSPOKE_OPERATOR=" + operators},
                  arguments.temporary + "/backend.log");
  wait_until_healthy(port);

  const double until = unix_ms() + kSeconds * 1000;
  std::atomic<int> ajp_sent{0};
  std::atomic<int> ajp_answered{0};
  std::atomic<std::uint64_t> bad_bytes{0};
  std::vector<Tally> tallies(kEdgeNodes);
  std::vector<std::thread> threads;
  for (int i = 0; i < kGatewayConnections; ++i)
    threads.emplace_back([&, i] {
      sleep_ms(i * kGatewayIntervalMs / kGatewayConnections);
      run_gateway(ajp_port, until, ajp_sent, ajp_answered);
    });
  for (int i = 0; i < kEdgeNodes; ++i)
    threads.emplace_back([&, i] { run_edge_node(i + 1, port, until, tallies[static_cast<std::size_t>(i)]); });
  if (arguments.trouble) {
    threads.emplace_back([&] {
      sleep_ms(kBadClientsAfterMs);
      record.line(text("bad clients: %d connections, %d requests each at once, again and again",
                       kBadConnections, kRequestsAtOnce));
      run_bad_clients(port, until + 1000, bad_bytes);
    });
  }
  for (std::thread& thread : threads) thread.join();

  Tally all;
  for (const Tally& tally : tallies) {
    all.sent += tally.sent;
    all.served += tally.served;
    all.refused += tally.refused;
    all.failed += tally.failed;
    all.late += tally.late;
    all.lost += tally.lost;
  }
  record.line(text("gateway: %d ops by AJP, %d answered; bad clients read %llu bytes", ajp_sent.load(),
                   ajp_answered.load(), static_cast<unsigned long long>(bad_bytes.load())));
  const int without = all.lost + all.late;
  const bool is_broken = without > kAllowedShare * all.sent;
  const std::string summary = text(
      "of %d ops of %d edge nodes %d were served, %d refused, %d failed, %d answered late, %d lost; "
      "allowed without a final answer in time: 3 in 1,000: rule %s",
      all.sent, kEdgeNodes, all.served, all.refused, all.failed, all.late, all.lost,
      is_broken ? "broken" : "held");
  record.line("verdict: " + summary);
  std::printf("%s\n", summary.c_str());
  if (program.has_ended() || all.sent == 0) cannot_run("the program ended");
  finish(is_broken ? 1 : 0);
}
