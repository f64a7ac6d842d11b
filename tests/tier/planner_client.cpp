// Guards against a false report that an attempt was never written: a planner stops reading and closes the
// link, and an attempt that is reported as unwritten must not have arrived completely, because a second
// attempt may begin then. The other end is a plain socket of this process. CTest compares the output with
// tests/traces/planner_link.txt. usage: tier_planner_client
#include "peers/tier/planner_client.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <set>
#include <string>
#include <vector>

#include "loop.h"
#include "net/reactor.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "stepped_reactor.h"

using namespace damsonspoke;
namespace wt = damsonspoke::wire::tier;

namespace {

struct RecordedEvents : peers::PlannerEvents {
  void on_link_up(int, std::uint64_t, std::uint32_t) override { up = true; }
  void on_link_lost(int, const std::vector<std::uint64_t>& attempts) override {
    lost = true;
    unwritten = attempts;
  }
  void on_load_report(int, const wt::LoadReport&) override {}
  void on_planner_draining(int) override {}
  void on_answer(int, std::uint64_t, const wt::Answer&) override {}
  bool up = false, lost = false;
  std::vector<std::uint64_t> unwritten;
};

constexpr std::uint64_t kSubmits = 400;
constexpr std::size_t kBodyBytes = 60000;  // in total more than the kernel buffers for a connection

void read_some(int fd, std::string& into) {
  char bytes[65536];
  for (ssize_t received; (received = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT)) > 0;)
    into.append(bytes, static_cast<std::size_t>(received));
}

// `bytes_before_close`: bytes that the planner still reads before it closes the link. `memory`: the
// forwarder's output limit in bytes.
void lose_link(const char* description, std::size_t bytes_before_close, std::size_t memory = 64 << 20) {
  net::Reactor reactor;
  Counters counters;
  Logger log(Level::kError);
  RecordedEvents events;
  std::uint16_t port = 0;
  const int listener = standins::listening_socket(port);
  peers::PlannerClient planners(reactor, {"f1", 7, {"read"}}, memory, events, counters, log);
  planners.add(fmt::format("127.0.0.1:{}", port));
  int fd = -1;
  std::string arrived;
  bool submitted = false;
  int step = 0;
  const std::function<void()> poll = [&] {
    if (fd < 0) fd = ::accept(listener, nullptr, nullptr);
    if (fd >= 0 && !events.up && step == 0) {
      wt::Hello hello;
      hello.is_planner = true;
      hello.epoch = 9;
      hello.name = "p";
      hello.window = 1000;
      const std::string bytes = wt::encode(hello);
      if (::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0) step = 1;
    }
    if (events.up && !submitted) {
      submitted = true;
      wt::Submit submit;
      submit.request = 1;
      submit.body.assign(kBodyBytes, 'b');
      for (std::uint64_t n = 1; n <= kSubmits; ++n) {
        submit.attempt = n;
        planners.submit(0, submit);
      }
    }
    // After some iterations no more bytes can be written; the planner reads a part, if any, and closes.
    if (submitted && fd >= 0 && ++step > 20) {
      while (arrived.size() < bytes_before_close) {
        const std::size_t before = arrived.size();
        read_some(fd, arrived);
        if (arrived.size() == before) break;
      }
      if (step > 40) {
        read_some(fd, arrived);  // all that the kernel has buffered
        ::close(fd);
        fd = -2;
      }
    }
    if (events.lost) return reactor.stop();
    reactor.after(0.01, poll);
  };
  ::fcntl(listener, F_SETFL, O_NONBLOCK);
  reactor.after(0, poll);
  reactor.after(10, [&] { reactor.stop(); });
  reactor.run();
  ::close(listener);
  std::set<std::uint64_t> complete_attempts;
  for (std::string_view rest = arrived;;) {
    const wt::DecodedFrame taken = wt::decode_next_frame(rest);
    if (taken.state != wt::Framing::kFrame) break;
    if (const auto* submit = std::get_if<wt::Submit>(&taken.message))
      complete_attempts.insert(submit->attempt);
    rest.remove_prefix(taken.length);
  }
  const bool has_overlap =
      std::any_of(events.unwritten.begin(), events.unwritten.end(),
                  [&](std::uint64_t attempt) { return complete_attempts.contains(attempt); });
  std::printf("%s: the link was lost: %s; some attempts arrived: %s, some are reported as unwritten: %s\n",
              description, events.lost ? "yes" : "no", !complete_attempts.empty() ? "yes" : "no",
              !events.unwritten.empty() ? "yes" : "no");
  std::printf("  arrived but reported as unwritten: %s; reported in order, up to the last attempt: %s\n",
              has_overlap ? "SOME" : "none",
              std::is_sorted(events.unwritten.begin(), events.unwritten.end()) &&
                      (events.unwritten.empty() || events.unwritten.back() == kSubmits)
                  ? "yes"
                  : "no");
}

