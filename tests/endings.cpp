// The instants in which something is still owed as a connection, or the process, comes to its end. Each
// crossing is forced: the program stands still (SIGSTOP) while its peers write, so that bytes lie unread when
// it decides. CTest compares with tests/traces/endings_NAME.txt. usage: endings BINARY SCENARIO
#include <sys/stat.h>

#include <fstream>
#include <stdexcept>

#include "fleet.h"
#include "scenarios.h"
#include "server_fixture.h"

using namespace damsonspoke::standins::scripted;
using damsonspoke::standins::Callers;
using damsonspoke::standins::Journal;
using damsonspoke::standins::Loop;
using damsonspoke::standins::now;
using damsonspoke::standins::Server;
using damsonspoke::standins::SiteSpec;

namespace {

const std::string kCheck = R"({"jsonrpc":"2.0","id":ID,"method":"health","params":{}})";
constexpr int kTable = 24;  // callers' connections with 64 descriptors
const char* const kFewDescriptors = R"(,"limits":{"sockets":64})";

std::string framed(const std::string& body) {
  return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
std::string check(int id) { return framed(replaced(kCheck, "ID", std::to_string(id))); }
// A request that needs no runtime to be rejected.
std::string request(int id) {
  char text[200];
  std::snprintf(text, sizeof text,
                R"({"jsonrpc":"2.0","id":%d,"method":"push","params":{"txn":"%016x","lb":1,"ram":10}})", id,
                0x1000 + id);
  return framed(text);
}

// A caller that tells an end in order from a reset, and reads only when it is asked to.
class Raw {
 public:
  explicit Raw(std::uint16_t port) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    if (::connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) reset_ = ended_ = true;
  }
  Raw(Raw&& other) noexcept
      : fd_(std::exchange(other.fd_, -1)),
        in_(std::move(other.in_)),
        ended_(other.ended_),
        reset_(other.reset_) {}
  ~Raw() { disconnect(); }
  void disconnect() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  void resets() {
    const linger now{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    disconnect();
  }
  int fd() const { return fd_; }
  // Writes what the system takes at once; how much that was.
  std::size_t say(const std::string& text) {
    const ssize_t wrote = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return wrote < 0 ? 0 : static_cast<std::size_t>(wrote);
  }
  // Reads until so many answers are there, the end, or patience (s) is over.
  int answers(int wanted, double patience = kTimeoutSeconds) {
    const auto until = Clock::now() + std::chrono::duration<double>(patience);
    while (!ended_ && count() < wanted && Clock::now() < until) {
      pollfd one{fd_, POLLIN, 0};
      ::poll(&one, 1, 20);
      char bytes[65536];
      const ssize_t got = ::recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
      if (got > 0) in_.append(bytes, static_cast<std::size_t>(got));
      if (got == 0) ended_ = true;
      if (got < 0 && errno != EAGAIN && errno != EINTR) ended_ = reset_ = true;
    }
    return count();
  }
  // How it ended, once it has.
  const char* end(double patience = kTimeoutSeconds) {
    answers(1 << 30, patience);
    return !ended_ ? "open" : reset_ ? "reset" : "in order";
  }
  bool heard(const std::string& part) const { return in_.find(part) != std::string::npos; }

 private:
  int count() const {
    int n = 0;
    for (std::size_t at = 0; (at = in_.find("\"id\":", at)) != std::string::npos; ++at) ++n;
    for (std::size_t at = 0; (at = in_.find("AB", at)) != std::string::npos; ++at) ++n;  // of AJP: a pong
    return n;
  }
  int fd_;
  std::string in_;
  bool ended_ = false, reset_ = false;
};

// While the program stands still.
void stopped(ServerFixture& fixture, double seconds, const std::function<void()>& meanwhile) {
  fixture.signal(SIGSTOP);
  ::usleep(50'000);
  meanwhile();
  ::usleep(static_cast<useconds_t>(seconds * 1e6));
  fixture.signal(SIGCONT);
}

std::size_t descriptors_of(const ServerFixture& fixture) {
  std::size_t n = 0;
  for ([[maybe_unused]] const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(fixture.pid()) + "/fd"))
    ++n;
  return n;
}

// All connections are idle and have a request unread as newcomers come, who ask too or say nothing.
struct Crossing {
  Crossing(ServerFixture& fixture, std::uint16_t port, const std::string& first, const std::string& second,
           int table, const std::string& newcomers = "") {
    for (int i = 0; i < table; ++i) {
      known.emplace_back(port);
      known.back().say(first);
      known.back().answers(1);
    }
    stopped(fixture, 0.05, [&] {
      for (int i = 0; i < table; ++i) {
        fresh.emplace_back(port);
        fresh.back().say(newcomers);
      }
      for (Raw& one : known) one.say(second);
    });
    int answered = 0, resets = 0;
    for (Raw& one : known) answered += one.answers(2) == 2;
    for (Raw& one : known) resets += std::strcmp(one.end(0.1), "reset") == 0;
    std::printf("requests that lay unread: %d, answered: %d, resets: %d\n", table, answered, resets);
  }
  std::vector<Raw> known, fresh;
};

// None of them gives way, and no newcomer is reset.
void evicted() {
  ServerFixture fixture("", kFewDescriptors);
  fixture.complete_startup();
  Crossing crossing(fixture, fixture.port(), check(1), check(2), kTable, check(1));
  int resets = 0;
  for (Raw& one : crossing.fresh)
    resets += std::strcmp(one.answers(1) == 1 ? "answered" : one.end(2), "reset") == 0;
  std::printf("newcomers that were reset: %d\n", resets);
}

// A table full of requests that are half said, and stay so, turns no newcomer away.
void halves() {
  ServerFixture fixture("", kFewDescriptors);
  fixture.complete_startup();
  std::vector<Raw> half, fresh;
  for (int i = 0; i < kTable; ++i) {
    half.emplace_back(fixture.port());
    half.back().say(check(1).substr(0, 30));
  }
  fixture.pause(0.3);
  int answered = 0;
  for (int i = 0; i < kTable; ++i) {
    fresh.emplace_back(fixture.port());
    fresh.back().say(check(1));
    answered += fresh.back().answers(1, 2) == 1;
  }
  std::printf("newcomers: %d, answered: %d\n", kTable, answered);
  fixture.print_counters({"callers.rejected"});
}

const char* const kGate =
    "gate\n    enabled on\n    reserve 0%\n    client-share 100%\n    network-share 100%\n    keep-idle "
    "50ms\n";

// The same where operators have a gate: who gives way to a newcomer is read first, and answered.
void shed() {
  ServerFixture fixture("", kFewDescriptors, {"", kGate});
  fixture.complete_startup();
  Crossing crossing(fixture, fixture.port(), check(1), check(2), kTable);
}

// And at the front for gateways that speak AJP, whose pings are answered without a slot.
void by_ajp(const std::string& more) {
  ServerFixture fixture("", kFewDescriptors,
                        {"", "ajp\n    listen 127.0.0.1:0\n    map GET /health health\n" + more});
  const std::string line = fixture.expect_log("takes AJP callers");
  const auto port = static_cast<std::uint16_t>(std::atoi(line.substr(line.rfind(' ') + 1).c_str()));
  fixture.complete_startup();
  const std::string ping("\x12\x34\x00\x01\x0a", 5);
  Crossing crossing(fixture, port, ping, ping, kTable / 2);  // the other front keeps its half
}
void evicted_ajp() { by_ajp(""); }
void shed_ajp() { by_ajp(kGate); }

// The last connection has been ended, its peer has not ended yet: the process is still there, and goes when
// the peer does. A machine that let the half second pass unseen says nothing: then once more.
void exit_waits() {
  for (int tries = 0; tries < 5; ++tries) {
    ServerFixture fixture;
    Raw caller(fixture.port());
    caller.say(check(1));
    caller.answers(1);
    fixture.signal(SIGTERM);
    for (int i = 0; i < 100 && !caller.heard("noMore"); ++i) caller.answers(1000, 0.1);
    const auto begin = Clock::now();
    caller.say("Content-Length: 99999\r\n\r\n");
    const char* end = caller.end();
    fixture.pause(0.15);
    std::ifstream file("/proc/" + std::to_string(fixture.pid()) + "/stat");
    const std::string state((std::istreambuf_iterator<char>(file)), {});
    if (Clock::now() - begin > std::chrono::milliseconds(400)) continue;
    const bool there = !state.empty() && state.find(") Z") == std::string::npos;
    std::printf("last words: %s, the end: %s, the program is still there: %s\n",
                caller.heard("broken frame") ? "yes" : "no", end, there ? "yes" : "no");
    caller.disconnect();
    return fixture.print_exit_status();
  }
  std::printf("this machine is too crowded to tell\n");
}

// A newcomer that finds every connection busy is ended in order, not by a reset over the request it brought.
void turned_away() {
  ServerFixture fixture(R"(,"cores":16)", kFewDescriptors,
                        {R"([{"name":"push","target":60000,"give-up":60000}])", ""});
  fixture.complete_startup();
  std::vector<Raw> busy;
  for (int i = 1; i <= kTable; ++i) {
    busy.emplace_back(fixture.port());
    busy.back().say(request(i));
  }
  fixture.pause(0.2);
  std::vector<Raw> fresh;
  stopped(fixture, 0.05, [&] {
    for (int i = 0; i < 8; ++i) {
      fresh.emplace_back(fixture.port());
      fresh.back().say(request(100 + i));
    }
  });
  int in_order = 0;
  for (Raw& one : fresh) in_order += std::strcmp(one.end(), "in order") == 0;
  std::printf("newcomers at a full table: 8, ended in order: %d\n", in_order);
  fixture.print_counters({"callers.rejected"});
}

// One that has said nothing for its two seconds asks in the instant in which it would be closed.
void silent() {
  ServerFixture fixture;
  fixture.complete_startup();
  Raw late(fixture.port());
  fixture.pause(1.5);
  stopped(fixture, 0.8, [&] { late.say(check(1)); });
  std::printf("asked as its time for asking ended, answered: %d\n", late.answers(1));
  fixture.print_counters({"callers.silent"});
}

// One that was asked for no more and stays asks in the instant in which it would be closed.
void resting() {
  ServerFixture fixture(R"(,"caller-idle":3000)");
  fixture.complete_startup();
  Raw caller(fixture.port());
  for (int i = 1; i <= 40; ++i) {  // callers that do not come back: idle connections are closed early
    caller.say(framed(R"({"jsonrpc":"2.0","id":)" + std::to_string(i) +
                      R"(,"method":"push","params":{"txn":"00000000000000)" + std::to_string(10 + i) +
                      R"(","lb":)" + std::to_string(i) + R"(,"ram":1999}})"));
    caller.answers(i);
  }
  for (int i = 0; i < 100 && !caller.heard("noMore"); ++i) caller.answers(1000, 0.1);
  std::printf("it is asked for no more: %s\n", caller.heard("noMore") ? "yes" : "no");
  stopped(fixture, 5.3, [&] { caller.say(check(100)); });
  caller.answers(41);
  const bool answered = caller.heard("\"id\":100,");
  const char* end = caller.end(20);
  std::printf("asked as it would be closed, answered: %s; then it ends: %s\n", answered ? "yes" : "no", end);
}

