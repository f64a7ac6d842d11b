// Plays the program's four peers on loopback ports that the system picks, and prints what it tells them;
// CTest compares that with tests/traces/program_NAME.txt. usage: program BINARY SCENARIO
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
constexpr double kPatience = 10;  // s; for whatever is expected, far above what it takes

std::string binary;

int bound_socket(int kind, std::uint16_t& port) {
  const int fd = ::socket(AF_INET, kind | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0) std::abort();
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  if (kind == SOCK_STREAM && ::listen(fd, 64) != 0) std::abort();
  return fd;
}

void put(int fd, const std::string& text) {
  if (::send(fd, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size())) {
    std::printf("(cannot send)\n");
  }
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size())
    text.replace(at, from.size(), to);
  return text;
}

// One backend with its peers. Everything that comes is kept in a line a peer until it is asked for; the
// gauges are answered without being asked for.
class Site {
 public:
  explicit Site(const std::string& more_family = "", const std::string& more_top = "")
      : more_family_(more_family), more_top_(more_top) {
    char path[] = "/tmp/damsonspoke-XXXXXX";
    ::close(::mkstemp(path));
    config_path_ = path;
    write_config();
    int log[2];
    if (::pipe2(log, O_CLOEXEC) != 0) std::abort();
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(log[1], STDERR_FILENO);
      ::execl(binary.c_str(), binary.c_str(), "serve", "--config", config_path_.c_str(), nullptr);
      std::_Exit(127);
    }
    ::close(log[1]);
    log_ = log[0];
    const std::string line = expect_log("listens on");
    port_ = static_cast<std::uint16_t>(std::atoi(line.substr(line.rfind(':') + 1).c_str()));
  }
  // New peers at new addresses; what is open to the old ones stays open.
  void write_config() {
    for (const int fd : {runtime_listener_, below_listener_, roster_}) {
      if (fd >= 0) ::close(fd);
    }
    runtime_listener_ = bound_socket(SOCK_STREAM, runtime_port_);
    below_listener_ = bound_socket(SOCK_STREAM, below_port_);
    roster_ = bound_socket(SOCK_DGRAM, roster_port_);
    reports_.clear();
    const auto at = [](std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
    std::ofstream(config_path_)
        << R"({"name":"n1","listen":"127.0.0.1:0","runtime":)" << at(runtime_port_) << R"(,"roster":)"
        << at(roster_port_) << R"(,"backend":)" << at(below_port_) << R"(,"seed":"7","stop_ms":2000)"
        << more_top_
        << R"(,"settings":{"servers":1,"resolution":4,"rules":{"fall-multiple":8,"stop-sending-within":300},)"
        << R"("allowed":{"retry-after":true,"max-retry-after":1000},)"
        << R"("request-classes":[{"name":"push","target":400,"give-up":3000},{"name":"pull","target":400,"give-up":800}],)"
        << R"("family-info":{"cores":2,"callers":1,"memory-kb":5000,"run-factor":4,"halt":"pause","below":"shared",)"
        << R"("dep-share":4,"calls-over":5000,"linger":200,"calls-by-class":[true,true],"worth-without":[0.5,0],)"
        << R"("list-follows":true,"gauges":["cpu_busy","runnable"])" << more_family_ << "}}}";
  }
  // A new configuration file; a good one moves all peers, a bad one holds only this text.
  void reload(const std::string& bad = "") {
    std::printf("-- a new configuration, %s\n", bad.empty() ? "all peers elsewhere" : bad.c_str());
    bad.empty() ? write_config() : static_cast<void>(std::ofstream(config_path_) << bad);
    signal(SIGHUP);
    const std::string line = expect_log("new configuration");
    std::printf("log: %s\n", line.substr(line.find("new conf"), bad.empty() ? 17 : 60).c_str());
  }
  ~Site() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    std::remove(config_path_.c_str());
  }

  // ---- The runtime.
  void runtime_comes_up(const std::string& state = "hot 0") {
    if (!pump([&] { return !runtime_lines_.empty(); })) return;
    std::printf("runtime hears: %s\n", taken(runtime_lines_).c_str());
    put(runtime_, "ready " + state + "\r\n");
  }
  void comes_up() {
    runtime_comes_up();
    roster_hears("HERE n1 on");
  }
  void runtime_hears(int lines = 1) {
    for (int i = 0; i < lines; ++i) {
      const bool came = pump([&] { return !runtime_lines_.empty(); });
      std::printf("runtime hears: %s\n", came ? taken(runtime_lines_).c_str() : "(nothing)");
    }
  }
  void runtime_says(const std::string& text) {
    std::printf("runtime says: %s\n", replaced(text, "\r\n", " / ").c_str());
    put(runtime_, text + "\r\n");
  }
  void runtime_breaks() {
    std::printf("-- the runtime's link breaks\n");
    ::shutdown(runtime_, SHUT_RDWR);
    ::close(runtime_);
    runtime_ = -1;
    buffers_["runtime"].clear();
    runtime_lines_.clear();
  }
  bool answers_gauges = true;

  // ---- The layer below.
  void below_hears(int lines = 1) {
    for (int i = 0; i < lines; ++i) {
      std::string line = pump([&] { return !below_lines_.empty(); }) ? taken(below_lines_) : "(nothing)";
      // The patience hangs on the clock.
      if (line.rfind("invoke", 0) == 0) line.replace(24, line.find(' ', 24) - 24, "MS");
      std::printf("below hears: %s\n", line.c_str());
    }
  }
  void below_says(const std::string& text) {
    std::printf("below says: %s\n", replaced(text, "\r\n", " / ").c_str());
    put(below_, text + "\r\n");
  }
  int keep_below() { return std::exchange(below_, -1); }
  void below_is(int fd) { below_ = fd; }
  void below_breaks() {
    std::printf("-- the connection below breaks\n");
    ::close(below_);
    below_ = -1;
  }
  void below_closes() {
    std::printf("the connection below is closed: %s\n", pump([&] { return below_ < 0; }) ? "yes" : "no");
  }
  void below_goes_down() {
    std::printf("-- the layer below refuses connections\n");
    ::close(below_listener_);
    below_listener_ = -1;
  }

  // ---- The roster.
  void roster_hears(const std::string& wanted) {
    const bool came = pump([&] {
      while (!reports_.empty()) {
        if (taken(reports_) == wanted) return true;
      }
      return false;
    });
    std::printf("roster hears: %s\n", came ? wanted.c_str() : "(nothing)");
  }

  // ---- Callers.
  int connect(bool reads = true) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int little = 4096;
    if (!reads) ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &little, sizeof little);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port_);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
      ::close(fd);
      return -1;
    }
    if (reads) callers_[fd];
    return fd;
  }
  void reads(int fd) { callers_[fd]; }  // from now on
  void keep_sending(int fd, const std::string& rest) { unsent_[fd] = rest; }
  void hang_up(int fd, bool reset = false) {
    const linger now{1, 0};
    if (reset) ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::close(fd);
    callers_.erase(fd);
  }
  void send(int fd, const std::string& body) {
    put(fd, "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  // An op whose txn is its number.
  void send_op(int fd, int id, const char* type = "push", const char* more = R"("ram":10,"limit":3000)") {
    char text[400];
    const double now =
        std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::snprintf(
        text, sizeof text,
        R"({"jsonrpc":"2.0","id":%d,"method":"%s","params":{"txn":"%016x","door":%.0f,"lb":1,%s,"arg":"Ym9keQ=="}})",
        id, type, id, now * 1000, more);
    std::printf("caller asks: %s, id %d, %s\n", type, id, more);
    send(fd, text);
  }
  void caller_hears(int fd) { std::printf("caller hears: %s\n", heard(fd).c_str()); }
  std::string heard(int fd) {
    Caller& caller = callers_[fd];
    pump([&] { return !caller.messages.empty() || caller.over; });
    if (!caller.messages.empty()) return taken(caller.messages);
    return caller.over ? "(the end)" : "(nothing)";
  }

  // ---- The process.
  std::string expect_log(const std::string& part) {
    std::string found;
    pump([&] {
      while (!log_lines_.empty()) {
        const std::string line = taken(log_lines_);
        if (line.find(part) != std::string::npos) return found = line, true;
      }
      return false;
    });
    return found;
  }
  void signal(int number) { ::kill(pid_, number); }
  // So many more than are open may be opened from now on.
  void descriptors(int more) {
    int top = 0;
    for (int fd = 0; fd < 256; ++fd) {
      const std::string path = "/proc/" + std::to_string(pid_) + "/fd/" + std::to_string(fd);
      if (::access(path.c_str(), F_OK) != 0) break;
      top = fd + 1;
    }
    const rlimit limit{static_cast<rlim_t>(top + more), 1024};
    ::prlimit(pid_, RLIMIT_NOFILE, &limit, nullptr);
  }
  // The counters that are not zero among those named.
  void counters(const std::vector<std::string>& names) {
    pause(0.05);  // what was just said is read before the signal
    signal(SIGUSR1);
    expect_log("counters:");
    std::map<std::string, std::string> seen;
    pump([&] {
      while (!log_lines_.empty()) {
        const std::string line = taken(log_lines_);
        const std::size_t name = line.find_first_not_of(' '), end = line.find(' ', name);
        if (name == 0 || end == std::string::npos) continue;
        seen[line.substr(name, end - name)] = line.substr(line.find_first_not_of(' ', end));
      }
      return seen.contains("invariants.broken");
    });
    for (const std::string& name : names) std::printf("counter %s: %s\n", name.c_str(), seen[name].c_str());
    std::printf("counter invariants.broken: %s\n", seen["invariants.broken"].c_str());
  }
  void ends() {
    int status = -1;
    const bool over = pump([&] { return ::waitpid(pid_, &status, WNOHANG) == pid_; });
    if (over) pid_ = -1;
    std::printf("the program ends: %s\n", !over ? "no"
                                          : WIFEXITED(status)
                                              ? ("status " + std::to_string(WEXITSTATUS(status))).c_str()
                                              : "killed");
  }
  double processor_time() const {  // s so far, of the program
    std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
    std::string field;
    double ticks = 0;
    for (int i = 1; i <= 15 && stat >> field; ++i) {
      if (i >= 14) ticks += std::atof(field.c_str());
    }
    return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
  }
  void pause(double seconds) {
    const auto until = Clock::now() + std::chrono::duration<double>(seconds);
    pump([&] { return Clock::now() >= until; });
  }

 private:
  struct Caller {
    std::string buffer;
    std::deque<std::string> messages;
    bool over = false;
  };

  static std::string taken(std::deque<std::string>& from) {
    std::string first = from.front();
    from.pop_front();
    return first;
  }

  // Takes in what comes until it is enough; false when patience ends first.
  bool pump(const std::function<bool()>& enough) {
    const auto until = Clock::now() + std::chrono::duration<double>(kPatience);
    while (!enough()) {
      if (Clock::now() >= until) return false;
      std::vector<pollfd> fds;
      for (const int fd : {runtime_listener_, below_listener_, roster_, log_, runtime_, below_}) {
        if (fd >= 0) fds.push_back({fd, POLLIN, 0});
      }
      for (const auto& [fd, caller] : callers_) {
        if (!caller.over) fds.push_back({fd, POLLIN, 0});
      }
      for (auto& [fd, rest] : unsent_) {
        const ssize_t wrote = ::send(fd, rest.data(), rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (wrote > 0) rest.erase(0, static_cast<std::size_t>(wrote));
      }
      ::poll(fds.data(), fds.size(), 10);
      for (const pollfd& ready : fds) {
        if (ready.revents != 0) take(ready.fd);
      }
    }
    return true;
  }
  void take(int fd) {
    if (fd == runtime_listener_) {
      runtime_ = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      return;
    }
    if (fd == below_listener_) {
      below_ = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      return;
    }
    char bytes[65536];
    const ssize_t got = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
    const ssize_t read = got < 0 && errno == ENOTSOCK ? ::read(fd, bytes, sizeof bytes) : got;
    const std::string_view text(bytes, read > 0 ? static_cast<std::size_t>(read) : 0);
    if (fd == roster_) {
      reports_.emplace_back(text);
    } else if (fd == log_) {
      if (read <= 0) log_ = -1;
      lines(buffers_["log"], text, "\n", log_lines_);
    } else if (fd == runtime_) {
      if (read <= 0) runtime_ = -1;
      std::deque<std::string> all;
      lines(buffers_["runtime"], text, "\r\n", all);
      for (std::string& line : all) {
        if (line.rfind("gauges ", 0) != 0) {
          runtime_lines_.push_back(line);
        } else if (answers_gauges && runtime_ >= 0) {
          put(runtime_, "load " + line.substr(7) + " 0.25 1\r\n");
        }
      }
    } else if (fd == below_) {
      if (read <= 0) below_ = -1;
      lines(buffers_["below"], text, "\r\n", below_lines_);
    } else {
      Caller& caller = callers_[fd];
      if (read <= 0) caller.over = true;
      caller.buffer += text;
      for (std::size_t head; (head = caller.buffer.find("\r\n\r\n")) != std::string::npos;) {
        const std::size_t length = static_cast<std::size_t>(std::atoi(caller.buffer.c_str() + 16));
        if (caller.buffer.size() < head + 4 + length) break;
        caller.messages.push_back(caller.buffer.substr(head + 4, length));
        caller.buffer.erase(0, head + 4 + length);
      }
    }
  }
  static void lines(std::string& buffer, std::string_view text, const char* end,
                    std::deque<std::string>& into) {
    buffer += text;
    for (std::size_t at; (at = buffer.find(end)) != std::string::npos;) {
      into.push_back(buffer.substr(0, at));
      buffer.erase(0, at + std::strlen(end));
    }
  }

  std::uint16_t runtime_port_ = 0, below_port_ = 0, roster_port_ = 0, port_ = 0;
  const std::string more_family_, more_top_;
  int runtime_listener_ = -1, below_listener_ = -1, roster_ = -1, log_ = -1, runtime_ = -1, below_ = -1;
  std::string config_path_;
  pid_t pid_ = -1;
  std::map<std::string, std::string> buffers_;
  std::deque<std::string> runtime_lines_, below_lines_, reports_, log_lines_;
  std::map<int, Caller> callers_;
  std::map<int, std::string> unsent_;
};

const std::string kId1 = "0000000000000001", kId2 = "0000000000000002";

// From the caller to the runtime, below and back, with every body unchanged; then the sums of the counters.
void served() {
  Site site;
  site.comes_up();
  const int caller = site.connect();
  site.send(caller, R"({"jsonrpc":"2.0","id":9,"method":"health","params":{"probe":true}})");
  site.caller_hears(caller);
  site.send_op(caller, 1);
  site.runtime_hears(2);
  site.runtime_says("wants 1 " + kId1 + " 4\r\ncall");
  site.below_hears(2);
  site.below_says(kId1 + " ok 5\r\nreply");
  site.runtime_hears(2);
  site.runtime_says("end 2 " + kId1 + " complete 20 6\r\nresult");
  site.caller_hears(caller);
  site.send_op(caller, 2, "pull");
  site.runtime_hears(2);
  site.runtime_says("end 3 " + kId2 + " error 20 0\r\n");
  site.caller_hears(caller);
  site.send_op(caller, 3, "push", R"("ram":1999,"limit":3000)");
  site.caller_hears(caller);
  site.send_op(caller, 4);
  site.runtime_hears();
  site.hang_up(caller, true);
  site.runtime_hears(2);
  site.runtime_says("end 4 0000000000000004 cancelled 20 0\r\n");
  site.counters({"ops.read", "ops.acked", "ops.nacked", "ops.failed", "ops.gone", "runs.complete",
                 "runs.error", "runs.cancelled", "calls.made", "calls.ok", "checks.good"});
}

// Nothing runs before the runtime is up; it may come up late.
void late_runtime() {
  Site site;
  const int caller = site.connect();
  site.send(caller, R"({"jsonrpc":"2.0","id":1,"method":"health","params":{}})");
  site.caller_hears(caller);
  site.send_op(caller, 2);
  site.caller_hears(caller);
  site.runtime_comes_up("chilly 20");
  site.roster_hears("HERE n1 on");
  site.send(caller, R"({"jsonrpc":"2.0","id":3,"method":"health","params":{}})");
  site.caller_hears(caller);
}

// A command that may not have arrived is sent again, once what was missed has been read; what has arrived, or
// has ended meanwhile, is not.
void broken_link() {
  Site site;
  site.comes_up();
  site.pause(0.3);
  site.answers_gauges = false;
  const int caller = site.connect();
  site.send_op(caller, 1);
  site.runtime_hears(2);
  site.send_op(caller, 2);
  site.runtime_hears(2);
  site.runtime_breaks();
  site.answers_gauges = true;
  site.runtime_comes_up("hot 900");
  site.runtime_says("end 1 " + kId1 + " complete 20 3\r\none");
  site.caller_hears(caller);
  site.runtime_hears();  // the start of 2 again
  site.runtime_hears();
  site.pause(0.5);  // gauges have been answered since
  site.runtime_breaks();
  site.runtime_comes_up("hot 1900");
  site.runtime_says("end 1 " + kId1 + " complete 20 3\r\none");  // a repeat
  site.runtime_says("end 2 " + kId2 + " complete 20 3\r\ntwo");
  site.caller_hears(caller);
  site.counters({"ops.read", "ops.acked", "runtime.links", "runtime.resent", "runtime.repeats"});
}

// Lines that can't be used are counted; when the framing is lost, the link is opened anew.
void bad_runtime() {
  Site site;
  site.comes_up();
  site.runtime_says("what is this");
  site.runtime_says("end 1 0000000000000077 complete 20 2\r\nhm");
  site.runtime_says("info 2 some words");
  site.runtime_says("nack stop 0000000000000077");
  const int caller = site.connect();
  site.send_op(caller, 1);
  site.runtime_hears(2);
  site.runtime_says("nack start " + kId1);
  site.caller_hears(caller);
  site.runtime_says("wants 3 " + kId1 + " 99999999");
  site.runtime_comes_up("hot 900");
  site.counters({"runtime.links", "runtime.bad", "runtime.infos", "runtime.nacks", "ops.failed"});
}

// Under load the peers move, twice: the runs go on, and what is unproven is sent again on the new link; a
// call in hand ends where it began. A file that can't be used changes nothing.
void reload() {
  Site site;
  site.comes_up();
  const int caller = site.connect();
  site.send_op(caller, 1);
  site.runtime_hears(2);
  site.runtime_says("wants 1 " + kId1 + " 4\r\ncall");
  site.below_hears(2);
  site.reload("{\"name\":");
  site.reload();
  site.runtime_comes_up("hot 900");
  site.roster_hears("HERE n1 on");
  site.below_says(kId1 + " ok 5\r\nreply");
  site.runtime_hears(2);
  site.runtime_says("end 2 " + kId1 + " complete 20 6\r\nresult");
  site.caller_hears(caller);
  site.reload();
  site.runtime_comes_up("hot 1900");
  site.send_op(caller, 2);
  site.runtime_hears(2);
  site.runtime_says("wants 3 " + kId2 + " 4\r\ncall");
  site.below_hears(2);
  site.below_says(kId2 + " ok 5\r\nreply");
  site.runtime_hears(2);
  site.runtime_says("end 4 " + kId2 + " complete 20 6\r\nresult");
  site.caller_hears(caller);
  site.counters({"ops.acked", "ops.failed", "calls.ok", "runtime.links", "runtime.broken"});
}

// A notice that is missing is asked for once more before those behind it are taken; what no longer comes is
// gone. A command sent shortly before a break is sent again though its arrival seemed proven.
void missing_notice() {
  Site site;
  site.comes_up();
  const int caller = site.connect();
  site.send_op(caller, 1);
  site.runtime_hears(2);
  site.send_op(caller, 2);
  site.runtime_hears(2);
  site.runtime_says("info 77 a remark with a number of its own");
  site.runtime_says("end 2 " + kId2 + " complete 20 3\r\ntwo");
  site.runtime_comes_up("hot 900");
  site.runtime_says("end 1 " + kId1 + " complete 20 3\r\none\r\nend 2 " + kId2 + " complete 20 3\r\ntwo");
  site.caller_hears(caller);
  site.caller_hears(caller);
  site.runtime_says("info 9 far ahead\r\nend 5 0000000000000055 complete 20 2\r\nhm");
  site.runtime_comes_up("hot 1900");
  site.runtime_says("end 5 0000000000000055 complete 20 2\r\nhm");
  site.send_op(caller, 3);
  site.runtime_hears(2);
  site.pause(0.12);  // gauges have been answered since
  site.runtime_breaks();
  site.runtime_comes_up("hot 2900");
  site.runtime_hears(2);
  site.runtime_says("end 6 0000000000000003 complete 20 5\r\nthree");
  site.caller_hears(caller);
  site.counters({"runtime.links", "runtime.gaps", "runtime.resent", "ops.acked"});
}

// Spoilt replies end the call that they belong to, at once, and no other.
void spoilt_replies() {
  Site site;
  site.comes_up();
  const int caller = site.connect();
  site.send_op(caller, 1, "pull");
  site.runtime_hears(2);
  site.runtime_says("wants 1 " + kId1 + " 4\r\ncall");
  site.below_hears(2);
  const int other = site.keep_below();  // the next call comes on a connection of its own
  site.send_op(caller, 2, "pull");
  site.runtime_hears(2);
  site.runtime_says("wants 2 " + kId2 + " 4\r\ncall");
  site.below_hears(2);
  for (const char* noise : {"\x01\x02 no id", "0000000000000002 ok 3000000000\r\n"}) {
    site.below_says(noise);
    site.below_hears(2);  // the same call again
  }
  site.below_says("0000000000000099 ok 2\r\nhm\r\n" + kId2 + " ok 5\r\nreply\r\n" + kId2 + " ok 5\r\nreply");
  site.runtime_hears(2);
  site.below_is(other);
  site.below_says(kId1 + " ok 5\r\nfirst");
  site.runtime_hears(2);
  site.counters({"calls.made", "calls.ok", "calls.broken", "below.bad", "below.late"});
}

// Out of descriptors a call was never made: the run goes on without, and the next call is made.
void no_descriptors() {
  Site site;
  site.comes_up();
  const int caller = site.connect();
  for (int i = 1; i <= 3; ++i) {
    const std::string id = "000000000000000" + std::to_string(i);
    const std::string number = std::to_string(2 * i - 1);
    if (i == 2) site.below_closes();  // it stood idle
    if (i == 2) site.descriptors(0);
    if (i == 3) site.descriptors(100);
    site.send_op(caller, i);
    site.runtime_hears(2);
    site.runtime_says("wants " + number + " " + id + " 4\r\ncall");
    if (i != 2) site.below_hears(2);
    if (i != 2) site.below_says(id + " ok 5\r\nreply");
    site.runtime_hears(i != 2 ? 2 : 1);
    site.runtime_says("end " + std::to_string(2 * i) + " " + id + " complete 20 6\r\nresult");
    site.caller_hears(caller);
  }
  site.counters({"calls.made", "calls.unreachable", "calls.omitted", "calls.ok"});
}

// Patience is kept here: a call that is given up takes its connection with it, and the run goes on without.
void late_reply() {
  Site site;
  site.comes_up();
  const int caller = site.connect();
  site.send_op(caller, 1);
  site.runtime_hears(2);
  site.runtime_says("wants 1 " + kId1 + " 4\r\ncall");
  site.below_hears(2);
  site.below_closes();   // given up
  site.runtime_hears();  // left out
  site.runtime_says("end 2 " + kId1 + " complete 20 6\r\nresult");
  site.caller_hears(caller);
  site.counters({"calls.made", "calls.timed_out", "calls.omitted"});
}

// Turned away and refused prove that a call never ran, a break proves nothing; an op that is safe is tried
// again.
void calls() {
  Site site;
  site.comes_up();
  const int caller = site.connect();
  site.send_op(caller, 1, "pull");
  site.runtime_hears(2);
  site.runtime_says("wants 1 " + kId1 + " 4\r\ncall");
  site.below_hears(2);
  site.below_says(kId1 + " overload");
  site.below_hears(2);
  site.below_goes_down();
  site.below_breaks();
  site.caller_hears(caller);  // failed: nothing can be left out
  site.counters({"calls.made", "calls.refused", "calls.broken", "calls.unreachable", "below.broken"});
}

// An op that is due is answered though its run goes on; a run that ends later gives no second answer.
void due() {
  Site site;
  site.comes_up();
  const int caller = site.connect();
  site.send_op(caller, 1, "push", R"("ram":10,"limit":300)");
  site.runtime_hears(2);
  site.caller_hears(caller);
  site.runtime_hears();
  site.runtime_says("end 1 " + kId1 + " complete 300 6\r\nresult");
  site.send(caller, R"({"jsonrpc":"2.0","id":9,"method":"health","params":{}})");
  site.caller_hears(caller);
  site.counters({"ops.failed", "ops.overdue", "runs.complete"});
}

// The notice to leave: off the list, callers told, what is open answered, what comes too late nacked, an end
// in time.
void leaving() {
  Site site;
  site.comes_up();
  const int caller = site.connect();
  site.send_op(caller, 1);
  site.runtime_hears(2);
  site.signal(SIGTERM);
  site.caller_hears(caller);
  site.roster_hears("HERE n1 off");
  site.pause(0.5);
  const int late = site.connect();
  site.caller_hears(late);
  site.send_op(late, 2);
  std::printf("late %s\n",
              replaced(site.heard(late), "\"later\"", "\"LATER\"").find("-32001") != std::string::npos
                  ? "nacked"
                  : "taken");
  site.runtime_says("end 1 " + kId1 + " complete 20 6\r\nresult");
  site.caller_hears(caller);
  site.hang_up(caller);
  site.hang_up(late);
  site.ends();
}

// A runtime that says nothing any more: the link is opened anew, and what was under way goes on.
void silent_link() {
  Site site;
  site.comes_up();
  const int caller = site.connect();
  site.send_op(caller, 1, "push", R"("ram":10,"limit":9000)");
  site.runtime_hears(2);
  site.pause(0.3);
  site.answers_gauges = false;
  site.runtime_comes_up("hot 5000");  // on the new link
  site.answers_gauges = true;
  site.runtime_says("end 1 " + kId1 + " complete 20 6\r\nresult");
  site.caller_hears(caller);
  site.counters({"runtime.links", "runtime.silent", "runtime.resent"});
}

// A caller that does not read is not read from either, and holds up nobody; once it reads, it has every
// answer.
void slow_reader() {
  Site site;
  site.comes_up();
  const int slow = site.connect(false);
  const std::string body = R"({"jsonrpc":"2.0","id":5,"method":"health","params":{}})";
  const std::string frame = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  std::size_t sent = 0;
  bool stuck = false;
  for (std::string rest; !stuck && sent < 400000;) {
    if (rest.empty()) rest = frame, ++sent;
    const ssize_t wrote = ::send(slow, rest.data(), rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (wrote > 0) rest.erase(0, static_cast<std::size_t>(wrote));
    if (wrote < 0) {
      pollfd writable{slow, POLLOUT, 0};
      stuck = ::poll(&writable, 1, 500) == 0;
      if (stuck && !rest.empty() && rest.size() < frame.size()) site.keep_sending(slow, rest);
      if (stuck && rest.size() == frame.size()) --sent;
    }
  }
  std::printf("the slow caller is kept waiting: %s\n", stuck ? "yes" : "no");
  const int other = site.connect();
  site.send(other, R"({"jsonrpc":"2.0","id":1,"method":"health","params":{}})");
  site.caller_hears(other);
  site.reads(slow);
  std::size_t answers = 0;
  while (answers < sent && site.heard(slow).find("true") != std::string::npos) ++answers;
  std::printf("every answer came: %s\n", answers == sent ? "yes" : "no");
  site.counters({"bad.slow_peers", "callers.reset"});
}

// Callers that do not come back: idle connections are told to send no more, and an op that crosses that is
// served.
void idle() {
  Site site(R"(,"caller-idle":3000)");
  site.comes_up();
  const int caller = site.connect();
  int nacked = 0;
  for (int i = 1; i <= 40; ++i) {
    char text[200];
    std::snprintf(text, sizeof text,
                  R"({"jsonrpc":"2.0","id":%d,"method":"push","params":{"txn":"%016x","lb":%d,"ram":1999}})",
                  i, i, i);
    site.send(caller, text);
    nacked += site.heard(caller).find("-32001") != std::string::npos;
  }
  std::printf("nacked, of as many callers: %d\n", nacked);
  site.caller_hears(caller);
  site.send_op(caller, 100);
  site.runtime_hears(2);
  site.runtime_says("end 1 0000000000000064 complete 20 6\r\nresult");
  site.caller_hears(caller);
  site.counters({"callers.no_more", "ops.nacked", "ops.acked"});
}

// More connections than descriptors allow: silent ones go first, then the longest idle; newcomers never wait.
void flood() {
  Site site("", R"(,"limits":{"sockets":64})");
  site.comes_up();
  std::vector<int> silent, known;
  for (int i = 0; i < 12; ++i) {
    known.push_back(site.connect());
    site.send(known.back(), R"({"jsonrpc":"2.0","id":1,"method":"health","params":{}})");
    site.heard(known.back());
  }
  for (int i = 0; i < 12; ++i) silent.push_back(site.connect());
  site.pause(0.3);
  const auto newcomers = [&] {
    int answered = 0;
    for (int i = 0; i < 12; ++i) {
      known.push_back(site.connect());
      site.send(known.back(), R"({"jsonrpc":"2.0","id":1,"method":"health","params":{}})");
      answered += site.heard(known.back()).find("true") != std::string::npos;
    }
    std::printf("newcomers answered: %d\n", answered);
  };
  newcomers();
  int ended = 0;
  for (const int fd : silent) ended += site.heard(fd) == "(the end)";
  std::printf("silent ones closed: %d\n", ended);
  site.counters({"callers.evicted", "callers.most"});
  newcomers();
  std::printf("the longest idle hears: %s\n", site.heard(known[0]).c_str());
  site.counters({"callers.evicted", "callers.turned_away", "callers.most"});
}

// Who says nothing, stalls in a request, sends what is of no use or never ends is told so, or closed, within
// 3 s.
void stallers() {
  Site site;
  site.comes_up();
  const auto begin = Clock::now();
  const int silent = site.connect(), half = site.connect(), stuck = site.connect(), noise = site.connect();
  put(half, "Content-Length: 100\r\n\r\n{\"jsonrpc\"");
  put(stuck, "Content-Le");
  std::string all;
  for (int i = 0; i < 20; ++i) all += "Content-Length: 1\r\n\r\n{";
  put(noise, all);
  int errors = 0;
  std::string last;
  while ((last = site.heard(noise)).find("no JSON") != std::string::npos) ++errors;
  std::printf("errors: %d\n%s\n", errors, last.c_str());
  site.caller_hears(noise);
  for (int i = 0; i < 2; ++i) site.caller_hears(half);
  for (int i = 0; i < 2; ++i) site.caller_hears(stuck);
  site.caller_hears(silent);
  const double took = std::chrono::duration<double>(Clock::now() - begin).count();
  std::printf("within 3 s: %s\n", took < 3 ? "yes" : "no");
  site.counters({"callers.silent", "callers.half", "callers.faults", "bad.json"});
}

// One error answer where the request can be told; the connection alone is closed where the frame can't be
// trusted.
void bad_callers() {
  Site site;
  site.comes_up();
  const int caller = site.connect();
  site.send_op(caller, 1);
  site.runtime_hears(2);
  const std::string head = R"({"jsonrpc":"2.0","id":5,"method":)";
  for (const std::string& body :
       {std::string("{"), std::string("[]"), std::string(R"({"jsonrpc":"2.0","id":"x","method":"push"})"),
        head + R"("shove","params":{"txn":"0000000000000005","ram":1}})",
        head + R"("push","params":{"ram":1}})",
        head + R"("push","params":{"txn":"0000000000000005","ram":0}})",
        head + R"("push","params":{"txn":"0000000000000005","ram":1,"arg":"a"}})",
        head + R"("push","params":{"txn":"0000000000000001","ram":1}})",
        replaced(head, "5", "1") + R"("push","params":{"txn":"0000000000000005","ram":1}})"}) {
    std::printf("caller asks: %s\n", body.c_str());
    site.send(caller, body);
    site.caller_hears(caller);
  }
  const int other = site.connect();
  site.send_op(other, 2);
  site.runtime_hears(2);
  put(other, "Content-Length: 99999\r\n\r\n");
  site.caller_hears(other);
  site.runtime_says("end 1 " + kId2 + " complete 20 3\r\ntwo");
  site.caller_hears(other);
  site.caller_hears(other);
  // The first connection is as before; its caller closes its side and still hears the answer.
  ::shutdown(caller, SHUT_WR);
  site.pause(0.1);
  site.runtime_says("end 2 " + kId1 + " complete 20 6\r\nresult");
  site.caller_hears(caller);
  site.caller_hears(caller);
  site.counters({"bad.frames", "bad.json", "bad.requests", "bad.params", "bad.types", "bad.ids", "ops.read",
                 "ops.acked"});
}

// A poll that returns at once for ever shows in the processor time of a backend that does nothing.
void rest() {
  Site site;
  site.comes_up();
  const int caller = site.connect();
  site.pause(0.2);
  const double before = site.processor_time();
  site.pause(1);
  std::printf("processor time in a second of rest: %s\n",
              site.processor_time() - before < 0.3 ? "little" : "much");
  site.hang_up(caller);
}

}  // namespace

int main(int argc, char** argv) {
  const std::pair<const char*, void (*)()> kScenarios[] = {{"served", served},
                                                           {"late_runtime", late_runtime},
                                                           {"broken_link", broken_link},
                                                           {"bad_runtime", bad_runtime},
                                                           {"late_reply", late_reply},
                                                           {"reload", reload},
                                                           {"no_descriptors", no_descriptors},
                                                           {"missing_notice", missing_notice},
                                                           {"spoilt_replies", spoilt_replies},
                                                           {"calls", calls},
                                                           {"due", due},
                                                           {"leaving", leaving},
                                                           {"flood", flood},
                                                           {"stallers", stallers},
                                                           {"idle", idle},
                                                           {"silent_link", silent_link},
                                                           {"slow_reader", slow_reader},
                                                           {"bad_callers", bad_callers},
                                                           {"rest", rest}};
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::signal(SIGPIPE, SIG_IGN);
  if (argc == 3) binary = argv[1];
  for (const auto& [name, play] : kScenarios) {
    if (argc == 3 && std::strcmp(argv[2], name) == 0) return play(), 0;
  }
  std::fprintf(stderr, "usage: program BINARY SCENARIO\n");
  return 2;
}
