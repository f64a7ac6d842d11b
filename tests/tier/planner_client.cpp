// A forwarder's link to a planner that stops reading and then goes: what is told to have never left must not
// have arrived, whole, for a second attempt begins on the strength of it. The other end is a bare socket of
// this process. CTest compares with tests/traces/planner_link.txt. usage: planner_client
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

struct Seen : peers::PlannerEvents {
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
constexpr std::size_t kBody = 60000;  // bytes; together more than the system keeps for a connection

void read_some(int fd, std::string& into) {
  char bytes[65536];
  for (ssize_t got; (got = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT)) > 0;)
    into.append(bytes, static_cast<std::size_t>(got));
}

// `late`: bytes that the planner still reads before it goes.
// `memory`: of the forwarder's, for what waits.
void play(const char* what, std::size_t late, std::size_t memory = 64 << 20) {
  net::Reactor reactor;
  Counters counters;
  Logger log(Level::kError);
  Seen seen;
  std::uint16_t port = 0;
  const int listener = standins::listening_socket(port);
  peers::PlannerClient planners(reactor, {"f1", 7, {"read"}}, memory, seen, counters, log);
  planners.add(fmt::format("127.0.0.1:{}", port));
  int fd = -1;
  std::string arrived;
  bool given = false;
  int step = 0;
  const std::function<void()> look = [&] {
    if (fd < 0) fd = ::accept(listener, nullptr, nullptr);
    if (fd >= 0 && !seen.up && step == 0) {
      wt::Hello hello;
      hello.is_planner = true;
      hello.epoch = 9;
      hello.name = "p";
      hello.window = 1000;
      const std::string bytes = wt::encode(hello);
      if (::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0) step = 1;
    }
    if (seen.up && !given) {
      given = true;
      wt::Submit submit;
      submit.request = 1;
      submit.body.assign(kBody, 'b');
      for (std::uint64_t n = 1; n <= kSubmits; ++n) {
        submit.attempt = n;
        planners.submit(0, submit);
      }
    }
    // Some turns later nothing moves any more; it reads a part, perhaps, and goes.
    if (given && fd >= 0 && ++step > 20) {
      while (arrived.size() < late) {
        const std::size_t before = arrived.size();
        read_some(fd, arrived);
        if (arrived.size() == before) break;
      }
      if (step > 40) {
        read_some(fd, arrived);  // all that the system had for it
        ::close(fd);
        fd = -2;
      }
    }
    if (seen.lost) return reactor.stop();
    reactor.after(0.01, look);
  };
  ::fcntl(listener, F_SETFL, O_NONBLOCK);
  reactor.after(0, look);
  reactor.after(10, [&] { reactor.stop(); });
  reactor.run();
  ::close(listener);
  std::set<std::uint64_t> whole;
  for (std::string_view rest = arrived;;) {
    const wt::DecodedFrame taken = wt::decode_next_frame(rest);
    if (taken.state != wt::Framing::kFrame) break;
    if (const auto* submit = std::get_if<wt::Submit>(&taken.message)) whole.insert(submit->attempt);
    rest.remove_prefix(taken.length);
  }
  const bool both = std::any_of(seen.unwritten.begin(), seen.unwritten.end(),
                                [&](std::uint64_t attempt) { return whole.contains(attempt); });
  std::printf("%s: the link was lost: %s; some arrived: %s, some are known never to have left: %s\n", what,
              seen.lost ? "yes" : "no", !whole.empty() ? "yes" : "no",
              !seen.unwritten.empty() ? "yes" : "no");
  std::printf("  arrived and told to have never left: %s; in order, the last ones: %s\n",
              both ? "SOME" : "none",
              std::is_sorted(seen.unwritten.begin(), seen.unwritten.end()) &&
                      (seen.unwritten.empty() || seen.unwritten.back() == kSubmits)
                  ? "yes"
                  : "no");
}

