// Learned statistics over several incarnations of the program: restored after a graceful shutdown, rejected
// after failed starts, with a folder that is missing, and with a folder whose writes hang. CTest compares the
// output with tests/traces/NAME.txt. usage: statistics_program BINARY
// statistics_restarts|statistics_hung_folder
#include <sys/stat.h>

#include <cstring>

#include "scripted_site.h"

using namespace damsonspoke::standins::scripted;

namespace {

// Four requests with ids from `from` on, whose ends are the runtime's notices from number `notice` on.
void serve_requests(Site& site, int from, int notice) {
  const int caller = site.connect();
  for (int i = 0; i < 4; ++i) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", from + i);
    site.send_request(caller, from + i, "pull", R"("ram":10,"limit":700)");
    site.runtime_hears(2);
    site.pause(0.06);
    site.runtime_says("end " + std::to_string(notice + i) + " " + id + " complete 60 2\r\nok");
    site.caller_hears(caller);
  }
  site.hang_up(caller);
}

// Waits for a log line that contains `part` and prints it from there on, without the age.
void print_log_line(Site& site, const char* part) {
  const std::string found = site.expect_log(part);
  const std::size_t at = found.find(part);
  const std::size_t end = found.find(" age_s");
  std::printf("log: %s\n", found.empty()
                               ? "(nothing)"
                               : found.substr(at, end == std::string::npos ? end : end - at).c_str());
}

void statistics_restarts() {
  Site site("", "", {"", "knowledge\n    enabled on\n    folder FOLDER\n"});
  site.comes_up();
  print_log_line(site, "starting without");
  serve_requests(site, 1, 1);
  site.signal(SIGTERM);
  site.ends();
  site.kill_and_start();
  site.comes_up();
  print_log_line(site, "starting with learned");
  site.pause(0.3);        // the beginning of the trial is stored by then
  site.kill_and_start();  // counts as a failed start, which the record may have caused
  site.comes_up();
  print_log_line(site, "starting with learned");
  site.pause(0.3);
  site.kill_and_start();
  site.comes_up();
  print_log_line(site, "learned statistics rejected");
  serve_requests(site, 11, 1);
  site.signal(SIGTERM);
  site.ends();
  site.kill_and_start();
  site.comes_up();
  print_log_line(site, "starting with learned");
  site.write_operators("knowledge\n    enabled on\n    folder /nowhere/at/all\n");
  site.kill_and_start();
  site.comes_up();
  print_log_line(site, "starting without");
  serve_requests(site, 21, 1);
  site.signal(SIGTERM);
  site.ends();
}

// A named pipe without a reader stands in for the temporary file of a record: opening it for writing blocks
// forever.
void statistics_hung_folder() {
  Site site("", "", {"", "knowledge\n    enabled on\n    folder FOLDER\n    interval 1s\n"});
  ::mkfifo((site.folder() + "/knowledge.new").c_str(), 0644);
  site.comes_up();
  print_log_line(site, "starting without");
  serve_requests(site, 1, 1);
  site.pause(1.2);  // writing the first record hangs by now
  serve_requests(site, 11, 5);
  const auto started_at = Clock::now();
  site.signal(SIGTERM);
  site.ends();
  const double seconds = std::chrono::duration<double>(Clock::now() - started_at).count();
  std::printf("stopped in time: %s\n", seconds < 2 ? "yes" : "no");
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  binary = argv[1];
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::signal(SIGPIPE, SIG_IGN);
  std::strcmp(argv[2], "statistics_restarts") == 0 ? statistics_restarts() : statistics_hung_folder();
  return 0;
}