// A scripted planner: sends a greeting on the first connection, and counts the pings that it receives.
struct ScriptedPeer {
  ScriptedPeer(net::Reactor& reactor, std::string greeting)
      : reactor_(reactor), greeting_(std::move(greeting)) {
    listener_ = standins::listening_socket(port);
    poll();
  }
  ScriptedPeer(const ScriptedPeer&) = delete;
  ScriptedPeer& operator=(const ScriptedPeer&) = delete;
  ~ScriptedPeer() {
    reactor_.cancel(timer_);
    ::close(listener_);
    if (fd_ >= 0) ::close(fd_);
  }
  void send(const wt::Message& message) {
    const std::string bytes = wt::encode(message);
    if (fd_ >= 0) ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  std::uint16_t port = 0;
  int accepted = 0, pings = 0;
  double connected_at = 0, closed_at = 0;  // s, of the latest connection

 private:
  void poll() {
    if (fd_ < 0 && (fd_ = standins::accepted_socket(listener_)) >= 0) {
      ++accepted;
      connected_at = standins::now();
      if (accepted == 1) ::send(fd_, greeting_.data(), greeting_.size(), MSG_NOSIGNAL);
    }
    char bytes[65536];
    const ssize_t received = fd_ < 0 ? -1 : ::recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
    if (received > 0) in_.append(bytes, static_cast<std::size_t>(received));
    if (received == 0 || (received < 0 && fd_ >= 0 && errno == ECONNRESET)) {
      closed_at = standins::now();
      ::close(fd_);
      fd_ = -1;
    }
    for (wt::DecodedFrame taken; (taken = wt::decode_next_frame(in_)).state == wt::Framing::kFrame;) {
      pings += std::holds_alternative<wt::Ping>(taken.message);
      in_.erase(0, taken.length);
    }
    timer_ = reactor_.after(0.005, [this] { poll(); });
  }
  net::Reactor& reactor_;
  std::string greeting_, in_;
  int listener_ = -1, fd_ = -1;
  net::Reactor::TimerId timer_;
};

struct Fixture {
  explicit Fixture(std::string greeting) : log(Level::kError), peer(stepped.reactor, std::move(greeting)) {
    planners = std::make_unique<peers::PlannerClient>(
        stepped.reactor, peers::PlannerClient::Self{"f1", 7, {"read"}}, 1 << 20, events, counters, log);
    planners->add(fmt::format("127.0.0.1:{}", peer.port));
  }
  ~Fixture() { stepped.end(); }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;
  void run_for(double seconds) { stepped.run_for(seconds); }
  SteppedReactor stepped;
  Counters counters;
  Logger log;
  RecordedEvents events;
  ScriptedPeer peer;
  std::unique_ptr<peers::PlannerClient> planners;
};

const char* yes_no(bool is) { return is ? "yes" : "no"; }

// An invalid planner hello closes the link, which is reconnected after a backoff.
void hello_validation() {
  wt::Hello valid;
  valid.is_planner = true;
  valid.epoch = 9;
  valid.name = "p";
  valid.window = 10;
  wt::Hello other = valid, forwarder = valid;
  other.version = 99;
  forwarder.is_planner = false;
  const std::pair<const char*, std::string> greetings[] = {
      {"another version", wt::encode(other)},
      {"a forwarder", wt::encode(forwarder)},
      {"an answer before the hello", wt::encode(wt::Answer{})},
      {"two hellos", wt::encode(valid) + wt::encode(valid)},
      {"a message that only forwarders send", wt::encode(valid) + wt::encode(wt::Cancel{1})},
      {"bytes that are not a frame", std::string(64, 'x')},
      {"a valid hello", wt::encode(valid)}};
  for (const auto& [description, greeting] : greetings) {
    Fixture fixture(greeting);
    fixture.run_for(0.35);
    std::printf("%s: up %s, lost %s, reconnected %s\n", description, yes_no(fixture.events.up),
                yes_no(fixture.events.lost), yes_no(fixture.peer.accepted > 1));
  }
  Fixture silent("");
  silent.run_for(0.8);
  const int before = silent.peer.accepted;
  silent.run_for(0.8);
  std::printf("no hello: after 0.8 s %d connection, after 1.6 s more, reconnected: %s\n", before,
              yes_no(silent.peer.accepted > before));
  Fixture fixture(wt::encode(valid));
  for (int i = 0; i < 12; ++i) {
    fixture.run_for(0.1);
    fixture.peer.send(wt::Pong{1});
  }
  std::printf("pings in 1.2 s: %s; the link stays open: %s\n",
              yes_no(fixture.peer.pings >= 3 && fixture.peer.pings <= 12), yes_no(!fixture.events.lost));
  fixture.peer.send(wt::Draining{});
  fixture.run_for(0.1);
  std::printf("the planner drains with an open request: the link stays open: %s\n",
              yes_no(!fixture.events.lost));
  fixture.planners->close_if_draining(0);
  fixture.run_for(0.1);
  std::printf("without open requests: the link is closed: %s", yes_no(fixture.events.lost));
  const double closed = fixture.peer.closed_at;
  fixture.run_for(0.8);
  std::printf("; reconnected after half a second: %s\n",
              yes_no(fixture.peer.accepted == 2 && fixture.peer.connected_at - closed > 0.4));
  fixture.planners->remove(0);
  fixture.planners->close_if_draining(0);
  fixture.run_for(1.5);
  const int links = fixture.peer.accepted;
  fixture.planners->restore(0);
  fixture.run_for(0.2);
  std::printf("not listed, not connected: %s; listed again, connected: %s\n", yes_no(links == 2),
              yes_no(fixture.peer.accepted == 3));
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  lose_link("the planner reads what has arrived and closes", 0);
  lose_link("the planner reads more, then closes", 8 << 20);
  lose_link("more output than the memory limit", 0, 1 << 20);
  hello_validation();
  return 0;
}
