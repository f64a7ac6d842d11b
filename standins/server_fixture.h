// A test fixture: one server process, and its four peers (callers, runtime, dependency and registry) on
// sockets of the test. The peers send only what a scenario tells them to. Their input is queued, one queue
// for each peer, until the scenario reads it; most methods print what was sent or read, for the scenario's
// trace.
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
// In which the program reads its input, also on a machine under load.
constexpr std::chrono::milliseconds kReadDelay{50};
// For every event that a scenario waits for; far above the time that any of them takes.
inline constexpr double kTimeoutSeconds = 10;

inline std::string binary;                // path of the program under test
inline bool logs_at_debug_level = false;  // otherwise the program logs at level info

// A socket bound to a loopback port that the system picks and that is stored in `port`; a stream socket also
// listens. Aborts the test if that fails.
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

// Sends all of the text at once, or prints that this failed.
inline void send_all(int fd, const std::string& text) {
  if (::send(fd, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size())) {
    std::printf("(cannot send)\n");
  }
}

// The text with each occurrence of `from` replaced by `to`.
inline std::string replaced(std::string text, const std::string& from, const std::string& to) {
  for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size())
    text.replace(at, from.size(), to);
  return text;
}

// Starts the server process on construction. The runtime answers requests for gauges by itself.
class ServerFixture {
 public:
  // What a scenario configures; default routes and no operators' file where a text is empty. In the
  // operators' file, STORE stands for the path of a results store and FOLDER for a folder of the fixture.
  struct Configuration {
    std::string routes;     // the JSON array "request-classes"
    std::string operators;  // text of the operators' file
  };
  // The other texts are further JSON members of "family-info", of the configuration file and of "settings":
  // the first two with a leading comma, the last one with a trailing comma.
  explicit ServerFixture(const std::string& more_family_info = "", const std::string& more_top_level = "",
                         Configuration configuration = {}, const std::string& more_settings = "")
      : more_family_info_(more_family_info),
        more_top_level_(more_top_level),
        more_settings_(more_settings),
        configuration_(std::move(configuration)) {
    char path[] = "/tmp/damsonspoke-XXXXXX";
    ::close(::mkstemp(path));
    config_path_ = path;
    write_config();
    if (!configuration_.operators.empty()) write_operators(configuration_.operators);
    start();
  }
  ServerFixture(const ServerFixture&) = delete;
  ServerFixture& operator=(const ServerFixture&) = delete;
  std::string store_path() const { return config_path_ + ".store"; }
  std::string folder() const { return config_path_ + ".folder"; }
  std::string operators_path() const { return config_path_ + ".operators"; }
  // Replaces the operators' file; STORE and FOLDER in the text are replaced by the fixture's paths.
  void write_operators(const std::string& text) {
    if (text.find("FOLDER") != std::string::npos) std::filesystem::create_directory(folder());
    std::ofstream(operators_path()) << replaced(replaced(text, "STORE", store_path()), "FOLDER", folder());
  }
  // Starts the program and waits until it listens for callers.
  void start() {
    int log[2];
    if (::pipe2(log, O_CLOEXEC) != 0) std::abort();
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(log[1], STDERR_FILENO);
      if (!configuration_.operators.empty()) ::setenv("DAMSONSPOKE_OPERATOR", operators_path().c_str(), 1);
      ::execl(binary.c_str(), binary.c_str(), "serve", "--config", config_path_.c_str(), "--log-level",
              logs_at_debug_level ? "debug" : "info", nullptr);
      std::_Exit(127);
    }
    ::close(log[1]);
    log_ = log[0];
    const std::string line = expect_log("listens on");
    port_ = static_cast<std::uint16_t>(std::atoi(line.substr(line.rfind(':') + 1).c_str()));
  }
  // Like restart(), and prints that.
  void restart_and_print() {
    std::printf("-- %s\n", pid_ > 0 ? "killed, and started again" : "started again");
    restart();
  }
  // Kills the program if it runs, closes all connections to it, and starts it again.
  void restart() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    for (int* fd : {&log_, &runtime_, &dependency_}) {
      if (*fd >= 0) ::close(*fd);
      *fd = -1;
    }
    for (const auto& [fd, caller] : callers_) ::close(fd);
    callers_.clear();
    buffers_.clear();
    runtime_lines_.clear();
    dependency_lines_.clear();
    log_lines_.clear();
    reports_.clear();
    start();
  }
  // Listens for the peers at new addresses and writes a configuration file with these. Connections that were
  // accepted at the old addresses stay open.
  void write_config() {
    for (const int fd : {runtime_listener_, dependency_listener_, registry_}) {
      if (fd >= 0) ::close(fd);
    }
    runtime_listener_ = bound_socket(SOCK_STREAM, runtime_port_);
    dependency_listener_ = bound_socket(SOCK_STREAM, dependency_port_);
    registry_ = bound_socket(SOCK_DGRAM, registry_port_);
    reports_.clear();
    const auto at = [](std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
    std::ofstream(config_path_)
        << R"({"name":"n1","listen":"127.0.0.1:0","runtime":)" << at(runtime_port_) << R"(,"roster":)"
        << at(registry_port_) << R"(,"backend":)" << at(dependency_port_) << R"(,"seed":"7","stop_ms":2000)"
        << more_top_level_ << R"(,"settings":{"servers":1,"resolution":4,)" << more_settings_
        << R"("rules":{"fall-multiple":8,"stop-sending-within":300},)"
        << R"("allowed":{"retry-after":true,"max-retry-after":1000},)"
        << R"("request-classes":)"
        << (configuration_.routes.empty()
                ? R"([{"name":"push","target":400,"give-up":3000},{"name":"pull","target":400,"give-up":800}])"
                : configuration_.routes)
        << ','
        << R"("family-info":{"cores":2,"callers":1,"memory-kb":5000,"run-factor":4,"halt":"pause","below":"shared",)"
        << R"("dep-share":4,"calls-over":5000,"linger":200,"calls-by-class":[true,true],"worth-without":[0.5,0],)"
        << R"("list-follows":true,"gauges":["cpu_busy","runnable"])" << more_family_info_ << "}}}";
  }
  // Sets the routes of the next configuration file.
  void set_routes(const std::string& routes) { configuration_.routes = routes; }
  // Replaces the configuration file and has the program read it: by one with new addresses for all peers, or
  // by this invalid text.
  void reload(const std::string& invalid = "") {
    std::printf("-- a new configuration, %s\n",
                invalid.empty() ? "all peers at new addresses" : invalid.c_str());
    invalid.empty() ? write_config() : static_cast<void>(std::ofstream(config_path_) << invalid);
    signal(SIGHUP);
    const std::string line = expect_log("new configuration");
    std::printf("log: %s\n", line.substr(line.find("new conf"), invalid.empty() ? 17 : 60).c_str());
  }
  // Kills the program if it runs, and deletes its files.
  ~ServerFixture() {
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
  // Waits for the `sync` of a new link, prints it and answers with `ready`; does nothing if no `sync`
  // arrives.
  void complete_runtime_handshake(const std::string& state = "hot 0") {
    if (!receive_until([&] { return !runtime_lines_.empty(); })) return;
    std::printf("runtime received: %s\n", pop_front(runtime_lines_).c_str());
    send_runtime_ready(state);
  }
  // Sends `ready` without printing it, because the state may contain a time.
  void send_runtime_ready(const std::string& state) { send_all(runtime_, "ready " + state + "\r\n"); }
  // The runtime's handshake, and the report that the server is available.
  void complete_startup() {
    complete_runtime_handshake();
    await_registry_report("HERE n1 on");
  }
  // Waits for the next lines and prints them.
  void print_runtime_lines(int lines = 1) {
    for (int i = 0; i < lines; ++i) {
      const bool is_there = receive_until([&] { return !runtime_lines_.empty(); });
      std::printf("runtime received: %s\n", is_there ? pop_front(runtime_lines_).c_str() : "(nothing)");
    }
  }
  void send_from_runtime(const std::string& text) {
    std::printf("runtime sent: %s\n", replaced(text, "\r\n", " / ").c_str());
    send_all(runtime_, text + "\r\n");
  }
  void break_runtime_link() {
    std::printf("-- the runtime's link breaks\n");
    ::shutdown(runtime_, SHUT_RDWR);
    ::close(runtime_);
    runtime_ = -1;
    buffers_["runtime"].clear();
    runtime_lines_.clear();
  }
  bool answers_gauges = true;  // applies to requests that are read from now on
  int answered_gauges = 0;
  // Sends the text after the next answer to a request for gauges: once the program has had time to read that
  // answer, and before the fixture reads the commands that the program sends on receipt of it. The text and
  // these commands cross.
  void send_from_runtime_after_gauges(const std::string& text) {
    std::printf("runtime sends right after its gauges: %s\n", replaced(text, "\r\n", " / ").c_str());
    after_gauges_ = text + "\r\n";
  }
  // The same after the first such answer on the next link; answers on the present link do not count.
  void send_from_runtime_after_gauges_of_next_link(const std::string& text) {
    send_from_runtime_after_gauges(text);
    after_gauges_is_for_next_link_ = true;
  }
  // All lines that the runtime receives within this time, and those that are queued.
  std::vector<std::string> runtime_lines_within(double seconds) {
    pause(seconds);
    std::vector<std::string> lines(runtime_lines_.begin(), runtime_lines_.end());
    runtime_lines_.clear();
    return lines;
  }

  // ---- The dependency.
  // Waits for the next lines and prints them.
  void print_dependency_lines(int lines = 1) {
    for (int i = 0; i < lines; ++i) {
      std::string line = receive_until([&] { return !dependency_lines_.empty(); })
                             ? pop_front(dependency_lines_)
                             : "(nothing)";
      // The timeout differs between runs.
      if (line.rfind("invoke", 0) == 0) line.replace(24, line.find(' ', 24) - 24, "MS");
      std::printf("dependency received: %s\n", line.c_str());
    }
  }
  void send_from_dependency(const std::string& text) {
    std::printf("dependency sent: %s\n", replaced(text, "\r\n", " / ").c_str());
    send_all(dependency_, text + "\r\n");
  }
  // Returns the present connection, which stays open and is not read from until it is passed to
  // use_dependency_connection().
  int set_dependency_connection_aside() { return std::exchange(dependency_, -1); }
  void use_dependency_connection(int fd) { dependency_ = fd; }
  void close_dependency_connection() {
    std::printf("-- the dependency connection breaks\n");
    ::close(dependency_);
    dependency_ = -1;
  }
  // Waits until the program closes the connection, and prints whether it does.
  void print_whether_dependency_connection_closes() {
    std::printf("the dependency connection is closed: %s\n",
                receive_until([&] { return dependency_ < 0; }) ? "yes" : "no");
  }
  void stop_dependency_listener() {
    std::printf("-- the dependency refuses connections\n");
    ::close(dependency_listener_);
    dependency_listener_ = -1;
  }

  // ---- The registry.
  // Waits for this report, ignoring others, and prints it.
  void await_registry_report(const std::string& wanted) {
    const bool is_there = receive_until([&] {
      while (!reports_.empty()) {
        if (pop_front(reports_) == wanted) return true;
      }
      return false;
    });
    std::printf("registry received: %s\n", is_there ? wanted.c_str() : "(nothing)");
  }

  void close_registry() {
    std::printf("-- the registry is closed\n");
    ::close(registry_);
    registry_ = -1;
  }

  // ---- Callers.
  // Opens a connection; -1 if it is refused. If it is not read, it also has a small receive buffer.
  int connect(bool is_read = true) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int small_buffer_bytes = 4096;
    if (!is_read) ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small_buffer_bytes, sizeof small_buffer_bytes);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port_);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
      ::close(fd);
      return -1;
    }
    if (is_read) callers_[fd];
    return fd;
  }
  void start_reading(int fd) { callers_[fd]; }
  // Sends this as fast as the program reads it, whenever the fixture receives.
  void send_in_background(int fd, const std::string& rest) { unsent_[fd] = rest; }
  // Closes the connection, or resets it.
  void disconnect(int fd, bool with_reset = false) {
    const linger now{1, 0};
    if (with_reset) ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::close(fd);
    callers_.erase(fd);
  }
  static std::string framed(const std::string& body) {
    return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  // Sends the body in a frame.
  void send(int fd, const std::string& body) { send_all(fd, framed(body)); }
  // A request whose `txn` is its id and whose `door` is now; `more` are further members of its params.
  static std::string request_message(int id, const char* route, const char* more,
                                     const char* body = "Ym9keQ==") {
    char text[400];
    const double now =
        std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::snprintf(
        text, sizeof text,
        R"({"jsonrpc":"2.0","id":%d,"method":"%s","params":{"txn":"%016x","door":%.0f,"lb":1,%s,"arg":"%s"}})",
        id, route, id, now * 1000, more, body);
    return framed(text);
  }
  // Sends such a request and prints that.
  void send_request(int fd, int id, const char* route = "push", const char* more = R"("ram":10,"limit":3000)",
                    const char* body = "Ym9keQ==") {
    std::printf("caller sent: %s, id %d, %s\n", route, id, more);
    send_all(fd, request_message(id, route, more, body));
  }
  void print_caller_message(int fd) { std::printf("caller received: %s\n", next_message(fd).c_str()); }
  // Waits for the next message on a connection. "(connection closed)" if the connection ends first,
  // "(nothing)" if neither happens in time.
  std::string next_message(int fd) {
    Caller& caller = callers_[fd];
    receive_until([&] { return !caller.messages.empty() || caller.is_closed; });
    if (!caller.messages.empty()) return pop_front(caller.messages);
    return caller.is_closed ? "(connection closed)" : "(nothing)";
  }

  // ---- The process.
  // Waits for the next line of the log that contains this text, and returns it; empty if none arrives in
  // time.
  std::string expect_log(const std::string& part) {
    std::string found;
    receive_until([&] {
      while (!log_lines_.empty()) {
        const std::string line = pop_front(log_lines_);
        if (line.find(part) != std::string::npos) return found = line, true;
      }
      return false;
    });
    return found;
  }
  void signal(int number) { ::kill(pid_, number); }
  std::uint16_t port() const { return port_; }
  pid_t pid() const { return pid_; }
  // Lets the program open this many descriptors more than it has open now.
  void limit_descriptors(int more) {
    int open = 0;
    for (int fd = 0; fd < 256; ++fd) {
      const std::string path = "/proc/" + std::to_string(pid_) + "/fd/" + std::to_string(fd);
      if (::access(path.c_str(), F_OK) != 0) break;
      open = fd + 1;
    }
    const rlimit limit{static_cast<rlim_t>(open + more), 1024};
    ::prlimit(pid_, RLIMIT_NOFILE, &limit, nullptr);
  }
  // Has the program log its counters. Returns them by name; counters that are zero may be absent.
  std::map<std::string, std::string> counter_values() {
    pause(0.05);  // the program reads its input before the signal
    signal(SIGUSR1);
    expect_log("counters:");
    std::map<std::string, std::string> values;
    receive_until([&] {
      while (!log_lines_.empty()) {
        const std::string line = pop_front(log_lines_);
        const std::size_t name = line.find_first_not_of(' '), end = line.find(' ', name);
        if (name == 0 || end == std::string::npos) continue;
        values[line.substr(name, end - name)] = line.substr(line.find_first_not_of(' ', end));
      }
      return values.contains("invariants.broken");
    });
    return values;
  }
  // Prints the named counters, and the number of broken invariants.
  void print_counters(const std::vector<std::string>& names) {
    std::map<std::string, std::string> values = counter_values();
    for (const std::string& name : names) std::printf("counter %s: %s\n", name.c_str(), values[name].c_str());
    std::printf("counter invariants.broken: %s\n", values["invariants.broken"].c_str());
  }
  // Waits until the program ends and prints its exit status.
  void print_exit_status() {
    int status = -1;
    const bool has_ended = receive_until([&] { return ::waitpid(pid_, &status, WNOHANG) == pid_; });
    if (has_ended) pid_ = -1;
    std::printf("the program ends: %s\n", !has_ended ? "no"
                                          : WIFEXITED(status)
                                              ? ("status " + std::to_string(WEXITSTATUS(status))).c_str()
                                              : "killed");
  }
  // Processor time that the program has used so far.
  double processor_seconds() const { return standins::processor_time(pid_); }
  // Receives, and queues, all input for this time.
  void pause(double seconds) {
    const auto until = Clock::now() + std::chrono::duration<double>(seconds);
    receive_until([&] { return Clock::now() >= until; });
  }

 private:
  struct Caller {
    std::string buffer;
    std::deque<std::string> messages;
    bool is_closed = false;
  };

  static std::string pop_front(std::deque<std::string>& queue) {
    std::string first = queue.front();
    queue.pop_front();
    return first;
  }

  // Receives input until the condition holds; false if it does not within kTimeoutSeconds.
  bool receive_until(const std::function<bool()>& is_enough) {
    const auto until = Clock::now() + std::chrono::duration<double>(kTimeoutSeconds);
    while (!is_enough()) {
      if (Clock::now() >= until) return false;
      std::vector<pollfd> fds;
      for (const int fd : {runtime_listener_, dependency_listener_, registry_, log_, runtime_, dependency_}) {
        if (fd >= 0) fds.push_back({fd, POLLIN, 0});
      }
      for (const auto& [fd, caller] : callers_) {
        if (!caller.is_closed) fds.push_back({fd, POLLIN, 0});
      }
      for (auto& [fd, rest] : unsent_) {
        const ssize_t wrote = ::send(fd, rest.data(), rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (wrote > 0) rest.erase(0, static_cast<std::size_t>(wrote));
      }
      ::poll(fds.data(), fds.size(), 10);
      for (const pollfd& ready : fds) {
        if (ready.revents != 0) receive(ready.fd);
      }
    }
    return true;
  }
  void send_after_gauges() {
    if (after_gauges_is_for_next_link_ || after_gauges_.empty()) return;
    std::this_thread::sleep_for(kReadDelay);
    send_all(runtime_, std::exchange(after_gauges_, {}));
  }
  // Accepts a connection, or reads what has arrived on the descriptor.
  void receive(int fd) {
    if (fd == runtime_listener_) {
      runtime_ = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      after_gauges_is_for_next_link_ = false;
      return;
    }
    if (fd == dependency_listener_) {
      dependency_ = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      return;
    }
    char bytes[65536];
    const ssize_t got = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
    const ssize_t read = got < 0 && errno == ENOTSOCK ? ::read(fd, bytes, sizeof bytes) : got;
    const bool has_ended = read <= 0;
    const std::string_view text(bytes, has_ended ? 0 : static_cast<std::size_t>(read));
    if (fd == registry_) {
      reports_.emplace_back(text);
    } else if (fd == log_) {
      if (has_ended) log_ = -1;
      split_lines(buffers_["log"], text, "\n", log_lines_);
    } else if (fd == runtime_) {
      handle_runtime_input(text, has_ended);
    } else if (fd == dependency_) {
      if (has_ended) dependency_ = -1;
      split_lines(buffers_["dependency"], text, "\r\n", dependency_lines_);
    } else {
      handle_caller_input(callers_[fd], text, has_ended);
    }
  }
  void handle_runtime_input(std::string_view text, bool has_ended) {
    if (has_ended) runtime_ = -1;
    std::deque<std::string> lines;
    split_lines(buffers_["runtime"], text, "\r\n", lines);
    for (std::string& line : lines) {
      if (line.rfind("gauges ", 0) != 0) {
        runtime_lines_.push_back(line);
      } else if (answers_gauges && runtime_ >= 0) {
        send_all(runtime_, "load " + line.substr(7) + " 0.25 1\r\n");
        send_after_gauges();
        ++answered_gauges;
      }
    }
  }
  static void handle_caller_input(Caller& caller, std::string_view text, bool has_ended) {
    if (has_ended) caller.is_closed = true;
    caller.buffer += text;
    for (std::size_t head; (head = caller.buffer.find("\r\n\r\n")) != std::string::npos;) {
      const auto length = static_cast<std::size_t>(std::atoi(caller.buffer.c_str() + 16));
      if (caller.buffer.size() < head + 4 + length) break;
      caller.messages.push_back(caller.buffer.substr(head + 4, length));
      caller.buffer.erase(0, head + 4 + length);
    }
  }
  // Appends the text to the buffer and moves complete lines from there to `lines`.
  static void split_lines(std::string& buffer, std::string_view text, const char* end,
                          std::deque<std::string>& lines) {
    buffer += text;
    for (std::size_t at; (at = buffer.find(end)) != std::string::npos;) {
      lines.push_back(buffer.substr(0, at));
      buffer.erase(0, at + std::strlen(end));
    }
  }

  std::uint16_t runtime_port_ = 0, dependency_port_ = 0, registry_port_ = 0, port_ = 0;
  const std::string more_family_info_, more_top_level_, more_settings_;
  Configuration configuration_;
  int runtime_listener_ = -1, dependency_listener_ = -1, registry_ = -1, log_ = -1, runtime_ = -1,
      dependency_ = -1;
  std::string config_path_;
  std::string after_gauges_;
  bool after_gauges_is_for_next_link_ = false;
  pid_t pid_ = -1;
  std::map<std::string, std::string> buffers_;
  std::deque<std::string> runtime_lines_, dependency_lines_, reports_, log_lines_;
  std::map<int, Caller> callers_;
  std::map<int, std::string> unsent_;
};

}  // namespace damsonspoke::standins::scripted
