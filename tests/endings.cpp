// Connections, or the process, that end while requests are unread or unanswered. The order of events is
// forced: the program is stopped (SIGSTOP) while its peers write, so that input is unread when it continues
// and decides. CTest compares with tests/traces/endings_NAME.txt. usage: endings BINARY SCENARIO
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

const std::string kHealthCheck = R"({"jsonrpc":"2.0","id":ID,"method":"health","params":{}})";
constexpr int kMaxConnections = 24;  // of callers, with 64 descriptors
const char* const kFewDescriptors = R"(,"limits":{"sockets":64})";

std::string framed(const std::string& body) {
  return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
std::string health_check(int id) { return framed(replaced(kHealthCheck, "ID", std::to_string(id))); }
// A request that is rejected without a runtime.
std::string request(int id) {
  char text[200];
  std::snprintf(text, sizeof text,
                R"({"jsonrpc":"2.0","id":%d,"method":"push","params":{"txn":"%016x","lb":1,"ram":10}})", id,
                0x1000 + id);
  return framed(text);
}

// A caller that distinguishes a graceful close from a reset, and reads only when a test calls for it.
class RawCaller {
 public:
  explicit RawCaller(std::uint16_t port) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    if (::connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
      is_reset_ = is_closed_ = true;
  }
  RawCaller(RawCaller&& other) noexcept
      : fd_(std::exchange(other.fd_, -1)),
        input_(std::move(other.input_)),
        is_closed_(other.is_closed_),
        is_reset_(other.is_reset_) {}
  ~RawCaller() { disconnect(); }
  void disconnect() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  void reset() {
    const linger now{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    disconnect();
  }
  int fd() const { return fd_; }
  // Writes what the system accepts at once, and returns how many bytes that was.
  std::size_t send(const std::string& text) {
    const ssize_t wrote = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return wrote < 0 ? 0 : static_cast<std::size_t>(wrote);
  }
  // Reads until `wanted` answers have arrived in all, the connection has ended, or the timeout has expired.
  // Returns the number of answers.
  int read_answers(int wanted, double timeout_seconds = kTimeoutSeconds) {
    const auto until = Clock::now() + std::chrono::duration<double>(timeout_seconds);
    while (!is_closed_ && answer_count() < wanted && Clock::now() < until) {
      pollfd one{fd_, POLLIN, 0};
      ::poll(&one, 1, 20);
      char bytes[65536];
      const ssize_t got = ::recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
      if (got > 0) input_.append(bytes, static_cast<std::size_t>(got));
      if (got == 0) is_closed_ = true;
      if (got < 0 && errno != EAGAIN && errno != EINTR) is_closed_ = is_reset_ = true;
    }
    return answer_count();
  }
  // Reads until the connection has ended. Returns how.
  const char* read_end(double timeout_seconds = kTimeoutSeconds) {
    read_answers(1 << 30, timeout_seconds);
    return !is_closed_ ? "open" : is_reset_ ? "reset" : "graceful";
  }
  bool has_received(const std::string& part) const { return input_.find(part) != std::string::npos; }

 private:
  int answer_count() const {
    int n = 0;
    for (std::size_t at = 0; (at = input_.find("\"id\":", at)) != std::string::npos; ++at) ++n;
    for (std::size_t at = 0; (at = input_.find("AB", at)) != std::string::npos; ++at) ++n;  // AJP: a pong
    return n;
  }
  int fd_;
  std::string input_;
  bool is_closed_ = false, is_reset_ = false;
};

// Stops the program, calls `meanwhile`, and lets the program continue after this time.
void while_stopped(ServerFixture& fixture, double seconds, const std::function<void()>& meanwhile) {
  fixture.signal(SIGSTOP);
  ::usleep(50'000);
  meanwhile();
  ::usleep(static_cast<useconds_t>(seconds * 1e6));
  fixture.signal(SIGCONT);
}

std::size_t open_descriptors(const ServerFixture& fixture) {
  std::size_t n = 0;
  for ([[maybe_unused]] const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(fixture.pid()) + "/fd"))
    ++n;
  return n;
}

// All connections are idle and have an unread request when as many new connections arrive, each with this
// input or none. Prints how many of the unread requests are answered.
struct Crossing {
  Crossing(ServerFixture& fixture, std::uint16_t port, const std::string& first, const std::string& second,
           int count, const std::string& new_connection_input = "") {
    for (int i = 0; i < count; ++i) {
      idle.emplace_back(port);
      idle.back().send(first);
      idle.back().read_answers(1);
    }
    while_stopped(fixture, 0.05, [&] {
      for (int i = 0; i < count; ++i) {
        new_connections.emplace_back(port);
        new_connections.back().send(new_connection_input);
      }
      for (RawCaller& one : idle) one.send(second);
    });
    int answered = 0, resets = 0;
    for (RawCaller& one : idle) answered += one.read_answers(2) == 2;
    for (RawCaller& one : idle) resets += std::strcmp(one.read_end(0.1), "reset") == 0;
    std::printf("unread requests: %d, answered: %d, resets: %d\n", count, answered, resets);
  }
  std::vector<RawCaller> idle, new_connections;
};

// Guards against the eviction of a connection whose request is unread: all are answered, and no new
// connection is reset.
void evicted() {
  ServerFixture fixture("", kFewDescriptors);
  fixture.complete_startup();
  Crossing crossing(fixture, fixture.port(), health_check(1), health_check(2), kMaxConnections,
                    health_check(1));
  int resets = 0;
  for (RawCaller& one : crossing.new_connections)
    resets += std::strcmp(one.read_answers(1) == 1 ? "answered" : one.read_end(2), "reset") == 0;
  std::printf("new connections that were reset: %d\n", resets);
}

// Connections whose first request stays incomplete use all connections: they are evicted for new connections,
// none of which is rejected.
void incomplete_requests() {
  ServerFixture fixture("", kFewDescriptors);
  fixture.complete_startup();
  std::vector<RawCaller> incomplete, new_connections;
  for (int i = 0; i < kMaxConnections; ++i) {
    incomplete.emplace_back(fixture.port());
    incomplete.back().send(health_check(1).substr(0, 30));
  }
  fixture.pause(0.3);
  int answered = 0;
  for (int i = 0; i < kMaxConnections; ++i) {
    new_connections.emplace_back(fixture.port());
    new_connections.back().send(health_check(1));
    answered += new_connections.back().read_answers(1, 2) == 1;
  }
  std::printf("new connections: %d, answered: %d\n", kMaxConnections, answered);
  fixture.print_counters({"callers.rejected"});
}

const char* const kAdmissionByClient =
    "gate\n    enabled on\n    reserve 0%\n    client-share 100%\n    network-share 100%\n    keep-idle "
    "50ms\n";

// The same with admission per client: a connection that is evicted for a new one is read first, and its
// request is answered.
void evicted_by_client() {
  ServerFixture fixture("", kFewDescriptors, {"", kAdmissionByClient});
  fixture.complete_startup();
  Crossing crossing(fixture, fixture.port(), health_check(1), health_check(2), kMaxConnections);
}

// The same at the AJP listener, with pings, which are answered at once.
void evict_at_ajp_listener(const std::string& more) {
  ServerFixture fixture("", kFewDescriptors,
                        {"", "ajp\n    listen 127.0.0.1:0\n    map GET /health health\n" + more});
  const std::string line = fixture.expect_log("accepts AJP callers");
  const auto port = static_cast<std::uint16_t>(std::atoi(line.substr(line.rfind(' ') + 1).c_str()));
  fixture.complete_startup();
  const std::string ping("\x12\x34\x00\x01\x0a", 5);
  Crossing crossing(fixture, port, ping, ping, kMaxConnections / 2);  // the other listener has the other half
}
void evicted_ajp() { evict_at_ajp_listener(""); }
void evicted_by_client_ajp() { evict_at_ajp_listener(kAdmissionByClient); }

// The program has shut down its side of the last connection, and the peer has not closed yet: the process
// waits for that, for half a second at most, and ends when the peer closes. On a machine under load the check
// may come too late to show this; then the test tries again.
void exit_awaits_peer() {
  for (int attempt = 0; attempt < 5; ++attempt) {
    ServerFixture fixture;
    RawCaller caller(fixture.port());
    caller.send(health_check(1));
    caller.read_answers(1);
    fixture.signal(SIGTERM);
    for (int i = 0; i < 100 && !caller.has_received("noMore"); ++i) caller.read_answers(1000, 0.1);
    const auto started_at = Clock::now();
    caller.send("Content-Length: 99999\r\n\r\n");
    const char* end = caller.read_end();
    fixture.pause(0.15);
    std::ifstream file("/proc/" + std::to_string(fixture.pid()) + "/stat");
    const std::string state((std::istreambuf_iterator<char>(file)), {});
    if (Clock::now() - started_at > std::chrono::milliseconds(400)) continue;
    const bool is_running = !state.empty() && state.find(") Z") == std::string::npos;
    std::printf("error received: %s, close: %s, the program is still running: %s\n",
                caller.has_received("broken frame") ? "yes" : "no", end, is_running ? "yes" : "no");
    caller.disconnect();
    return fixture.print_exit_status();
  }
  std::printf("this machine is too slow for the check\n");
}

// A new connection while all others are busy is closed gracefully, not by a reset because of its unread
// request.
void rejected_connections() {
  ServerFixture fixture(R"(,"cores":16)", kFewDescriptors,
                        {R"([{"name":"push","target":60000,"give-up":60000}])", ""});
  fixture.complete_startup();
  std::vector<RawCaller> busy;
  for (int i = 1; i <= kMaxConnections; ++i) {
    busy.emplace_back(fixture.port());
    busy.back().send(request(i));
  }
  fixture.pause(0.2);
  std::vector<RawCaller> new_connections;
  while_stopped(fixture, 0.05, [&] {
    for (int i = 0; i < 8; ++i) {
      new_connections.emplace_back(fixture.port());
      new_connections.back().send(request(100 + i));
    }
  });
  int graceful = 0;
  for (RawCaller& one : new_connections) graceful += std::strcmp(one.read_end(), "graceful") == 0;
  std::printf("new connections while all others are busy: 8, closed gracefully: %d\n", graceful);
  fixture.print_counters({"callers.rejected"});
}

// A connection sends its first request just as the timeout for that, 2 s, expires and it would be closed: the
// request is answered.
void silent_connection() {
  ServerFixture fixture;
  fixture.complete_startup();
  RawCaller late(fixture.port());
  fixture.pause(1.5);
  while_stopped(fixture, 0.8, [&] { late.send(health_check(1)); });
  std::printf("request as its timeout expires, answered: %d\n", late.read_answers(1));
  fixture.print_counters({"callers.silent"});
}

// A connection that stays open after a drain notice sends a request just as it would be closed: the request
// is answered.
void drained_connection() {
  ServerFixture fixture(R"(,"caller-idle":3000)");
  fixture.complete_startup();
  RawCaller caller(fixture.port());
  for (int i = 1; i <= 40; ++i) {  // callers do not return, so idle connections are closed early
    caller.send(framed(R"({"jsonrpc":"2.0","id":)" + std::to_string(i) +
                       R"(,"method":"push","params":{"txn":"00000000000000)" + std::to_string(10 + i) +
                       R"(","lb":)" + std::to_string(i) + R"(,"ram":1999}})"));
    caller.read_answers(i);
  }
  for (int i = 0; i < 100 && !caller.has_received("noMore"); ++i) caller.read_answers(1000, 0.1);
  std::printf("drain notice received: %s\n", caller.has_received("noMore") ? "yes" : "no");
  while_stopped(fixture, 5.3, [&] { caller.send(health_check(100)); });
  caller.read_answers(41);
  const bool answered = caller.has_received("\"id\":100,");
  const char* end = caller.read_end(20);
  std::printf("request as it would be closed, answered: %s; close: %s\n", answered ? "yes" : "no", end);
}

