// The client of the runtime against a bare socket, with the reactor paused while the other side writes or
// closes the link: which commands are sent again on the next link, and which are not. CTest compares with
// tests/traces/runtime_client_crossings_NAME.txt. usage: runtime_client_crossings - SCENARIO
#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "peers/runtime/client.h"
#include "scenarios.h"
#include "stepped_reactor.h"

using namespace damsonspoke;

namespace {

constexpr std::size_t kOutputBytes = 256 * 1024;  // of commands that may wait in the client
constexpr int kSmallReceiveBytes = 4 * 1024;
constexpr int kLargeReceiveBytes = 1024 * 1024;
constexpr std::size_t kBodyBytes = 2 * 1024;
constexpr int kStartsPerIteration = 8;
constexpr int kMaxIterations = 1000;
constexpr double kIterationSeconds = 0.002;
constexpr double kStepSeconds = 0.01;
constexpr int kMaxSteps = 300;      // of waiting for expected input
constexpr int kBacklogFillers = 8;  // more than the queue of a listener without a backlog
constexpr RequestId kLastRequestWhileHung = 11;
constexpr int kQuietSteps = 20;  // in which a second command would arrive

// A listener on loopback, whose input is read only when the test does so.
class BareRuntime {
 public:
  BareRuntime() {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&at), size) != 0) std::abort();
    if (::listen(listener_, 8) != 0) std::abort();
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
    port_ = ntohs(at.sin_port);
  }
  BareRuntime(const BareRuntime&) = delete;
  BareRuntime& operator=(const BareRuntime&) = delete;
  ~BareRuntime() {
    close_link();
    ::close(listener_);
  }
  std::string address() const { return fmt::format("127.0.0.1:{}", port_); }
  // Applies to links that connect from now on.
  void set_receive_bytes(int bytes) { ::setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes); }
  bool accept_link() {
    link_ = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    return link_ >= 0;
  }
  bool has_link() const { return link_ >= 0; }
  void send(const std::string& text) {
    if (::send(link_, text.data(), text.size(), MSG_NOSIGNAL) < 0) fmt::print("(cannot send)\n");
  }
  // The input on the link; with a timeout, all of it until the link ends.
  std::string received(int timeout_ms = 0) {
    std::string all;
    char bytes[65536];
    for (;;) {
      pollfd one{link_, POLLIN, 0};
      if (::poll(&one, 1, timeout_ms) <= 0) return all;
      const ssize_t got = ::recv(link_, bytes, sizeof bytes, MSG_DONTWAIT);
      if (got <= 0) return all;
      all.append(bytes, static_cast<std::size_t>(got));
    }
  }
  void close_link() {
    if (link_ >= 0) ::close(link_);
    link_ = -1;
  }

 private:
  int listener_ = -1, link_ = -1;
  std::uint16_t port_ = 0;
};

struct Client : peers::RuntimeEvents {
  Client() : log(Level::kError) {}
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  ~Client() override { stepped.end(); }
  void on_runtime_ready(bool, double) override {}
  void on_run_ended(RequestId id, Outcome, double, std::string_view) override { ++ends[id]; }
  void on_call_requested(RequestId id, std::uint64_t, std::string_view) override { ++calls[id]; }
  void on_self_test_result(std::uint64_t, bool) override {}
  void on_not_started(RequestId) override { ++not_started; }
  void on_run_given_up(RequestId) override { ++given_up; }
  void on_runtime_restarted(const std::unordered_set<RequestId>&) override { ++restarts; }

  // Runs the client until this has arrived.
  bool wait_for_input(const std::string& part) {
    for (int i = 0; i < kMaxSteps && in.find(part) == std::string::npos; ++i) {
      stepped.run_for(kStepSeconds);
      if (!bare.has_link() && !bare.accept_link()) continue;
      in += bare.received();
    }
    return in.find(part) != std::string::npos;
  }
  // On a new link: answers its gauges, and sends `right_after` before it reads what the client sends then.
  void synchronize(const std::string& state, const std::string& right_after = "") {
    wait_for_input("sync ");
    bare.send("ready " + state + "\r\n");
    wait_for_input("gauges ");
    const std::size_t at = in.find("gauges ") + 7;
    in += bare.received();
    bare.send("load " + in.substr(at, in.find("\r\n", at) - at) + " 0.25 1\r\n");
    stepped.run_for(kStepSeconds);
    bare.send(right_after);
    for (int i = 0; i < kQuietSteps; ++i) {
      stepped.run_for(kStepSeconds);
      in += bare.received();
    }
  }
  void cut() {
    bare.close_link();
    in.clear();
  }
  int count(const std::string& part) const { return count_in(in, part); }
  static int count_in(const std::string& text, const std::string& part) {
    int n = 0;
    for (std::size_t at = 0; (at = text.find(part, at)) != std::string::npos; at += part.size()) ++n;
    return n;
  }

