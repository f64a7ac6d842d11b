#include "process.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace damsonspoke::standins {
namespace {

constexpr int kUserTimeField = 14, kSystemTimeField = 15;  // fields of /proc/PID/stat, from 1; see proc(5)
constexpr double kCountersTimeoutSeconds = 2;

}  // namespace

Process::Process(Loop& loop, const std::vector<std::string>& command) : loop_(loop) {
  int log[2];
  if (::pipe2(log, O_CLOEXEC) != 0) throw std::runtime_error("cannot create a pipe for the log");
  std::vector<std::string> copies = command;  // execv() takes non-const arguments
  std::vector<char*> arguments;
  arguments.reserve(copies.size() + 1);
  for (std::string& argument : copies) arguments.push_back(argument.data());
  arguments.push_back(nullptr);
  pid_ = ::fork();
  if (pid_ == 0) {
    ::dup2(log[1], STDERR_FILENO);
    ::execv(arguments[0], arguments.data());
    std::_Exit(127);
  }
  ::close(log[1]);
  log_ = log[0];
  ::fcntl(log_, F_SETFL, O_NONBLOCK);
  loop_.watch(log_, [this] { read(); });
}

Process::~Process() {
  if (!has_ended()) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  loop_.forget(log_);
  ::close(log_);
}

void Process::read() {
  char bytes[65536];
  const ssize_t got = ::read(log_, bytes, sizeof bytes);
  if (got == 0) loop_.forget(log_);
  if (got <= 0) return;
  buffer_.append(bytes, static_cast<std::size_t>(got));
  for (std::size_t end; (end = buffer_.find('\n')) != std::string::npos;) {
    lines_.push_back(buffer_.substr(0, end));
    if (on_log_line) on_log_line(lines_.back());
    buffer_.erase(0, end + 1);
  }
}

std::string Process::expect_log(const std::string& part, double timeout_seconds) {
  std::string found;
  loop_.run_until(
      [&] {
        while (!lines_.empty()) {
          found = lines_.front();
          lines_.pop_front();
          if (found.find(part) != std::string::npos) return true;
        }
        found.clear();
        return has_ended();
      },
      timeout_seconds);
  return found;
}

std::uint16_t Process::port() {
  const std::string line = expect_log("listens on");
  return line.empty() ? 0 : static_cast<std::uint16_t>(std::atoi(line.substr(line.rfind(':') + 1).c_str()));
}

void Process::signal(int number) {
  if (!has_ended()) ::kill(pid_, number);
}

bool Process::has_ended() {
  int status = 0;
  if (has_ended_ || ::waitpid(pid_, &status, WNOHANG) != pid_) return has_ended_;
  has_ended_ = true;
  status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return true;
}

double processor_time(pid_t pid) {
  std::ifstream stat(fmt::format("/proc/{}/stat", pid));
  std::string field;
  double ticks = 0;
  for (int i = 1; i <= kSystemTimeField && stat >> field; ++i) {
    if (i >= kUserTimeField) ticks += std::atof(field.c_str());
  }
  return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

long Process::resident_kb() const {
  std::ifstream file(fmt::format("/proc/{}/status", pid_));
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("VmRSS:", 0) == 0) return std::atol(line.c_str() + 6);
  }
  return 0;
}

std::size_t Process::descriptors() const {
  std::error_code error;
  std::filesystem::directory_iterator open(fmt::format("/proc/{}/fd", pid_), error);
  return error ? 0 : static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

std::map<std::string, std::uint64_t> Process::counters() {
  std::map<std::string, std::uint64_t> seen;
  lines_.clear();
  signal(SIGUSR1);
  if (expect_log("counters:").empty()) return seen;
  loop_.run_until(
      [&] {
        while (!lines_.empty()) {
          const std::string line = lines_.front();
          lines_.pop_front();
          const std::size_t name = line.find_first_not_of(' '), end = line.find(' ', name);
          if (name == 0 || end == std::string::npos) continue;
          seen[line.substr(name, end - name)] = std::strtoull(line.c_str() + end, nullptr, 10);
        }
        return seen.contains("invariants.broken");
      },
      kCountersTimeoutSeconds);
  return seen;
}

}  // namespace damsonspoke::standins
