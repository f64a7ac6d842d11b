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

double processor_time(pid_t pid);  // s so far

class Process {
 public:
  Process(Loop& loop, const std::vector<std::string>& command);
  ~Process();  // kills it, if need be

  // The first line from now on that holds this; empty when patience (s) ends first.
  std::string expect_log(const std::string& part, double patience = 10);
  std::uint16_t port();  // that it says it listens on; 0: it does not
  void signal(int number);
  bool over();                            // and then status()
  int status() const { return status_; }  // exit status, or minus the signal
  pid_t pid() const { return pid_; }
  long resident_kb() const;
  std::size_t descriptors() const;  // that are open
  double processor_time() const { return standins::processor_time(pid_); }
  // Asks for the counters and reads them.
  std::map<std::string, std::uint64_t> counters();
  std::function<void(const std::string&)> on_line;  // each line of its log

 private:
  void read();

  Loop& loop_;
  pid_t pid_ = -1;
  int log_ = -1, status_ = 0;
  bool over_ = false;
  std::string buffer_;
  std::deque<std::string> lines_;
};

}  // namespace damsonspoke::standins
