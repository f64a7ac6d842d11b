// Links that end while data is in transit: calls to the dependency and the link to the runtime, against
// bare sockets, with the reactor of the program paused while the other side writes, closes or resets. What
// the end of a link proves is judged by what was really sent. CTest compares with
// tests/traces/link_ends_NAME.txt. usage: link_ends - SCENARIO
#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <cstring>
#include <map>
#include <string>
#include <vector>

#include "peers/dependency/client.h"
#include "peers/runtime/client.h"
#include "scenarios.h"
#include "stepped_reactor.h"

using namespace damsonspoke;

namespace {

// The other side: a listener on loopback and its input, which is read only when the test does so.
class BareListener {
 public:
  explicit BareListener(int backlog = 64) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(fd_, backlog) != 0) std::abort();
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
    port_ = ntohs(at.sin_port);
  }
  BareListener(const BareListener&) = delete;
  BareListener& operator=(const BareListener&) = delete;
  ~BareListener() {
    for (const int fd : links_) ::close(fd);
    if (fd_ >= 0) ::close(fd_);
  }
  std::string address() const { return fmt::format("127.0.0.1:{}", port_); }
  std::uint16_t port() const { return port_; }
  // Refuses connections from now on.
  void refuse() {
    ::close(fd_);
    fd_ = -1;
  }
  // Accepts the waiting connections, and counts the links that are open.
  int count_links() {
    for (int fd; fd_ >= 0 && (fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0;)
      links_.push_back(fd);
    return static_cast<int>(links_.size());
  }
  // The descriptor of the newest link; -1 where there is none.
  int newest() { return count_links() > 0 ? links_.back() : -1; }
  // The input so far, or what arrives within so many seconds.
  static std::string received(int fd, double timeout_seconds = 0) {
    pollfd one{fd, POLLIN, 0};
    ::poll(&one, 1, static_cast<int>(timeout_seconds * 1000));
    char bytes[65536];
    const ssize_t got = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
    return got > 0 ? std::string(bytes, static_cast<std::size_t>(got)) : std::string();
  }
  static void send(int fd, const std::string& text) {
    if (::send(fd, text.data(), text.size(), MSG_NOSIGNAL) < 0) std::printf("(cannot send)\n");
  }
  void close(int fd, bool with_reset) {
    const linger now{1, 0};
    if (with_reset) ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::close(fd);
    std::erase(links_, fd);
  }

 private:
  int fd_ = -1;
  std::uint16_t port_ = 0;
  std::vector<int> links_;
};

bool proves_not_run(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kUnreachable || outcome == Outcome::kObsolete;
}

std::string name_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk: return "ok";
    case Outcome::kRejected: return "rejected, never ran";
    case Outcome::kUnreachable: return "unreachable, never ran";
    case Outcome::kTimeout: return "timed out, may have run";
    case Outcome::kReset: return "broken, may have run";
    case Outcome::kError: return "failed, may have run";
    case Outcome::kObsolete: return "obsolete, never ran";
    case Outcome::kCancelled: return "cancelled";
  }
  return "?";
}

// ---- Calls of the dependency.

// A client of the dependency whose other side is a bare listener.
struct Calls : peers::DependencyEvents {
  explicit Calls(std::size_t max_links = 8, int backlog = 64)
      : bare(backlog),
        log(Level::kError),
        dependency(stepped.reactor, bare.address(), max_links, *this, counters, log) {}
  Calls(const Calls&) = delete;
  Calls& operator=(const Calls&) = delete;
  ~Calls() override { stepped.end(); }
  void on_call_ended(RequestId id, Outcome outcome, double, std::string_view) override {
    ends[id].push_back(outcome);
  }
  void run(double seconds) { stepped.run_for(seconds); }
  // How a call has ended; waits for that for 2 s at most.
  std::string end_of(RequestId id) {
    for (int i = 0; i < 100 && ends[id].empty(); ++i) run(0.02);
    run(0.02);
    if (ends[id].empty()) return "no end";
    return name_of(ends[id].front()) + (ends[id].size() > 1 ? ", AND ANOTHER END" : "");
  }
  // Makes a call and waits until the other side has read all of it. Returns the descriptor of the link, -1
  // where the call was not read.
  int call_and_read(RequestId id, double timeout) {
    dependency.call(id, timeout, "body");
    for (int i = 0; i < 100; ++i) {
      run(0.01);
      const int fd = bare.newest();
      if (fd >= 0 && BareListener::received(fd).find("body") != std::string::npos) return fd;
    }
    return -1;
  }
  SteppedReactor stepped;
  BareListener bare;
  Counters counters;
  Logger log;
  std::map<RequestId, std::vector<Outcome>> ends;
  peers::DependencyClient dependency;
};

