// Runs the program under test as a child process and reads its log.
#pragma once

#include <sys/types.h>

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "loop.h"

namespace damsonspoke::standins {

// The processor time that a process has used, in seconds.
double processor_time(pid_t pid);

// A child process. Its log is its standard error.
class Process {
 public:
  // Starts the program named by the first argument. Throws std::runtime_error if no pipe can be created for
  // its log; a program that can't be executed ends with status 127. `loop` outlives this.
  Process(Loop& loop, const std::vector<std::string>& command);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  // Kills the process if it is still running.
  ~Process();

  // Waits for the next line of the log that contains this text and returns it; empty if the timeout passes or
  // the process ends first.
  std::string expect_log(const std::string& part, double timeout_seconds = 10);
  // Waits for the log line that names the listening port; 0 if there is none.
  std::uint16_t port();
  // Does nothing if the process has ended.
  void signal(int number);
  // Whether the process has ended; status() is valid then.
  bool has_ended();
  // The exit status, or the negated number of the signal that ended it.
  int status() const { return status_; }
  pid_t pid() const { return pid_; }
  long resident_kb() const;
  // The number of its open descriptors.
  std::size_t descriptors() const;
  // The processor time that it has used, in seconds.
  double processor_time() const { return standins::processor_time(pid_); }
  // Requests the counters with SIGUSR1 and waits for at most 2 s. Returns those received, by name.
  std::map<std::string, std::uint64_t> counters();

  std::function<void(const std::string&)> on_log_line;  // called for each line of the log

 private:
  void read();

  Loop& loop_;
  pid_t pid_ = -1;
  int log_ = -1, status_ = 0;
  bool has_ended_ = false;
  std::string buffer_;             // the unfinished line of the log
  std::deque<std::string> lines_;  // not yet searched by expect_log()
};

}  // namespace damsonspoke::standins