// Noise after a request: the request is answered, the last words come, and the noise that nobody reads turns
// neither into a reset.
void refused() {
  ServerFixture fixture;
  fixture.complete_startup();
  Raw caller(fixture.port());
  fixture.send_request(caller.fd(), 1);
  fixture.print_runtime_lines(2);
  caller.say("Content-Length: 99999\r\n\r\n");
  fixture.pause(0.1);
  caller.say(std::string(100'000, 'x'));
  fixture.pause(0.1);
  fixture.send_from_runtime("end 1 0000000000000001 complete 20 6\r\nresult");
  const char* end = caller.end();
  std::printf("last words: %s, the result: %s, the end: %s\n", caller.heard("broken frame") ? "yes" : "no",
              caller.heard("cmVzdWx0") ? "yes" : "no", end);
  // Who never closes its side costs no descriptor for long, and who floods is not read for long.
  fixture.pause(1);
  const std::size_t before = descriptors_of(fixture);
  std::vector<Raw> held;
  for (int i = 0; i < 16; ++i) {
    held.emplace_back(fixture.port());
    held.back().say("Content-Length: 99999\r\n\r\n");
  }
  fixture.pause(1.5);
  std::printf("sixteen that never close their side; descriptors more than before: %d\n",
              static_cast<int>(descriptors_of(fixture)) - static_cast<int>(before));
  Raw flood(fixture.port());
  flood.say("Content-Length: 99999\r\n\r\n");
  const std::string noise(65536, 'y');
  std::size_t wrote = 0;
  bool over = false;
  for (const auto until = Clock::now() + std::chrono::seconds(3); !over && Clock::now() < until;) {
    const std::size_t some = flood.say(noise);
    wrote += some;
    over = some == 0 && errno != EAGAIN;
  }
  std::printf("one that floods after its end is cut off: %s\n", over && wrote < (64U << 20) ? "yes" : "no");
}

// Requests by the hundred lie unread as the process would end; more than one look at the socket reads.
void last_look() {
  for (const bool up : {false, true}) {
    std::printf("-- the runtime is %s\n", up ? "up" : "not up");
    ServerFixture fixture;
    if (up) fixture.complete_startup();
    Raw caller(fixture.port());
    caller.say(check(1));
    caller.answers(1);
    fixture.signal(SIGTERM);
    for (int i = 0; i < 100 && !caller.heard("noMore"); ++i) caller.answers(1000, 0.1);
    fixture.pause(1);
    std::string all;
    constexpr int kMany = 400;
    for (int i = 2; i <= kMany; ++i) all += up ? request(i) : check(i);
    stopped(fixture, 1.2, [&] { caller.say(all); });
    const char* end = caller.end();
    const int answered = caller.answers(kMany);
    std::printf("requests: %d, answered: %d, the end: %s\n", kMany, answered, end);
    std::printf("of those that came too late to run, nacked: %s\n",
                up ? (caller.heard("-32001") && !caller.heard("-32000") ? "all" : "not all") : "none came");
    fixture.print_exit_status();
  }
}

// SIGTERM again, SIGHUP in a drain, and SIGTERM with the runtime's link down: one drain, what is open
// answered.
void signals() {
  ServerFixture fixture;
  fixture.complete_startup();
  Raw caller(fixture.port());
  fixture.send_request(caller.fd(), 1);
  fixture.print_runtime_lines(2);
  fixture.signal(SIGTERM);
  fixture.await_registry_report("HERE n1 off");
  fixture.signal(SIGTERM);
  fixture.reload();
  fixture.await_registry_report("HERE n1 off");
  fixture.complete_runtime_handshake("hot 900");  // on the new link, in the drain
  fixture.send_from_runtime("end 1 0000000000000001 complete 20 6\r\nresult");
  const int answers = caller.answers(1);
  std::printf("answered: %d, the result: %s\n", answers, caller.heard("cmVzdWx0") ? "yes" : "no");
  caller.disconnect();
  fixture.print_exit_status();
  ServerFixture broken;
  broken.complete_startup();
  Raw other(broken.port());
  broken.send_request(other.fd(), 1, "push", R"("ram":10,"limit":900)");
  broken.print_runtime_lines(2);
  broken.break_runtime_link();
  broken.signal(SIGTERM);
  std::printf("without a runtime, answered by its due time: %d\n", other.answers(1, 1.2));
  other.disconnect();
  broken.print_exit_status();
  // Two seconds from the first notice, not from the second.
  ServerFixture twice;
  twice.complete_startup();
  Raw rests(twice.port());
  rests.say(check(1));
  rests.answers(1);
  const auto begin = Clock::now();
  twice.signal(SIGTERM);
  twice.pause(1.5);
  twice.signal(SIGTERM);
  twice.print_exit_status();
  std::printf("in the time of the first notice: %s\n",
              Clock::now() - begin < std::chrono::milliseconds(3000) ? "yes" : "no");
}

// A thousand connections that end in every way leave no descriptor and no memory behind.
void thousand() {
  ::setenv("ASAN_OPTIONS", "quarantine_size_mb=1", 1);
  ServerFixture fixture("", kFewDescriptors);
  fixture.complete_startup();
  const auto resident = [&] {
    std::ifstream file("/proc/" + std::to_string(fixture.pid()) + "/statm");
    long size = 0, pages = 0;
    file >> size >> pages;
    return pages * 4;  // KiB
  };
  const auto cross = [&](int rounds) {
    for (int i = 0; i < rounds; ++i) {
      Raw one(fixture.port()), two(fixture.port()), three(fixture.port()), four(fixture.port()),
          five(fixture.port());
      one.say(check(1));
      two.say(check(1) + "Content-Length: 99999\r\n\r\n" + std::string(3000, 'x'));
      three.say(check(1) + "Content-Length: 50\r\n\r\nhalf");
      four.say(request(i));
      if (i % 2 == 0) two.resets();
      three.resets();
      five.disconnect();
      four.answers(1, 0.2);
      one.answers(1);
      if (i % 16 == 0) fixture.pause(0.01);
    }
    fixture.pause(3.5);  // what was half said has had its time, what ran without an end is due
  };
  const std::size_t before = descriptors_of(fixture);
  cross(100);
  const long kib = resident();
  cross(200);
  std::printf("descriptors more than before: %d\n",
              static_cast<int>(descriptors_of(fixture)) - static_cast<int>(before));
  const long grown = resident() - kib;
  std::printf("memory grew by under 4 MiB: %s\n", grown < 4096 ? "yes" : std::to_string(grown).c_str());
  fixture.print_counters({});
}

// Idle clients fill the table while nobody tells who is there; then the runtime and the layer below begin
// anew. Callers are served, health is answered, our own links come back, nothing spins.
void idle_fill() {
  ServerFixture fixture("", kFewDescriptors);
  fixture.complete_startup();
  const rlimit few{64, 64};  // as it is told: our own links are made again from what it keeps for itself
  ::prlimit(fixture.pid(), RLIMIT_NOFILE, &few, nullptr);
  fixture.close_registry();
  std::vector<Raw> idle;
  for (int i = 0; i < 3 * kTable; ++i) idle.emplace_back(fixture.port());
  fixture.pause(0.3);
  int caller = fixture.connect();
  fixture.send(caller, replaced(kCheck, "ID", "1"));
  fixture.print_caller_message(caller);
  const auto serve = [&](int id, int notice) {
    const std::string txn = "000000000000000" + std::to_string(id);
    fixture.send_request(caller, id);
    fixture.print_runtime_lines(2);
    fixture.send_from_runtime("wants " + std::to_string(notice) + " " + txn + " 4\r\ncall");
    fixture.print_dependency_lines(2);
    fixture.send_from_dependency(txn + " ok 5\r\nreply");
    fixture.print_runtime_lines(2);
    fixture.send_from_runtime("end " + std::to_string(notice + 1) + " " + txn + " complete 20 6\r\nresult");
    fixture.print_caller_message(caller);
  };
  serve(2, 1);
  for (int i = 0; i < 3 * kTable; ++i) idle.emplace_back(fixture.port());
  fixture.break_runtime_link();
  fixture.print_whether_dependency_connection_closes();
  fixture.complete_runtime_handshake("hot 900");
  const double used = fixture.processor_seconds();
  fixture.pause(1);
  std::printf("processor time in a second of it: %s\n",
              fixture.processor_seconds() - used < 0.3 ? "little" : "much");
  caller = fixture.connect();
  serve(3, 3);
  fixture.print_counters({"requests.succeeded", "runtime.links"});
}

bool holds_back(pid_t pid, int signal) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("SigBlk:", 0) == 0)
      return (std::strtoull(line.c_str() + 7, nullptr, 16) >> (signal - 1) & 1) != 0;
  }
  return false;
}

