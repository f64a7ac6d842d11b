// Stand-ins for the peers of the program, on loopback addresses and the real clock: the runtime, the back
// end, the roster and an edge node, as the protocol page describes them; a proxy that can cut a link; and a
// record of what was sent, answered and run. Each stand-in has a thread of its own.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

inline double unix_ms() {
  using namespace std::chrono;
  return duration<double, std::milli>(system_clock::now().time_since_epoch()).count();
}

inline void sleep_ms(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

inline void sleep_until_unix_ms(double at) {
  for (double left = at - unix_ms(); left > 0; left = at - unix_ms()) sleep_ms(left);
}

inline std::string text(const char* format, ...) {
  char buffer[16384];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(buffer, sizeof buffer, format, arguments);
  va_end(arguments);
  return buffer;
}

// Ends all processes that were started, then this one, without waiting for its threads.
[[noreturn]] void finish(int status);

// The case could not run.
[[noreturn]] inline void cannot_run(const std::string& why) {
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  finish(2);
}

// The record: a line an event, in milliseconds since the start.
class Record {
 public:
  void open(const std::string& path) {
    file_.open(path, std::ios::trunc);
    start_ = unix_ms();
  }
  void line(const std::string& what) {
    const std::lock_guard guard(mutex_);
    file_ << text("%10.1f  ", unix_ms() - start_) << what << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  double start_ = 0;
};

inline Record record;

// ---- Sockets.

inline int bound_socket(int kind, int& port, int backlog = 128) {
  const int fd = ::socket(AF_INET, kind | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  socklen_t size = sizeof address;
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0) cannot_run("no free port");
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  if (kind == SOCK_STREAM && ::listen(fd, backlog) != 0) cannot_run("cannot listen");
  return fd;
}

inline int free_port() {
  int port = 0;
  ::close(bound_socket(SOCK_STREAM, port));
  return port;
}

// -1: refused.
inline int connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool write_all(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// Reads lines, and the bytes that follow some of them, from a stream.
class LineReader {
 public:
  explicit LineReader(int fd) : fd_(fd) {}
  // False: the stream has ended.
  bool line(std::string& out) {
    for (;;) {
      const std::size_t end = buffer_.find("\r\n");
      if (end != std::string::npos) {
        out = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return true;
      }
      if (!fill()) return false;
    }
  }
  bool bytes(std::size_t count, std::string& out) {
    while (buffer_.size() < count) {
      if (!fill()) return false;
    }
    out = buffer_.substr(0, count);
    buffer_.erase(0, count);
    return true;
  }

 private:
  bool fill() {
    char chunk[16384];
    const ssize_t n = ::recv(fd_, chunk, sizeof chunk, 0);
    if (n <= 0) return false;
    buffer_.append(chunk, static_cast<std::size_t>(n));
    return true;
  }
  const int fd_;
  std::string buffer_;
};

inline std::vector<std::string> words_of(const std::string& line) {
  std::istringstream in(line);
  std::vector<std::string> words;
  for (std::string word; in >> word;) words.push_back(word);
  return words;
}

inline std::string base64(const std::string& in) {
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    std::uint32_t v = 0;
    for (std::size_t k = 0; k < 3; ++k)
      v = v << 8 | (i + k < in.size() ? static_cast<unsigned char>(in[i + k]) : 0U);
    for (std::size_t k = 0; k < 4; ++k) out += k <= in.size() - i ? digits[v >> (18 - 6 * k) & 63] : '=';
  }
  return out;
}

// Actions at later times, on a thread of its own.
class Later {
 public:
  Later() : thread_([this] { run(); }) {}
  ~Later() {
    {
      const std::lock_guard guard(mutex_);
      ended_ = true;
    }
    changed_.notify_all();
    thread_.join();
  }
  void after_ms(double ms, std::function<void()> action) {
    {
      const std::lock_guard guard(mutex_);
      actions_.emplace(unix_ms() + ms, std::move(action));
    }
    changed_.notify_all();
  }

 private:
  void run() {
    std::unique_lock guard(mutex_);
    while (!ended_) {
      if (actions_.empty()) {
        changed_.wait(guard);
        continue;
      }
      const double left = actions_.begin()->first - unix_ms();
      if (left > 0) {
        changed_.wait_for(guard, std::chrono::duration<double, std::milli>(left));
        continue;
      }
      const std::function<void()> action = std::move(actions_.begin()->second);
      actions_.erase(actions_.begin());
      guard.unlock();
      action();
      guard.lock();
    }
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  std::multimap<double, std::function<void()>> actions_;
  bool ended_ = false;
  std::thread thread_;
};

// ---- The runtime.

// What a run does: computes, makes a call if there is one, computes, ends.
struct Work {
  double before_call_ms = 0;
  std::string call;  // its body; empty: no call
  double after_call_ms = 100;
  std::string end = "complete";
  std::string result;
};

class Runtime {
 public:
  using Plan = std::function<Work(const std::string& id, const std::string& op, const std::string& body)>;

  explicit Runtime(Plan plan, std::string name = "runtime")
      : plan_(std::move(plan)), name_(std::move(name)), up_since_(unix_ms()) {
    listener_ = bound_socket(SOCK_STREAM, port_);
    std::thread([this] { accept_links(); }).detach();
  }
  [[nodiscard]] int port() const { return port_; }
  // Opens a second address of the same runtime, for a new configuration.
  int open_address() {
    int port = 0;
    const int fd = bound_socket(SOCK_STREAM, port);
    std::thread([this, fd] {
      for (;;) {
        const int link = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (link < 0) return;
        std::thread([this, link] { serve(link); }).detach();
      }
    }).detach();
    return port;
  }

  struct Run {
    std::string id, op, body;
    double started_at = 0;
    std::string end;
  };
  // Records no runs from now on.
  void be_quiet() { is_quiet_ = true; }
  // All runs so far, in the order of their starts.
  std::vector<Run> runs() {
    const std::lock_guard guard(mutex_);
    return log_;
  }
  void close_link() {
    const std::lock_guard guard(mutex_);
    if (link_ >= 0) ::shutdown(link_, SHUT_RDWR);
  }

 private:
  struct State {
    std::size_t position = 0;  // in log_
    Work work;
    bool waits = false;
    bool stopped = false;
    std::uint64_t generation = 0;
  };

  void accept_links() {
    for (;;) {
      const int link = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (link < 0) return;
      std::thread([this, link] { serve(link); }).detach();
    }
  }
  void serve(int link) {
    const int on = 1;
    ::setsockopt(link, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    LineReader in(link);
    std::string line;
    while (in.line(line)) {
      const std::vector<std::string> words = words_of(line);
      std::string body, end;
      if (words.empty()) break;
      const bool has_body = words[0] == "start" || words[0] == "give";
      if (has_body && !(in.bytes(std::strtoul(words.back().c_str(), nullptr, 10), body) && in.bytes(2, end)))
        break;
      const std::lock_guard guard(mutex_);
      if (words[0] == "sync") {
        take_over(link, std::strtoull(words[1].c_str(), nullptr, 10));
      } else if (link != link_) {
        break;  // a new link replaces the one before
      } else {
        handle(words, body);
      }
    }
    const std::lock_guard guard(mutex_);
    if (link_ == link) link_ = -1;
    ::close(link);
  }
  void take_over(int link, std::uint64_t last) {
    if (link_ >= 0 && link_ != link) ::shutdown(link_, SHUT_RDWR);
    link_ = link;
    if (last == 0) {  // a start of the backend: numbers begin anew, what it did not start is unknown to it
      notices_.clear();
      next_notice_ = 1;
      runs_.clear();
    }
    write_all(link, text("ready hot %.0f\r\n", unix_ms() - up_since_));
    for (const auto& [number, notice] : notices_) {
      if (number > last) write_all(link, notice);
    }
  }
  void handle(const std::vector<std::string>& words, const std::string& body) {
    if (words[0] == "gauges") {
      write_all(link_, text("load %s 0.5 %zu 0.2 4\r\n", words[1].c_str(), runs_.size()));
    } else if (words[0] == "selftest") {
      write_all(link_, "verdict " + words[1] + " complete\r\n");
    } else if (words[0] == "start") {
      start(words[1], words[2], body);
    } else if (words[0] == "give" || words[0] == "omit") {
      const auto found = runs_.find(words[1]);
      if (found == runs_.end() || !found->second.waits) return;
      found->second.waits = false;
      schedule_end(words[1], found->second);
    } else if (words[0] == "stop") {
      const auto found = runs_.find(words[1]);
      if (found == runs_.end()) return;
      record.line(name_ + ": stop " + words[1]);
      finish(words[1], "cancelled", "");
    } else if (words[0] == "cont") {
      write_all(link_, "nack cont " + words[1] + "\r\n");
    }
  }
  void start(const std::string& id, const std::string& op, const std::string& body) {
    if (runs_.contains(id)) return;
    State state;
    state.work = plan_(id, op, body);
    state.generation = ++generations_;
    state.position = log_.size();
    log_.push_back({id, op, body, unix_ms(), ""});
    if (!is_quiet_) record.line(name_ + ": start " + id + " " + op + " body '" + body + "'");
    State& kept = runs_[id] = state;
    if (kept.work.call.empty()) return schedule_end(id, kept);
    const std::uint64_t generation = kept.generation;
    later_.after_ms(kept.work.before_call_ms, [this, id, generation] {
      const std::lock_guard guard(mutex_);
      const auto found = runs_.find(id);
      if (found == runs_.end() || found->second.generation != generation) return;
      found->second.waits = true;
      const std::string& call = found->second.work.call;
      notify([&](std::uint64_t n) {
        return text("wants %llu %s %zu\r\n%s\r\n", static_cast<unsigned long long>(n), id.c_str(),
                    call.size(), call.c_str());
      });
    });
  }
  void schedule_end(const std::string& id, const State& state) {
    later_.after_ms(state.work.after_call_ms, [this, id, generation = state.generation] {
      const std::lock_guard guard(mutex_);
      const auto found = runs_.find(id);
      if (found == runs_.end() || found->second.generation != generation) return;
      const Work work = found->second.work;
      finish(id, work.end, work.end == "complete" ? work.result : "");
    });
  }
  void finish(const std::string& id, const std::string& end, const std::string& result) {
    Run& run = log_[runs_.at(id).position];
    run.end = end;
    const double ms = unix_ms() - run.started_at;
    runs_.erase(id);
    if (!is_quiet_)
      record.line(name_ + ": end " + id + " " + end + (result.empty() ? "" : " result '" + result + "'"));
    notify([&](std::uint64_t n) {
      return text("end %llu %s %s %.0f %zu\r\n%s\r\n", static_cast<unsigned long long>(n), id.c_str(),
                  end.c_str(), ms, result.size(), result.c_str());
    });
  }
  void notify(const std::function<std::string(std::uint64_t)>& make) {
    const std::uint64_t number = next_notice_++;
    const std::string& notice = notices_[number] = make(number);
    if (link_ >= 0) write_all(link_, notice);
  }

  const Plan plan_;
  bool is_quiet_ = false;
  const std::string name_;
  const double up_since_;
  int port_ = 0;
  int listener_ = -1;
  std::mutex mutex_;
  int link_ = -1;
  std::map<std::string, State> runs_;
  std::vector<Run> log_;
  std::map<std::uint64_t, std::string> notices_;
  std::uint64_t next_notice_ = 1;
  std::uint64_t generations_ = 0;
  Later later_;
};

// ---- The back end: answers every call after a while.

class BackEnd {
 public:
  explicit BackEnd(double delay_ms = 10) : delay_ms_(delay_ms) {
    listener_ = bound_socket(SOCK_STREAM, port_);
    std::thread([this] {
      for (;;) {
        const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        std::thread([this, fd] { serve(fd); }).detach();
      }
    }).detach();
  }
  [[nodiscard]] int port() const { return port_; }

 private:
  void serve(int fd) {
    LineReader in(fd);
    std::string line, body, end;
    while (in.line(line)) {
      const std::vector<std::string> words = words_of(line);
      if (words.size() < 4 || words[0] != "invoke") continue;
      if (!in.bytes(std::strtoul(words[3].c_str(), nullptr, 10), body) || !in.bytes(2, end)) break;
      record.line("back end: invoke " + words[1] + " '" + body + "'");
      sleep_ms(delay_ms_);
      const std::string reply = "reply to " + body;
      if (!write_all(fd, text("%s ok %zu\r\n%s\r\n", words[1].c_str(), reply.size(), reply.c_str()))) break;
    }
    ::close(fd);
  }
  const double delay_ms_;
  int port_ = 0;
  int listener_ = -1;
};

// ---- The roster: a socket that takes reports.

class Roster {
 public:
  Roster() {
    fd_ = bound_socket(SOCK_DGRAM, port_);
    std::thread([this] {
      char buffer[256];
      while (::recv(fd_, buffer, sizeof buffer, 0) >= 0) {
      }
    }).detach();
  }
  [[nodiscard]] int port() const { return port_; }

 private:
  int port_ = 0;
  int fd_ = -1;
};

// ---- An edge node's connection.

struct Answer {
  enum class Kind { kNone, kServed, kRefused, kFailed, kLost };
  Kind kind = Kind::kNone;
  int code = 0;
  std::string message;  // the whole message
  double at = 0;        // Unix ms
};

inline const char* name_of(Answer::Kind kind) {
  switch (kind) {
    case Answer::Kind::kNone: return "no answer";
    case Answer::Kind::kServed: return "served";
    case Answer::Kind::kRefused: return "refused (-32001)";
    case Answer::Kind::kFailed: return "failed";
    case Answer::Kind::kLost: return "connection ended";
  }
  return "";
}

class EdgeNode {
 public:
  explicit EdgeNode(int port, std::string name = "edge node")
      : name_(std::move(name)), fd_(connect_to(port)) {
    if (fd_ >= 0) reader_ = std::thread([this] { read(); });
  }
  ~EdgeNode() {
    if (fd_ < 0) return;
    ::shutdown(fd_, SHUT_RDWR);
    reader_.join();
    ::close(fd_);
  }
  EdgeNode(const EdgeNode&) = delete;
  EdgeNode& operator=(const EdgeNode&) = delete;

  [[nodiscard]] bool connected() const { return fd_ >= 0; }
  [[nodiscard]] int fd() const { return fd_; }
  int next_number() { return ++number_; }
  // Records no answers from now on.
  void be_quiet() { is_quiet_ = true; }

  // A whole message. `params`: the members of its params.
  static std::string message(int number, const std::string& op, const std::string& params) {
    const std::string body =
        text(R"({"jsonrpc":"2.0","id":%d,"method":"%s","params":{%s}})", number, op.c_str(), params.c_str());
    return text("Content-Length: %zu\r\n\r\n", body.size()) + body;
  }
  // Writes a message at once; returns its number.
  int send(const std::string& op, const std::string& params) {
    const int number = next_number();
    write_all(fd_, message(number, op, params));
    return number;
  }
  // How many messages have no answer yet.
  int open() {
    const std::lock_guard guard(mutex_);
    return number_ - static_cast<int>(answers_.size());
  }
  // The last message that answers no request; empty: there was none.
  std::string last_words() {
    const std::lock_guard guard(mutex_);
    return last_words_;
  }
  Answer wait_for(int number, double ms) {
    std::unique_lock guard(mutex_);
    changed_.wait_for(guard, std::chrono::duration<double, std::milli>(ms),
                      [&] { return answers_.contains(number) || ended_; });
    const auto found = answers_.find(number);
    if (found != answers_.end()) return found->second;
    Answer none;
    none.kind = ended_ ? Answer::Kind::kLost : Answer::Kind::kNone;
    return none;
  }

 private:
  void read() {
    LineReader in(fd_);
    std::string line, body;
    std::size_t length = 0;
    while (in.line(line)) {
      if (line.rfind("Content-Length:", 0) == 0) length = std::strtoul(line.c_str() + 15, nullptr, 10);
      if (!line.empty()) continue;
      if (!in.bytes(length, body)) break;
      take(body);
    }
    const std::lock_guard guard(mutex_);
    ended_ = true;
    changed_.notify_all();
  }
  void take(const std::string& body) {
    const std::size_t at = body.find("\"id\":");
    if (at == std::string::npos) return;  // a notification
    if (body.compare(at, 9, "\"id\":null") == 0) {
      const std::lock_guard guard(mutex_);
      last_words_ = body;
      return;
    }
    Answer answer;
    answer.at = unix_ms();
    answer.message = body;
    const std::size_t code = body.find("\"code\":");
    if (code == std::string::npos) {
      answer.kind = Answer::Kind::kServed;
    } else {
      answer.code = std::atoi(body.c_str() + code + 7);
      answer.kind = answer.code == -32001 ? Answer::Kind::kRefused : Answer::Kind::kFailed;
    }
    const int number = std::atoi(body.c_str() + at + 5);
    if (!is_quiet_) record.line(name_ + ": answer to " + std::to_string(number) + ": " + body);
    const std::lock_guard guard(mutex_);
    answers_.emplace(number, answer);
    changed_.notify_all();
  }
  const std::string name_;
  bool is_quiet_ = false;
  const int fd_;
  int number_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<int, Answer> answers_;
  std::string last_words_;
  bool ended_ = false;
  std::thread reader_;
};

// Whether a health check passes.
inline bool is_healthy(int port) {
  EdgeNode node(port, "check");
  if (!node.connected()) return false;
  const int number = node.send("health", "");
  const Answer answer = node.wait_for(number, 500);
  return answer.message.find("\"pass\":true") != std::string::npos;
}

inline void wait_until_healthy(int port) {
  for (int i = 0; i < 300; ++i) {
    if (is_healthy(port)) return;
    sleep_ms(100);
  }
  cannot_run("the program did not become healthy within 30 s");
}

// ---- A proxy before one port, which can stop passing bytes and then goes on, or reset its connections.

class Proxy {
 public:
  explicit Proxy(int target) : target_(target) {
    listener_ = bound_socket(SOCK_STREAM, port_);
    std::thread([this] {
      for (;;) {
        const int near = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (near < 0) return;
        std::thread([this, near] { relay(near); }).detach();
      }
    }).detach();
  }
  [[nodiscard]] int port() const { return port_; }
  // While cut, no byte passes either way, and no connection is made to the target.
  void cut(bool is_cut) {
    is_cut_ = is_cut;
    if (is_cut) return;
    const std::lock_guard guard(mutex_);
    // What was cut is gone for good, as both ends would find with a network that dropped their packets long
    // enough; connections made since are passed on.
  }
  void reset_all() {
    const std::lock_guard guard(mutex_);
    for (const int fd : open_) {
      const linger now{1, 0};
      ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
      ::shutdown(fd, SHUT_RD);
    }
    ++resets_;
  }

 private:
  void relay(int near) {
    while (is_cut_) sleep_ms(5);
    const int far = connect_to(target_);
    const int on = 1;
    ::setsockopt(near, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (far < 0) {
      ::close(near);
      return;
    }
    int resets = 0;
    {
      const std::lock_guard guard(mutex_);
      open_.insert(near);
      open_.insert(far);
      resets = resets_;
    }
    bool ok = true;
    while (ok && resets == resets_) {
      if (is_cut_) {
        sleep_ms(5);
        continue;
      }
      pollfd polled[2] = {{near, POLLIN, 0}, {far, POLLIN, 0}};
      ::poll(polled, 2, 5);
      for (int i = 0; i < 2 && ok; ++i) {
        if (polled[i].revents == 0 || is_cut_) continue;
        char buffer[16384];
        const ssize_t n = ::recv(polled[i].fd, buffer, sizeof buffer, MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) continue;
        if (n <= 0) ok = false;
        if (n > 0) write_all(polled[1 - i].fd, std::string(buffer, static_cast<std::size_t>(n)));
      }
    }
    const std::lock_guard guard(mutex_);
    open_.erase(near);
    open_.erase(far);
    ::close(near);
    ::close(far);
  }
  const int target_;
  int port_ = 0;
  int listener_ = -1;
  std::atomic<bool> is_cut_{false};
  std::atomic<int> resets_{0};
  std::mutex mutex_;
  std::set<int> open_;
};

// ---- A process of the program, started as the deploy file does, from the root of the repository.

class Program {
 public:
  // `command`: for /bin/sh -c. `log`: takes its standard output and error.
  Program(const std::string& command, const std::vector<std::string>& environment, const std::string& log) {
    pid_ = ::fork();
    if (pid_ < 0) cannot_run("cannot fork");
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with this process, however that ends
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      for (const std::string& variable : environment) ::putenv(const_cast<char*>(variable.c_str()));
      ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
    all().insert(pid_);
  }
  ~Program() { kill_and_wait(); }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  [[nodiscard]] pid_t pid() const { return pid_; }
  void signal(int number) const { ::kill(pid_, number); }
  [[nodiscard]] bool has_ended() {
    if (has_ended_) return true;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
    status_ = status;
    has_ended_ = true;
    all().erase(pid_);
    return true;
  }
  [[nodiscard]] int status() const { return status_; }
  void kill_and_wait() {
    if (has_ended()) return;
    ::kill(pid_, SIGCONT);
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, &status_, 0);
    has_ended_ = true;
    all().erase(pid_);
  }
  static void kill_all() {
    for (const pid_t pid : all()) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
    all().clear();
  }

 private:
  static std::set<pid_t>& all() {
    static std::set<pid_t> pids;
    return pids;
  }
  pid_t pid_ = -1;
  int status_ = 0;
  bool has_ended_ = false;
};

inline void finish(int status) {
  Program::kill_all();
  std::fflush(nullptr);
  ::_exit(status);
}

inline void write_file(const std::string& path, const std::string& content) {
  std::ofstream out(path, std::ios::trunc);
  out << content;
}

// The command of the deploy file's line `run`; cannot_run() if there is none.
inline std::string run_command() {
  std::ifstream in("deploy/balancer.toml");
  for (std::string line; std::getline(in, line);) {
    if (line.rfind("run = \"", 0) == 0) return line.substr(7, line.rfind('"') - 7);
  }
  cannot_run("deploy/balancer.toml has no line 'run'");
}

struct Arguments {
  std::string folder;  // of the case, for record.txt
  std::string temporary;
  bool trouble = true;
};

inline Arguments read_arguments(int argc, char** argv) {
  if (argc != 3) cannot_run("usage: CASE FOLDER TEMPORARY-FOLDER");
  const char* trouble = std::getenv("TROUBLE");
  ::signal(SIGPIPE, SIG_IGN);
  Arguments arguments{argv[1], argv[2], trouble == nullptr || std::string(trouble) != "0"};
  record.open(arguments.folder + "/record.txt");
  record.line(arguments.trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
  return arguments;
}

inline std::string hex_id(std::uint64_t n) {
  return text("%016llx", static_cast<unsigned long long>(n * 0x9e3779b97f4a7c15ULL | 1));
}

}  // namespace review