// An invalid frame and more input after a request: the request is answered, the error is received, and the
// input that the program does not read causes no reset.
void invalid_frame() {
  ServerFixture fixture;
  fixture.complete_startup();
  RawCaller caller(fixture.port());
  fixture.send_request(caller.fd(), 1);
  fixture.print_runtime_lines(2);
  caller.send("Content-Length: 99999\r\n\r\n");
  fixture.pause(0.1);
  caller.send(std::string(100'000, 'x'));
  fixture.pause(0.1);
  fixture.send_from_runtime("end 1 0000000000000001 complete 20 6\r\nresult");
  const char* end = caller.read_end();
  std::printf("error received: %s, result received: %s, close: %s\n",
              caller.has_received("broken frame") ? "yes" : "no",
              caller.has_received("cmVzdWx0") ? "yes" : "no", end);
  // A peer that never closes its side holds no descriptor for long, and one that goes on sending is not read
  // for long.
  fixture.pause(1);
  const std::size_t before = open_descriptors(fixture);
  std::vector<RawCaller> peers;
  for (int i = 0; i < 16; ++i) {
    peers.emplace_back(fixture.port());
    peers.back().send("Content-Length: 99999\r\n\r\n");
  }
  fixture.pause(1.5);
  std::printf("sixteen peers that never close their side, additional descriptors: %d\n",
              static_cast<int>(open_descriptors(fixture)) - static_cast<int>(before));
  RawCaller flood(fixture.port());
  flood.send("Content-Length: 99999\r\n\r\n");
  const std::string flood_bytes(65536, 'y');
  std::size_t sent = 0;
  bool is_disconnected = false;
  for (const auto until = Clock::now() + std::chrono::seconds(3); !is_disconnected && Clock::now() < until;) {
    const std::size_t accepted = flood.send(flood_bytes);
    sent += accepted;
    is_disconnected = accepted == 0 && errno != EAGAIN;
  }
  std::printf("a peer that floods after an invalid frame is disconnected: %s\n",
              is_disconnected && sent < (64U << 20) ? "yes" : "no");
}

// Hundreds of requests, more than one read of the socket returns, are unread when the process would end: all
// are answered.
void unread_at_exit() {
  for (const bool is_up : {false, true}) {
    std::printf("-- the runtime is %s\n", is_up ? "up" : "not up");
    ServerFixture fixture;
    if (is_up) fixture.complete_startup();
    RawCaller caller(fixture.port());
    caller.send(health_check(1));
    caller.read_answers(1);
    fixture.signal(SIGTERM);
    for (int i = 0; i < 100 && !caller.has_received("noMore"); ++i) caller.read_answers(1000, 0.1);
    fixture.pause(1);
    std::string requests;
    constexpr int request_count = 400;
    for (int i = 2; i <= request_count; ++i) requests += is_up ? request(i) : health_check(i);
    while_stopped(fixture, 1.2, [&] { caller.send(requests); });
    const char* end = caller.read_end();
    const int answered = caller.read_answers(request_count);
    std::printf("requests: %d, answered: %d, close: %s\n", request_count, answered, end);
    std::printf("requests after the grace, nacked: %s\n",
                is_up ? (caller.has_received("-32001") && !caller.has_received("-32000") ? "all" : "not all")
                      : "none sent");
    fixture.print_exit_status();
  }
}

// A second SIGTERM, SIGHUP during the drain, and SIGTERM while the runtime's link is down: there is one
// drain, and requests in flight are answered.
void signals() {
  ServerFixture fixture;
  fixture.complete_startup();
  RawCaller caller(fixture.port());
  fixture.send_request(caller.fd(), 1);
  fixture.print_runtime_lines(2);
  fixture.signal(SIGTERM);
  fixture.await_registry_report("HERE n1 off");
  fixture.signal(SIGTERM);
  fixture.reload();
  fixture.await_registry_report("HERE n1 off");
  fixture.complete_runtime_handshake("hot 900");  // on the new link, during the drain
  fixture.send_from_runtime("end 1 0000000000000001 complete 20 6\r\nresult");
  const int answers = caller.read_answers(1);
  std::printf("answered: %d, result received: %s\n", answers, caller.has_received("cmVzdWx0") ? "yes" : "no");
  caller.disconnect();
  fixture.print_exit_status();
  ServerFixture broken;
  broken.complete_startup();
  RawCaller other(broken.port());
  broken.send_request(other.fd(), 1, "push", R"("ram":10,"limit":900)");
  broken.print_runtime_lines(2);
  broken.break_runtime_link();
  broken.signal(SIGTERM);
  std::printf("without a runtime, answered by its deadline: %d\n", other.read_answers(1, 1.2));
  other.disconnect();
  broken.print_exit_status();
  // The two seconds until the stop count from the first notice, not from the second.
  ServerFixture twice;
  twice.complete_startup();
  RawCaller idle(twice.port());
  idle.send(health_check(1));
  idle.read_answers(1);
  const auto started_at = Clock::now();
  twice.signal(SIGTERM);
  twice.pause(1.5);
  twice.signal(SIGTERM);
  twice.print_exit_status();
  std::printf("ended within the time of the first notice: %s\n",
              Clock::now() - started_at < std::chrono::milliseconds(3000) ? "yes" : "no");
}

// More than a thousand connections that end in all ways leak no descriptor and no memory.
void thousand_connections() {
  ::setenv("ASAN_OPTIONS", "quarantine_size_mb=1", 1);
  ServerFixture fixture("", kFewDescriptors);
  fixture.complete_startup();
  const auto resident_kib = [&] {
    std::ifstream file("/proc/" + std::to_string(fixture.pid()) + "/statm");
    long size = 0, pages = 0;
    file >> size >> pages;
    return pages * 4;
  };
  const auto open_and_end = [&](int rounds) {
    for (int i = 0; i < rounds; ++i) {
      RawCaller checked(fixture.port()), invalid(fixture.port()), incomplete(fixture.port()),
          requesting(fixture.port()), silent(fixture.port());
      checked.send(health_check(1));
      invalid.send(health_check(1) + "Content-Length: 99999\r\n\r\n" + std::string(3000, 'x'));
      incomplete.send(health_check(1) + "Content-Length: 50\r\n\r\nhalf");
      requesting.send(request(i));
      if (i % 2 == 0) invalid.reset();
      incomplete.reset();
      silent.disconnect();
      requesting.read_answers(1, 0.2);
      checked.read_answers(1);
      if (i % 16 == 0) fixture.pause(0.01);
    }
    // Until incomplete requests have timed out and requests in flight have reached their deadline.
    fixture.pause(3.5);
  };
  const std::size_t before = open_descriptors(fixture);
  open_and_end(100);
  const long before_kib = resident_kib();
  open_and_end(200);
  std::printf("additional descriptors: %d\n",
              static_cast<int>(open_descriptors(fixture)) - static_cast<int>(before));
  const long grown_kib = resident_kib() - before_kib;
  std::printf("memory grew by under 4 MiB: %s\n",
              grown_kib < 4096 ? "yes" : std::to_string(grown_kib).c_str());
  fixture.print_counters({});
}

// Idle clients use all connections while the registry is closed; then the links to the runtime and the
// dependency end. Callers are served, health checks are answered, the program reconnects its own links, and
// its event loop does not spin.
void idle_flood() {
  ServerFixture fixture("", kFewDescriptors);
  fixture.complete_startup();
  // The same limit as in kFewDescriptors; the program reserves some of these descriptors for its own links.
  const rlimit few{64, 64};
  ::prlimit(fixture.pid(), RLIMIT_NOFILE, &few, nullptr);
  fixture.close_registry();
  std::vector<RawCaller> idle;
  for (int i = 0; i < 3 * kMaxConnections; ++i) idle.emplace_back(fixture.port());
  fixture.pause(0.3);
  int caller = fixture.connect();
  fixture.send(caller, replaced(kHealthCheck, "ID", "1"));
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
  for (int i = 0; i < 3 * kMaxConnections; ++i) idle.emplace_back(fixture.port());
  fixture.break_runtime_link();
  fixture.print_whether_dependency_connection_closes();
  fixture.complete_runtime_handshake("hot 900");
  const double used = fixture.processor_seconds();
  fixture.pause(1);
  std::printf("processor time in a second of this: %s\n",
              fixture.processor_seconds() - used < 0.3 ? "little" : "much");
  caller = fixture.connect();
  serve(3, 3);
  fixture.print_counters({"requests.succeeded", "runtime.links"});
}

bool blocks_signal(pid_t pid, int signal) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("SigBlk:", 0) == 0)
      return (std::strtoull(line.c_str() + 7, nullptr, 16) >> (signal - 1) & 1) != 0;
  }
  return false;
}