  SteppedReactor stepped;
  BareRuntime bare;
  Counters counters;
  Logger log;
  std::map<RequestId, int> ends, calls;
  int not_started = 0, given_up = 0, restarts = 0;
  std::string in;
  peers::RuntimeClient runtime{stepped.reactor, bare.address(), kOutputBytes, {}, *this, counters, log};
};

constexpr double kSecondsUntilDue = 30;  // longer than any scenario takes

void start(Client& client, RequestId id, const std::string& body, bool may_repeat) {
  client.runtime.start({id, "push", body, may_repeat, kSecondsUntilDue});
}
void send_reply(Client& client, RequestId id, const std::string& reply, std::uint64_t notice,
                bool may_be_skipped) {
  client.runtime.send_reply(id, reply, {notice, may_be_skipped});
}

std::string start_of(RequestId id) { return fmt::format("start {:016x} ", id); }
std::string complete_start(RequestId id, const std::string& body) {
  return fmt::format("start {:016x} push {}\r\n{}\r\n", id, body.size(), body);
}

// Answers the gauges that were requested and are not answered yet.
void answer_gauges(Client& client) {
  for (std::size_t at = 0; (at = client.in.find("gauges ", at)) != std::string::npos;) {
    const std::size_t tag = at + 7;
    const std::size_t end = client.in.find("\r\n", tag);
    if (end == std::string::npos) return;
    client.bare.send("load " + client.in.substr(tag, end - tag) + " 0.25 1\r\n");
    client.in.replace(at, 6, "asked!");
  }
}

// Guards against a start that runs twice, or never, where the client's own output buffer overflows: the
// other side reads nothing until the client closes the link. A start that had arrived completely is not
// sent again; every other one is sent on the next link, once.
void overflow_once() {
  Client client;
  client.bare.set_receive_bytes(kSmallReceiveBytes);
  client.wait_for_input("sync 0");
  client.bare.set_receive_bytes(kLargeReceiveBytes);  // the next link accepts all output
  client.synchronize("hot 0");
  const std::string body(kBodyBytes, 'b');
  RequestId last = 0;
  const auto given_up = [&] { return client.counters[Count::kRuntimeBroken] > 0; };
  for (int iteration = 0; iteration < kMaxIterations && !given_up(); ++iteration) {
    for (int i = 0; i < kStartsPerIteration; ++i) start(client, ++last, body, false);
    client.stepped.run_for(kIterationSeconds);
  }
  const std::string first_link = client.bare.received(200);
  client.cut();
  client.synchronize("hot 900");
  int first = 0, again = 0, missing = 0, twice_on_one = 0;
  for (RequestId id = 1; id <= last; ++id) {
    const int before = Client::count_in(first_link, complete_start(id, body));
    const int after = client.count(complete_start(id, body));
    first += before;
    again += before > 0 && after > 0;
    missing += before + after == 0;
    twice_on_one += before > 1 || after > 1;
  }
  say("the link was closed, with starts before and after that", first > 0 && first < static_cast<int>(last));
  say("no start that had arrived was sent again", again == 0);
  say("each start arrived on at least one link", missing == 0);
  say("no start arrived twice on one link", twice_on_one == 0);
}

// Guards against a second start of a run that ends directly after the gauges of the next link.
void break_before_run_end(bool may_repeat) {
  Client client;
  client.synchronize("hot 0");
  start(client, 1, "body", may_repeat);
  client.wait_for_input("body\r\n");
  client.cut();
  client.synchronize("hot 900", "end 1 0000000000000001 complete 20 0\r\n\r\n");
  fmt::print("starts on the second link: {}, ends: {}\n", client.count(start_of(1)), client.ends[1]);
}
void start_once() { break_before_run_end(false); }
void start_repeatable() { break_before_run_end(true); }

