// A scripted site: one server with its four peers, which say and hear just what a scenario tells them to, and
// print it for the scenario's trace. Everything that comes is kept in a queue a peer until it is asked for.
#pragma once

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
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "process.h"

namespace damsonspoke::standins::scripted {

using Clock = std::chrono::steady_clock;
constexpr std::chrono::milliseconds kReadingTime{50};  // of the program, on a crowded machine too
inline constexpr double kPatience = 10;                // s; for whatever is expected, far above what it takes

inline std::string binary;      // the program under test
inline bool debug_log = false;  // its log is at level debug

// A socket on a port of loopback that the system picks; listening, where it is a stream. Ends the test where
// there is none.
inline int bound_socket(int kind, std::uint16_t& port) {
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

// Sends all of this at once, or prints that it can't.
inline void put(int fd, const std::string& text) {
  if (::send(fd, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size())) {
    std::printf("(cannot send)\n");
  }
}

// The text with each occurrence of `from` replaced.
inline std::string replaced(std::string text, const std::string& from, const std::string& to) {
  for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size())
    text.replace(at, from.size(), to);
  return text;
}

// One server with its peers, from its construction on. The gauges are answered without being asked for.
class Site {
 public:
  // Routes of its own, and an operators' file, in which STORE stands for the path of a store.
  struct Remembering {
    std::string types;
    std::string operators;
  };
  explicit Site(const std::string& more_family = "", const std::string& more_top = "",
                Remembering remembering = {}, const std::string& more_settings = "")
      : more_family_(more_family),
        more_top_(more_top),
        more_settings_(more_settings),
        remembering_(std::move(remembering)) {
    char path[] = "/tmp/damsonspoke-XXXXXX";
    ::close(::mkstemp(path));
    config_path_ = path;
    write_config();
    if (!remembering_.operators.empty()) write_operators(remembering_.operators);
    start();
  }
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;
  std::string store_path() const { return config_path_ + ".store"; }
  std::string folder() const { return config_path_ + ".folder"; }
  std::string operators_path() const { return config_path_ + ".operators"; }
  // Replaces the operators' file; STORE and FOLDER in the text stand for the site's own.
  void write_operators(const std::string& text) {
    if (text.find("FOLDER") != std::string::npos) std::filesystem::create_directory(folder());
    std::ofstream(operators_path()) << replaced(replaced(text, "STORE", store_path()), "FOLDER", folder());
  }
  // Starts the program and waits until it listens.
  void start() {
    int log[2];
    if (::pipe2(log, O_CLOEXEC) != 0) std::abort();
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(log[1], STDERR_FILENO);
      if (!remembering_.operators.empty()) ::setenv("DAMSONSPOKE_OPERATOR", operators_path().c_str(), 1);
      ::execl(binary.c_str(), binary.c_str(), "serve", "--config", config_path_.c_str(), "--log-level",
              debug_log ? "debug" : "info", nullptr);
      std::_Exit(127);
    }
    ::close(log[1]);
    log_ = log[0];
    const std::string line = expect_log("listens on");
    port_ = static_cast<std::uint16_t>(std::atoi(line.substr(line.rfind(':') + 1).c_str()));
  }
  // The same as restart(), and prints it.
  void kill_and_start() {
    std::printf("-- %s\n", pid_ > 0 ? "killed, and started again" : "started again");
    restart();
  }
  // Killed outright, and started again; everybody's connections are gone.
  void restart() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    for (int* fd : {&log_, &runtime_, &below_}) {
      if (*fd >= 0) ::close(*fd);
      *fd = -1;
    }
    for (const auto& [fd, caller] : callers_) ::close(fd);
    callers_.clear();
    buffers_.clear();
    runtime_lines_.clear();
    below_lines_.clear();
    log_lines_.clear();
    reports_.clear();
    start();
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
        << more_top_ << R"(,"settings":{"servers":1,"resolution":4,)" << more_settings_
        << R"("rules":{"fall-multiple":8,"stop-sending-within":300},)"
        << R"("allowed":{"retry-after":true,"max-retry-after":1000},)"
        << R"("request-classes":)"
        << (remembering_.types.empty()
                ? R"([{"name":"push","target":400,"give-up":3000},{"name":"pull","target":400,"give-up":800}])"
                : remembering_.types)
        << ','
        << R"("family-info":{"cores":2,"callers":1,"memory-kb":5000,"run-factor":4,"halt":"pause","below":"shared",)"
        << R"("dep-share":4,"calls-over":5000,"linger":200,"calls-by-class":[true,true],"worth-without":[0.5,0],)"
        << R"("list-follows":true,"gauges":["cpu_busy","runnable"])" << more_family_ << "}}}";
  }
  // Routes for the next configuration file.
  void other_types(const std::string& types) { remembering_.types = types; }
  // A new configuration file; a good one moves all peers, a bad one holds only this text.
  void reload(const std::string& bad = "") {
    std::printf("-- a new configuration, %s\n", bad.empty() ? "all peers elsewhere" : bad.c_str());
    bad.empty() ? write_config() : static_cast<void>(std::ofstream(config_path_) << bad);
    signal(SIGHUP);
    const std::string line = expect_log("new configuration");
    std::printf("log: %s\n", line.substr(line.find("new conf"), bad.empty() ? 17 : 60).c_str());
  }
  // Kills the program where it has not ended, and deletes its files.
  ~Site() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder(), ignored);
    for (const char* more : {"", ".operators", ".store", ".store-wal", ".store-shm", ".store.lock"})
      std::remove((config_path_ + more).c_str());
  }

  // ---- The runtime.
  // Waits for the `sync` of a new link and answers it.
  void runtime_comes_up(const std::string& state = "hot 0") {
    if (!pump([&] { return !runtime_lines_.empty(); })) return;
    std::printf("runtime hears: %s\n", taken(runtime_lines_).c_str());
    runtime_is_ready(state);
  }
  // Without the words, which may hang on the clock.
  void runtime_is_ready(const std::string& state) { put(runtime_, "ready " + state + "\r\n"); }
  void comes_up() {
    runtime_comes_up();
    roster_hears("HERE n1 on");
  }
  // Prints the next lines, each of which it waits for.
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
  bool answers_gauges = true;  // those that come from now on
  int answered_gauges = 0;
  // Said after the next answer to gauges, once the program has had time to read that, and before anything is
  // read that it sends then: its commands and this cross.
  void runtime_says_after_gauges(const std::string& text) {
    std::printf("runtime says right after its gauges: %s\n", replaced(text, "\r\n", " / ").c_str());
    after_gauges_ = text + "\r\n";
  }
  // The same on the next link, whatever the present one is still asked.
  void runtime_says_after_gauges_of_next_link(const std::string& text) {
    runtime_says_after_gauges(text);
    waits_for_link_ = true;
  }
  // All that comes from the program in this time.
  std::vector<std::string> runtime_lines_within(double seconds) {
    pause(seconds);
    std::vector<std::string> lines(runtime_lines_.begin(), runtime_lines_.end());
    runtime_lines_.clear();
    return lines;
  }

  // ---- The dependency.
  void below_hears(int lines = 1) {
    for (int i = 0; i < lines; ++i) {
      std::string line = pump([&] { return !below_lines_.empty(); }) ? taken(below_lines_) : "(nothing)";
      // The timeout hangs on the clock.
      if (line.rfind("invoke", 0) == 0) line.replace(24, line.find(' ', 24) - 24, "MS");
      std::printf("below hears: %s\n", line.c_str());
    }
  }
  void below_says(const std::string& text) {
    std::printf("below says: %s\n", replaced(text, "\r\n", " / ").c_str());
    put(below_, text + "\r\n");
  }
  // Puts the present connection aside; below_is() takes it up again.
  int keep_below() { return std::exchange(below_, -1); }
  void below_is(int fd) { below_ = fd; }
  void below_breaks() {
    std::printf("-- the connection below breaks\n");
    ::close(below_);
    below_ = -1;
  }
  // Prints whether the program closes the connection.
  void below_closes() {
    std::printf("the connection below is closed: %s\n", pump([&] { return below_ < 0; }) ? "yes" : "no");
  }
  void below_goes_down() {
    std::printf("-- the layer below refuses connections\n");
    ::close(below_listener_);
    below_listener_ = -1;
  }

  // ---- The registry.
  // Waits for this report, past others.
  void roster_hears(const std::string& wanted) {
    const bool came = pump([&] {
      while (!reports_.empty()) {
        if (taken(reports_) == wanted) return true;
      }
      return false;
    });
    std::printf("roster hears: %s\n", came ? wanted.c_str() : "(nothing)");
  }

  void roster_goes_away() {
    std::printf("-- nobody listens to reports any more\n");
    ::close(roster_);
    roster_ = -1;
  }

  // ---- Callers.
  // A new connection; -1 where it is refused. One that does not read has a small buffer too.
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
  // Sends this as fast as the program takes it, while the scenario waits for something.
  void keep_sending(int fd, const std::string& rest) { unsent_[fd] = rest; }
  // Closes the connection, or resets it.
  void hang_up(int fd, bool reset = false) {
    const linger now{1, 0};
    if (reset) ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::close(fd);
    callers_.erase(fd);
  }
  void send(int fd, const std::string& body) {
    put(fd, "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  // Sends a request whose `txn` is its number, and prints that; `more` are further members of its params.
  void send_request(int fd, int id, const char* type = "push", const char* more = R"("ram":10,"limit":3000)",
                    const char* body = "Ym9keQ==") {
    char text[400];
    const double now =
        std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::snprintf(
        text, sizeof text,
        R"({"jsonrpc":"2.0","id":%d,"method":"%s","params":{"txn":"%016x","door":%.0f,"lb":1,%s,"arg":"%s"}})",
        id, type, id, now * 1000, more, body);
    std::printf("caller asks: %s, id %d, %s\n", type, id, more);
    send(fd, text);
  }
  void caller_hears(int fd) { std::printf("caller hears: %s\n", heard(fd).c_str()); }
  // The next message on a connection; "(the end)" or "(nothing)" where none comes.
  std::string heard(int fd) {
    Caller& caller = callers_[fd];
    pump([&] { return !caller.messages.empty() || caller.over; });
    if (!caller.messages.empty()) return taken(caller.messages);
    return caller.over ? "(the end)" : "(nothing)";
  }

  // ---- The process.
  // Waits for the next line of the log that contains this text; empty where none comes.
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
  std::uint16_t port() const { return port_; }
  pid_t pid() const { return pid_; }
  // Lets the program open so many descriptors more than it has open now.
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
  // The counters by name; one that is zero may be absent.
  std::map<std::string, std::string> counter_values() {
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
    return seen;
  }
  // Prints the counters that are not zero among those named.
  void counters(const std::vector<std::string>& names) {
    std::map<std::string, std::string> seen = counter_values();
    for (const std::string& name : names) std::printf("counter %s: %s\n", name.c_str(), seen[name].c_str());
    std::printf("counter invariants.broken: %s\n", seen["invariants.broken"].c_str());
  }
  // Waits for the end of the program and prints its status.
  void ends() {
    int status = -1;
    const bool over = pump([&] { return ::waitpid(pid_, &status, WNOHANG) == pid_; });
    if (over) pid_ = -1;
    std::printf("the program ends: %s\n", !over ? "no"
                                          : WIFEXITED(status)
                                              ? ("status " + std::to_string(WEXITSTATUS(status))).c_str()
                                              : "killed");
  }
  // That the program has used so far, in s.
  double processor_time() const { return standins::processor_time(pid_); }
  // Takes in what comes for so long.
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
  bool pump(const std::function<bool()>& is_enough) {
    const auto until = Clock::now() + std::chrono::duration<double>(kPatience);
    while (!is_enough()) {
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
  void say_after_gauges() {
    if (waits_for_link_ || after_gauges_.empty()) return;
    std::this_thread::sleep_for(kReadingTime);
    put(runtime_, std::exchange(after_gauges_, {}));
  }
  // Takes in what a descriptor has.
  void take(int fd) {
    if (fd == runtime_listener_) {
      runtime_ = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      waits_for_link_ = false;
      return;
    }
    if (fd == below_listener_) {
      below_ = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      return;
    }
    char bytes[65536];
    const ssize_t got = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
    const ssize_t read = got < 0 && errno == ENOTSOCK ? ::read(fd, bytes, sizeof bytes) : got;
    const bool is_over = read <= 0;
    const std::string_view text(bytes, is_over ? 0 : static_cast<std::size_t>(read));
    if (fd == roster_) {
      reports_.emplace_back(text);
    } else if (fd == log_) {
      if (is_over) log_ = -1;
      lines(buffers_["log"], text, "\n", log_lines_);
    } else if (fd == runtime_) {
      take_of_runtime(text, is_over);
    } else if (fd == below_) {
      if (is_over) below_ = -1;
      lines(buffers_["below"], text, "\r\n", below_lines_);
    } else {
      take_of_caller(callers_[fd], text, is_over);
    }
  }
  void take_of_runtime(std::string_view text, bool is_over) {
    if (is_over) runtime_ = -1;
    std::deque<std::string> all;
    lines(buffers_["runtime"], text, "\r\n", all);
    for (std::string& line : all) {
      if (line.rfind("gauges ", 0) != 0) {
        runtime_lines_.push_back(line);
      } else if (answers_gauges && runtime_ >= 0) {
        put(runtime_, "load " + line.substr(7) + " 0.25 1\r\n");
        say_after_gauges();
        ++answered_gauges;
      }
    }
  }
  static void take_of_caller(Caller& caller, std::string_view text, bool is_over) {
    if (is_over) caller.over = true;
    caller.buffer += text;
    for (std::size_t head; (head = caller.buffer.find("\r\n\r\n")) != std::string::npos;) {
      const auto length = static_cast<std::size_t>(std::atoi(caller.buffer.c_str() + 16));
      if (caller.buffer.size() < head + 4 + length) break;
      caller.messages.push_back(caller.buffer.substr(head + 4, length));
      caller.buffer.erase(0, head + 4 + length);
    }
  }
  // Moves complete lines out of the buffer.
  static void lines(std::string& buffer, std::string_view text, const char* end,
                    std::deque<std::string>& into) {
    buffer += text;
    for (std::size_t at; (at = buffer.find(end)) != std::string::npos;) {
      into.push_back(buffer.substr(0, at));
      buffer.erase(0, at + std::strlen(end));
    }
  }

  std::uint16_t runtime_port_ = 0, below_port_ = 0, roster_port_ = 0, port_ = 0;
  const std::string more_family_, more_top_, more_settings_;
  Remembering remembering_;
  int runtime_listener_ = -1, below_listener_ = -1, roster_ = -1, log_ = -1, runtime_ = -1, below_ = -1;
  std::string config_path_;
  std::string after_gauges_;
  bool waits_for_link_ = false;  // what follows the gauges is said on the next link only
  pid_t pid_ = -1;
  std::map<std::string, std::string> buffers_;
  std::deque<std::string> runtime_lines_, below_lines_, reports_, log_lines_;
  std::map<int, Caller> callers_;
  std::map<int, std::string> unsent_;
};

}  // namespace damsonspoke::standins::scripted