// A configuration whose reader waits until it is told: signals can be looked at and sent in between.
class HeldConfiguration {
 public:
  explicit HeldConfiguration(std::string path) : path_(std::move(path)) {
    std::ifstream in(path_);
    text_ = {std::istreambuf_iterator<char>(in), {}};
    ::unlink(path_.c_str());
    if (::mkfifo(path_.c_str(), 0600) != 0) throw std::runtime_error("cannot make a pipe");
  }
  // Whoever reads the path later finds a file.
  void release() {
    std::ofstream waiting_reader(path_);
    ::unlink(path_.c_str());
    std::ofstream(path_) << text_;
    waiting_reader << text_;
  }

 private:
  std::string path_;
  std::string text_;
};

// Guards against a process that dies of a signal (status -1, -10, -15) in place of status 0: one that comes
// before the handlers are there or once they are gone, as the soak of endings found it.
void signals_held() {
  for (const char* command : {"serve", "plan", "forward"}) {
    SiteSpec spec;
    spec.types = {{"read", "retryable", 1, 2, 0, 1}};
    spec.command = command;
    if (std::string(command) == "forward") spec.operators = "forward\n    planners 127.0.0.1:9\n";
    Loop loop;
    Journal journal;
    Callers callers(loop, journal, {});
    Server server(loop, journal, callers, binary, spec, {});
    HeldConfiguration configuration(server.folder() + "/config.json");
    bool held = false;
    server.on_spawned = [&](pid_t pid) {
      for (int i = 0; i < 2000 && !held; ++i) {
        held = holds_back(pid, SIGHUP);
        if (!held) ::usleep(1000);
      }
      if (held) ::kill(pid, SIGHUP);
      configuration.release();
    };
    std::printf("-- %s\n", command);
    say("it starts", server.start());
    say("signals are held back until it can act on them", held);
    say("the one that came is carried out", !server.process->expect_log("new configuration", 3).empty());
    server.notice();
    const double until = now() + 5;
    while (!server.process->over() && now() < until) {
      for (const int signal : {SIGHUP, SIGUSR1, SIGTERM}) server.process->signal(signal);
      loop.run_for(0.0002);
    }
    std::printf("the program ends: status %d\n", server.process->status());
  }
}

}  // namespace

int main(int argc, char** argv) {
  return run_scenario(argc, argv, binary,
                      {{"evicted", evicted},
                       {"evicted_ajp", evicted_ajp},
                       {"halves", halves},
                       {"shed", shed},
                       {"shed_ajp", shed_ajp},
                       {"turned_away", turned_away},
                       {"silent", silent},
                       {"resting", resting},
                       {"refused", refused},
                       {"last_look", last_look},
                       {"exit_waits", exit_waits},
                       {"signals", signals},
                       {"signals_held", signals_held},
                       {"thousand", thousand},
                       {"idle_fill", idle_fill}});
}