// Replaces a configuration file by a named pipe, so that the program waits in reading it until release().
// Meanwhile the test checks which signals the program blocks, and sends one.
class DelayedConfiguration {
 public:
  explicit DelayedConfiguration(std::string path) : path_(std::move(path)) {
    std::ifstream in(path_);
    text_ = {std::istreambuf_iterator<char>(in), {}};
    ::unlink(path_.c_str());
    if (::mkfifo(path_.c_str(), 0600) != 0) throw std::runtime_error("cannot make a pipe");
  }
  // Later readers of the path find a file again.
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

// Guards against a process that a signal kills (status -1, -10, -15) instead of status 0, because the signal
// arrives before the handlers are installed or after they are removed; the soak test of endings found this.
void signals_blocked() {
  for (const char* command : {"serve", "plan", "forward"}) {
    SiteSpec spec;
    spec.types = {{"read", "retryable", 1, 2, 0, 1}};
    spec.command = command;
    if (std::string(command) == "forward") spec.operators = "forward\n    planners 127.0.0.1:9\n";
    Loop loop;
    Journal journal;
    Callers callers(loop, journal, {});
    Server server(loop, journal, callers, binary, spec, {});
    DelayedConfiguration configuration(server.folder() + "/config.json");
    bool is_blocked = false;
    server.on_spawned = [&](pid_t pid) {
      for (int i = 0; i < 2000 && !is_blocked; ++i) {
        is_blocked = blocks_signal(pid, SIGHUP);
        if (!is_blocked) ::usleep(1000);
      }
      if (is_blocked) ::kill(pid, SIGHUP);
      configuration.release();
    };
    std::printf("-- %s\n", command);
    say("starts", server.start());
    say("signals are blocked until the program can handle them", is_blocked);
    say("a signal that was blocked is handled", !server.process->expect_log("new configuration", 3).empty());
    server.send_shutdown_notice();
    const double until = now() + 5;
    while (!server.process->has_ended() && now() < until) {
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
                       {"incomplete_requests", incomplete_requests},
                       {"evicted_by_client", evicted_by_client},
                       {"evicted_by_client_ajp", evicted_by_client_ajp},
                       {"rejected_connections", rejected_connections},
                       {"silent_connection", silent_connection},
                       {"drained_connection", drained_connection},
                       {"invalid_frame", invalid_frame},
                       {"unread_at_exit", unread_at_exit},
                       {"exit_awaits_peer", exit_awaits_peer},
                       {"signals", signals},
                       {"signals_blocked", signals_blocked},
                       {"thousand_connections", thousand_connections},
                       {"idle_flood", idle_flood}});
}