// Guards against a reply that answers the next call, and against a run that is never continued.
void break_before_next_call(bool may_be_skipped) {
  Client client;
  client.synchronize("hot 0");
  start(client, 1, "body", true);
  client.wait_for_input("body\r\n");
  client.bare.send("wants 1 0000000000000001 5\r\nfirst\r\n");
  client.stepped.run_for(kStepSeconds);
  for (int i = 0; i < kMaxSteps && client.calls[1] == 0; ++i) client.stepped.run_for(kStepSeconds);
  send_reply(client, 1, "reply", 1, may_be_skipped);
  client.wait_for_input("reply\r\n");
  client.cut();
  client.synchronize("hot 900", "wants 2 0000000000000001 6\r\nsecond\r\n");
  fmt::print("on the second link: give {}, omit of the first call {}; calls requested: {}\n",
             client.count("give 0000000000000001 "), client.count("omit 0000000000000001 1\r\n"),
             client.calls[1]);
}
void reply_skippable() { break_before_next_call(true); }
void reply_needed() { break_before_next_call(false); }

// Guards against commands that are lost or sent twice because they waited for a link: a start, a reply, a
// stop and a resumption that were issued without a link are sent once, in their order.
void issued_without_link() {
  Client client;
  client.synchronize("hot 0");
  for (RequestId id = 1; id <= 2; ++id) start(client, id, "body", false);
  client.wait_for_input(start_of(2));
  client.bare.send("wants 1 0000000000000001 5\r\nfirst\r\nend 2 0000000000000002 cancelled 5 0\r\n\r\n");
  for (int i = 0; i < kMaxSteps && client.ends[2] == 0; ++i) client.stepped.run_for(kStepSeconds);
  client.cut();
  for (int i = 0; i < kMaxSteps && client.counters[Count::kRuntimeBroken] == 0; ++i)
    client.stepped.run_for(kStepSeconds);
  send_reply(client, 1, "reply", 1, false);
  client.runtime.resume(2, kSecondsUntilDue);
  start(client, 3, "body", false);
  client.runtime.stop(3);
  client.synchronize("hot 900");
  fmt::print("starts: {} {} {}, give: {}, cont: {}, stop: {}\n", client.count(start_of(1)),
             client.count(start_of(2)), client.count(start_of(3)), client.count("give "),
             client.count("cont "), client.count("stop "));
  const bool in_order = client.in.find("give ") < client.in.find("cont ") &&
                        client.in.find("cont ") < client.in.find("start ") &&
                        client.in.find("start ") < client.in.find("stop ");
  say("in the order of issue", in_order);
}

// Guards against commands that wait for as long as connects to a new address hang: the old link stays in
// use until the new one is up.
void moved_to_silence() {
  Client client;
  client.synchronize("hot 0");
  const int full = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  if (::bind(full, reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(full, 0) != 0) std::abort();
  ::getsockname(full, reinterpret_cast<sockaddr*>(&at), &size);
  std::vector<int> backlog_fillers;
  for (int i = 0; i < kBacklogFillers; ++i) {
    backlog_fillers.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    static_cast<void>(::connect(backlog_fillers.back(), reinterpret_cast<sockaddr*>(&at), size));
  }
  start(client, 1, "body", false);
  client.runtime.move_to(fmt::format("127.0.0.1:{}", ntohs(at.sin_port)));
  client.stepped.run_for(kStepSeconds);
  int late = 0;
  for (RequestId id = 2; id <= kLastRequestWhileHung; ++id) {
    start(client, id, "body", false);
    for (int i = 0; i < kQuietSteps; ++i) {
      client.stepped.run_for(kStepSeconds);
      client.in += client.bare.received();
      answer_gauges(client);
    }
    late += client.count(start_of(id)) == 0;
  }
  for (const int fd : backlog_fillers) ::close(fd);
  ::close(full);
  fmt::print("starts: {}, received later than {} ms on the old link: {}\n", kLastRequestWhileHung - 1,
             static_cast<int>(kQuietSteps * kStepSeconds * 1000), late);
}

}  // namespace

int main(int argc, char** argv) {
  std::string unused;
  return run_scenario(argc, argv, unused,
                      {{"overflow_once", overflow_once},
                       {"start_once", start_once},
                       {"start_repeatable", start_repeatable},
                       {"reply_skippable", reply_skippable},
                       {"reply_needed", reply_needed},
                       {"issued_without_link", issued_without_link},
                       {"moved_to_silence", moved_to_silence}});
}