std::string reply(RequestId id) { return fmt::format("{:016x} ok 5\r\nreply\r\n", id); }

// Events that coincide in one event-loop iteration.
void one_iteration() {
  {
    Calls calls;
    const int fd = calls.call_and_read(1, 0.2);
    ::usleep(250'000);  // the timeout expires before the reactor polls again; the reply is there too
    BareListener::send(fd, reply(1));
    fmt::print("reply and timeout: {}\n", calls.end_of(1));
  }
  {
    Calls calls;
    const int fd = calls.call_and_read(1, 5);
    BareListener::send(fd, reply(1));
    calls.bare.close(fd, true);
    const std::string end = calls.end_of(1);
    say("reply and reset: one end, and none that proves it did not run",
        (end == "ok" || end == "broken, may have run"));
  }
  {
    Calls calls;
    const int fd = calls.call_and_read(1, 5);
    BareListener::send(fd, reply(1) + reply(1));
    calls.bare.close(fd, false);
    fmt::print("reply twice and the end: {}\n", calls.end_of(1));
  }
  {
    Calls calls;
    const int fd = calls.call_and_read(1, 0.2);
    BareListener::send(fd, reply(1));
    calls.dependency.cancel(1);
    ::usleep(250'000);
    calls.run(0.1);
    fmt::print("reply, timeout and cancel: {} ends\n", calls.ends[1].size());
  }
  {
    Calls calls;
    const int fd = calls.call_and_read(1, 0.2);
    calls.bare.close(fd, true);
    ::usleep(250'000);
    fmt::print("reset and timeout: {}\n", calls.end_of(1));
  }
}

// Connects that are slow, that succeed as the timeout expires, and that are never accepted.
void connects() {
  {
    Calls calls;
    calls.dependency.call(1, 0.2, "body");  // the connection is established while the reactor is paused
    ::usleep(250'000);
    fmt::print("connected when its timeout expired: {}\n", calls.end_of(1));
    const int fd = calls.bare.newest();
    fmt::print("  bytes of it that were sent: {}\n", fd >= 0 ? BareListener::received(fd, 0.1).size() : 0);
  }
  {
    Calls calls(8, 0);  // its queue is full with two that are never accepted
    std::vector<int> backlog_fillers;
    for (int i = 0; i < 4; ++i) {
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      sockaddr_in at{};
      at.sin_family = AF_INET;
      at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      at.sin_port = htons(calls.bare.port());
      static_cast<void>(::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at));
      backlog_fillers.push_back(fd);
    }
    calls.dependency.call(1, 0.3, "body");
    fmt::print("a connect that hangs: {}\n", calls.end_of(1));
    for (const int fd : backlog_fillers) ::close(fd);
  }
  {
    Calls calls;
    calls.bare.refuse();
    calls.dependency.call(1, 1, "body");
    fmt::print("refused: {}\n", calls.end_of(1));
  }
  {
    Calls calls(1);  // one connection for all
    calls.dependency.call(1, 5, "body");
    calls.dependency.call(2, 0.2, "other");
    ::usleep(250'000);  // connected, nothing written; the second one's timeout has expired
    calls.run(0.05);
    fmt::print("two on a connection that was just established, the second one times out: {}\n",
               calls.end_of(2));
    BareListener::send(calls.bare.newest(), reply(1));
    fmt::print("  the first: {}\n", calls.end_of(1));
  }
}

// A connection that has carried a call and is reused while the other side closes it.
void reuse() {
  {
    Calls calls;
    const int fd = calls.call_and_read(1, 5);
    BareListener::send(fd, reply(1));
    calls.end_of(1);
    calls.bare.close(fd, false);  // its end was not read yet
    const int next = calls.call_and_read(2, 5);
    fmt::print("closed before the next call, which uses another one: {}\n", next >= 0 ? "yes" : "no");
    BareListener::send(next, reply(2));
    fmt::print("  {}\n", calls.end_of(2));
  }
  {
    Calls calls;
    const int fd = calls.call_and_read(1, 5);
    BareListener::send(fd, reply(1));
    calls.end_of(1);
    calls.dependency.call(2, 5, "body");  // written at once, on the open connection
    calls.bare.close(fd, true);
    fmt::print("closed as the next call was written: {}\n", calls.end_of(2));
  }
}

// A reply that is cut at each byte, by a close or by silence, is never taken for a reply, and never for a
// proof.
void cut() {
  const std::string complete = reply(1);
  for (const char* how : {"closed", "reset", "silent"}) {
    int ok = 0, proofs = 0, ends = 0;
    const std::size_t step = std::strcmp(how, "silent") == 0 ? 5 : 1;
    int runs = 0;
    for (std::size_t at = 0; at < complete.size(); at += step, ++runs) {
      Calls calls;
      const int fd = calls.call_and_read(1, 0.6);
      if (at > 0) BareListener::send(fd, complete.substr(0, at));
      if (std::strcmp(how, "silent") != 0) calls.bare.close(fd, std::strcmp(how, "reset") == 0);
      calls.end_of(1);
      ends += static_cast<int>(calls.ends[1].size());
      for (const Outcome outcome : calls.ends[1]) {
        ok += outcome == Outcome::kOk;
        proofs += proves_not_run(outcome);
      }
    }
    fmt::print("cut at each byte, then {}: runs - ends {}, taken for a reply {}, for a proof {}\n", how,
               runs - ends, ok, proofs);
  }
}

// ---- The runtime's link.

// A client of the runtime whose other side is a bare listener.
struct Link : peers::RuntimeEvents {
  Link()
      : log(Level::kError), runtime(stepped.reactor, bare.address(), 64 * 1024, {}, *this, counters, log) {}
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;
  ~Link() override { stepped.end(); }
  void on_runtime_ready(bool, double) override { ++readies; }
  void on_run_ended(RequestId id, Outcome outcome, double, std::string_view result) override {
    ends[id].push_back(name_of(outcome) + (result.empty() ? "" : " " + std::string(result)));
  }
  void on_call_requested(RequestId id, std::uint64_t, std::string_view body) override {
    calls[id] += std::string(body) + ";";
  }
  void on_self_test_result(std::uint64_t, bool) override {}
  void on_not_started(RequestId id) override { ends[id].push_back("not started"); }
  void on_run_given_up(RequestId id) override { ends[id].push_back("given up"); }
  void on_runtime_restarted(const std::unordered_set<RequestId>& unsent) override {
    ++restarts;
    unsent_starts = unsent.size();
  }
  void start(RequestId id, bool may_repeat = true, double seconds_left = 5) {
    runtime.start({id, "push", "body", may_repeat, seconds_left});
  }
  // Runs the client until this has arrived at the other side, for 1.5 s at most.
  bool wait_for_input(const std::string& part, bool answers_gauges = true) {
    for (int i = 0; i < 150; ++i) {
      stepped.run_for(0.01);
      const int fd = bare.newest();
      if (fd < 0) continue;
      in += BareListener::received(fd);
      if (answers_gauges) answer_gauges(fd);
      if (in.find(part) != std::string::npos) return true;
    }
    return false;
  }
  // Runs the client until it has read the notices that it missed, as its answered gauges show.
  void synchronize() {
    for (int i = 0; i < 200 && counters[Count::kGaugesMaxDelayUs] == 0; ++i) {
      stepped.run_for(0.01);
      in += BareListener::received(bare.newest());
      answer_gauges(bare.newest());
    }
  }
  void answer_gauges(int fd) {
    for (std::size_t at; (at = in.find("gauges ")) != std::string::npos;) {
      const std::size_t end = in.find("\r\n", at);
      if (end == std::string::npos) return;
      BareListener::send(fd, "load " + in.substr(at + 7, end - at - 7) + "\r\n");
      in.erase(at, end + 2 - at);
    }
  }
  // Resets the link.
  void reset_link() {
    in.clear();
    bare.close(bare.newest(), true);
  }
  // How often this arrived.
  int count(const std::string& part) const {
    int n = 0;
    for (std::size_t at = 0; (at = in.find(part, at)) != std::string::npos; at += part.size()) ++n;
    return n;
  }
  // The tag of the requested gauges.
  std::string gauges_tag() const {
    const std::size_t at = in.find("gauges ") + 7;
    return in.substr(at, in.find("\r\n", at) - at);
  }
  std::string ends_of(RequestId id) { return fmt::format("{}", fmt::join(ends[id], " and ")); }
  SteppedReactor stepped;
  BareListener bare;
  Counters counters;
  Logger log;
  std::map<RequestId, std::vector<std::string>> ends;
  std::map<RequestId, std::string> calls;
  int readies = 0, restarts = 0;
  std::size_t unsent_starts = 0;  // of the last restart
  std::string in;                 // received by the other side and not consumed
  peers::RuntimeClient runtime;
};

// A notice that is cut at each byte by the end of the link is received completely, and once, on the next
// link.
void notices_cut() {
  for (const std::string& complete : {std::string("end 1 0000000000000001 complete 20 6\r\nresult\r\n"),
                                      std::string("wants 1 0000000000000001 4\r\ncall\r\n")}) {
    int once = 0, runs = 0;
    for (std::size_t at = 0; at <= complete.size(); ++at, ++runs) {
      Link link;
      link.wait_for_input("sync 0");
      BareListener::send(link.bare.newest(), "ready hot 0\r\n");
      link.synchronize();
      link.start(1);
      link.stepped.run_for(0.03);
      if (at > 0) BareListener::send(link.bare.newest(), complete.substr(0, at));
      link.reset_link();
      link.wait_for_input("sync ");
      const bool seen = link.in.find("sync 1") != std::string::npos;
      BareListener::send(link.bare.newest(), "ready hot 50\r\n" + (seen ? std::string() : complete));
      link.stepped.run_for(0.05);
      once += link.ends_of(1) == "ok result" || link.calls[1] == "call;";
    }
    fmt::print("{}: cut at each byte, received once on the next link: {}\n", complete.substr(0, 5),
               once == runs ? "always" : fmt::format("{} of {}", once, runs));
  }
}

// A restarted runtime numbers its notices from 1 and knows no runs: runs of the former process are reported
// as lost, and a start that was never sent is sent to the new one.
void restart() {
  Link link;
  link.wait_for_input("sync 0");
  BareListener::send(link.bare.newest(), "ready hot 3000\r\n");
  link.synchronize();
  BareListener::send(link.bare.newest(), "end 1 0000000000000009 complete 1 0\r\n\r\n");
  link.start(1);
  link.wait_for_input("start 0000000000000001");
  link.stepped.run_for(0.6);
  link.reset_link();
  link.stepped.run_for(0.02);  // the break is noticed
  link.start(2);               // waits in the client, never sent
  link.in.clear();
  link.wait_for_input("sync 1");
  BareListener::send(link.bare.newest(), "ready chilly 20\r\n");
  link.wait_for_input("start 0000000000000002");
  fmt::print("restarts: {}, starts that were not sent: {}\n", link.restarts, link.unsent_starts);
  fmt::print("starts sent to the new process: of the first {}, of the second {}\n",
             link.count("start 0000000000000001"), link.count("start 0000000000000002"));
  BareListener::send(link.bare.newest(), "end 1 0000000000000002 complete 20 3\r\ntwo\r\n");
  link.stepped.run_for(0.05);
  fmt::print("the second, by a notice numbered 1: {}; ready events {}\n", link.ends_of(2), link.readies);
  link.reset_link();
  link.wait_for_input("sync 1");
  BareListener::send(link.bare.newest(), "ready chilly 5000\r\n");
  link.stepped.run_for(0.05);
  fmt::print("the same process after a break: restarts {}\n", link.restarts);
}

// A response to gauges that were requested on the old link has no effect on the new one.
void old_gauges() {
  Link link;
  link.wait_for_input("sync 0");
  BareListener::send(link.bare.newest(), "ready hot 0\r\n");
  link.wait_for_input("gauges ", false);
  const std::string tag = link.gauges_tag();
  link.start(1);  // not sent before the missed notices are read
  link.reset_link();
  link.in.clear();
  link.wait_for_input("sync 0");
  BareListener::send(link.bare.newest(), "load " + tag + " 0.25 1\r\n");
  link.stepped.run_for(0.05);
  link.in += BareListener::received(link.bare.newest());
  fmt::print("gauges of the old link on the new one: starts sent {}\n", link.count("start "));
  BareListener::send(link.bare.newest(), "ready hot 100\r\n");
  link.wait_for_input("start ");
  fmt::print("gauges of the new link: starts sent {}\n", link.count("start "));
}

// Guards against a start that is sent again although the end of its run was received: that follows the
// gauges in the same bytes.
void end_behind_gauges() {
  Link link;
  link.wait_for_input("sync 0");
  BareListener::send(link.bare.newest(), "ready hot 0\r\n");
  link.synchronize();
  link.start(1);
  link.wait_for_input("start 0000000000000001");
  link.reset_link();
  link.wait_for_input("sync 0");
  BareListener::send(link.bare.newest(), "ready hot 5000\r\n");
  link.wait_for_input("gauges ", false);
  const std::string tag = link.gauges_tag();
  BareListener::send(link.bare.newest(),
                     "load " + tag + " 0.25 1\r\nend 1 0000000000000001 complete 20 6\r\nresult\r\n");
  link.wait_for_input("start ");
  fmt::print("end of the run: {}, starts on the new link: {}\n", link.ends_of(1), link.count("start "));
}

// Guards against a start that is lost on a link whose end, closed by the runtime, the program has not read
// yet: the start was never sent, so it goes over the next link, also where it must not run twice.
void closed_unnoticed() {
  Link link;
  link.wait_for_input("sync 0");
  BareListener::send(link.bare.newest(), "ready hot 0\r\n");
  link.synchronize();
  link.bare.close(link.bare.newest(), false);
  link.in.clear();
  link.start(1, false);  // the reactor is paused
  link.wait_for_input("sync 0");
  BareListener::send(link.bare.newest(), "ready hot 5000\r\n");
  link.wait_for_input("start 0000000000000001");
  fmt::print("starts on the new link: {}, in doubt: {}\n", link.count("start "),
             link.counters[Count::kRuntimeInDoubt]);
}

}  // namespace

int main(int argc, char** argv) {
  std::string unused;
  return run_scenario(argc, argv, unused,
                      {{"one_iteration", one_iteration},
                       {"connects", connects},
                       {"reuse", reuse},
                       {"cut", cut},
                       {"notices_cut", notices_cut},
                       {"restart", restart},
                       {"old_gauges", old_gauges},
                       {"end_behind_gauges", end_behind_gauges},
                       {"closed_unnoticed", closed_unnoticed}});
}