// A planner by hand: says what it is told to once it is connected to, and looks what comes.
struct Peer {
  Peer(net::Reactor& reactor, std::string words) : reactor_(reactor), words_(std::move(words)) {
    listener_ = standins::listening_socket(port);
    look();
  }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;
  ~Peer() {
    reactor_.cancel(timer_);
    ::close(listener_);
    if (fd_ >= 0) ::close(fd_);
  }
  void say(const wt::Message& message) {
    const std::string bytes = wt::encode(message);
    if (fd_ >= 0) ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  std::uint16_t port = 0;
  int accepted = 0, pings = 0;
  double connected_at = 0, closed_at = 0;  // s, the last time

 private:
  void look() {
    if (fd_ < 0 && (fd_ = standins::accepted_socket(listener_)) >= 0) {
      ++accepted;
      connected_at = standins::now();
      if (accepted == 1) ::send(fd_, words_.data(), words_.size(), MSG_NOSIGNAL);
    }
    char bytes[65536];
    const ssize_t got = fd_ < 0 ? -1 : ::recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
    if (got > 0) in_.append(bytes, static_cast<std::size_t>(got));
    if (got == 0 || (got < 0 && fd_ >= 0 && errno == ECONNRESET)) {
      closed_at = standins::now();
      ::close(fd_);
      fd_ = -1;
    }
    for (wt::DecodedFrame taken; (taken = wt::decode_next_frame(in_)).state == wt::Framing::kFrame;) {
      pings += std::holds_alternative<wt::Ping>(taken.message);
      in_.erase(0, taken.length);
    }
    timer_ = reactor_.after(0.005, [this] { look(); });
  }
  net::Reactor& reactor_;
  std::string words_, in_;
  int listener_ = -1, fd_ = -1;
  net::Reactor::TimerId timer_;
};

struct Play {
  explicit Play(std::string words) : log(Level::kError), peer(stepped.reactor, std::move(words)) {
    planners = std::make_unique<peers::PlannerClient>(
        stepped.reactor, peers::PlannerClient::Self{"f1", 7, {"read"}}, 1 << 20, seen, counters, log);
    planners->add(fmt::format("127.0.0.1:{}", peer.port));
  }
  ~Play() { stepped.end(); }
  Play(const Play&) = delete;
  Play& operator=(const Play&) = delete;
  void run_for(double seconds) { stepped.run_for(seconds); }
  SteppedReactor stepped;
  Counters counters;
  Logger log;
  Seen seen;
  Peer peer;
  std::unique_ptr<peers::PlannerClient> planners;
};

const char* yes(bool is) { return is ? "yes" : "no"; }

// What is no planner's greeting ends the link, which is opened anew after a pause.
void greetings() {
  wt::Hello sound;
  sound.is_planner = true;
  sound.epoch = 9;
  sound.name = "p";
  sound.window = 10;
  wt::Hello other = sound, forwarder = sound;
  other.version = 99;
  forwarder.is_planner = false;
  const std::pair<const char*, std::string> greetings_sent[] = {
      {"another version", wt::encode(other)},
      {"a forwarder", wt::encode(forwarder)},
      {"an answer first", wt::encode(wt::Answer{})},
      {"two hellos", wt::encode(sound) + wt::encode(sound)},
      {"what only forwarders say", wt::encode(sound) + wt::encode(wt::Cancel{1})},
      {"no frame at all", std::string(64, 'x')},
      {"a sound hello", wt::encode(sound)}};
  for (const auto& [what, words] : greetings_sent) {
    Play g(words);
    g.run_for(0.35);
    std::printf("%s: up %s, lost %s, opened again %s\n", what, yes(g.seen.up), yes(g.seen.lost),
                yes(g.peer.accepted > 1));
  }
  Play mute("");
  mute.run_for(0.8);
  const int before = mute.peer.accepted;
  mute.run_for(0.8);
  std::printf("nothing said: after 0.8 s %d connection, after 1.6 s more: %s\n", before,
              yes(mute.peer.accepted > before));
  Play sounds(wt::encode(sound));
  for (int i = 0; i < 12; ++i) {
    sounds.run_for(0.1);
    sounds.peer.say(wt::Pong{1});
  }
  std::printf("pings in 1.2 s: %s; the link holds: %s\n",
              yes(sounds.peer.pings >= 3 && sounds.peer.pings <= 12), yes(!sounds.seen.lost));
  sounds.peer.say(wt::Draining{});
  sounds.run_for(0.1);
  std::printf("it leaves, with an op open: the link holds: %s\n", yes(!sounds.seen.lost));
  sounds.planners->close_if_draining(0);
  sounds.run_for(0.1);
  std::printf("with none: it ends: %s", yes(sounds.seen.lost));
  const double closed = sounds.peer.closed_at;
  sounds.run_for(0.8);
  std::printf("; opened again after half a second: %s\n",
              yes(sounds.peer.accepted == 2 && sounds.peer.connected_at - closed > 0.4));
  sounds.planners->remove(0);
  sounds.planners->close_if_draining(0);
  sounds.run_for(1.5);
  const int links = sounds.peer.accepted;
  sounds.planners->restore(0);
  sounds.run_for(0.2);
  std::printf("not wanted, not linked: %s; wanted again, linked: %s\n", yes(links == 2),
              yes(sounds.peer.accepted == 3));
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  play("it reads what came and goes", 0);
  play("it reads on for a while, then goes", 8 << 20);
  play("more waits than there is memory for", 0, 1 << 20);
  greetings();
  return 0;
}
