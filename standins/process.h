// The program under test as a child of this process, with its log.
#pragma once

#include <sys/types.h>

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "loop.h"

namespace damsonspoke::standins {

// Processor time that a process has used so far, in s.
double processor_time(pid_t pid);

// A child process; its log is what it writes to its standard error.
class Process {
 public:
  // Starts the program that the first word names. Throws std::runtime_error where there is no pipe for its
  // log; a program that can't be started ends with status 127. `loop` outlives this.
  Process(Loop& loop, const std::vector<std::string>& command);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  // Kills the process where it has not ended.
  ~Process();

  // Waits for the next line of the log that contains this text, and gives it; empty when so many seconds have
  // passed, or the process has ended, before it came.
  std::string expect_log(const std::string& part, double timeout_seconds = 10);
  // Waits until its log says which port it listens on; 0 where it does not.
  std::uint16_t port();
  // Does nothing where the process has ended.
  void signal(int number);
  // Whether the process has ended; status() is known then.
  bool has_ended();
  // The exit status, or minus the signal that ended it.
  int status() const { return status_; }
  pid_t pid() const { return pid_; }
  long resident_kb() const;
  // Descriptors that it has open.
  std::size_t descriptors() const;
  // That it has used so far, in s.
  double processor_time() const { return standins::processor_time(pid_); }
  // Asks for the counters and waits for them, 2 s at most; by name, as far as they came.
  std::map<std::string, std::uint64_t> counters();

  std::function<void(const std::string&)> on_log_line;  // called for each line of the log

 private:
  void read();

  Loop& loop_;
  pid_t pid_ = -1;
  int log_ = -1, status_ = 0;
  bool has_ended_ = false;
  std::string buffer_;             // of the log, without the end of a line yet
  std::deque<std::string> lines_;  // that were not looked at yet
};

}  // namespace damsonspoke::standins
