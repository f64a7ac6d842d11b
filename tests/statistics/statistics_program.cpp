// Learned statistics over several runs of the program: handed on at graceful shutdown, given up after starts
// that did not last, a folder that is missing, and one whose writes hang. CTest compares with
// tests/traces/NAME.txt. usage: statistics_program BINARY handed_on|hung_folder
#include <sys/stat.h>

#include <cstring>

#include "scripted_site.h"

using namespace damsonspoke::standins::scripted;

namespace {

void run_some(Site& site, int from, int notice) {
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

void line(Site& site, const char* part) {
  const std::string found = site.expect_log(part);
  const std::size_t at = found.find(part);
  const std::size_t end = found.find(" age_s");
  std::printf("log: %s\n", found.empty()
                               ? "(nothing)"
                               : found.substr(at, end == std::string::npos ? end : end - at).c_str());
}

void handed_on() {
  Site site("", "", {"", "knowledge\n    enabled on\n    folder FOLDER\n"});
  site.comes_up();
  line(site, "starting without");
  run_some(site, 1, 1);
  site.signal(SIGTERM);
  site.ends();
  site.kill_and_start();
  site.comes_up();
  line(site, "starting with learned");
  site.pause(0.3);        // that a life began with it is written by then
  site.kill_and_start();  // it may have died of what it knew
  site.comes_up();
  line(site, "starting with learned");
  site.pause(0.3);
  site.kill_and_start();
  site.comes_up();
  line(site, "learned statistics rejected");
  run_some(site, 11, 1);
  site.signal(SIGTERM);
  site.ends();
  site.kill_and_start();
  site.comes_up();
  line(site, "starting with learned");
  site.write_operators("knowledge\n    enabled on\n    folder /nowhere/at/all\n");
  site.kill_and_start();
  site.comes_up();
  line(site, "starting without");
  run_some(site, 21, 1);
  site.signal(SIGTERM);
  site.ends();
}

// A pipe that nobody reads stands where a record is written aside: to open it takes for ever.
void hung_folder() {
  Site site("", "", {"", "knowledge\n    enabled on\n    folder FOLDER\n    interval 1s\n"});
  ::mkfifo((site.folder() + "/knowledge.new").c_str(), 0644);
  site.comes_up();
  line(site, "starting without");
  run_some(site, 1, 1);
  site.pause(1.2);  // the first record hangs by now
  run_some(site, 11, 5);
  const auto begin = Clock::now();
  site.signal(SIGTERM);
  site.ends();
  const double took = std::chrono::duration<double>(Clock::now() - begin).count();
  std::printf("within its stop: %s\n", took < 2 ? "yes" : "no");
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  binary = argv[1];
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::signal(SIGPIPE, SIG_IGN);
  std::strcmp(argv[2], "handed_on") == 0 ? handed_on() : hung_folder();
  return 0;
}
