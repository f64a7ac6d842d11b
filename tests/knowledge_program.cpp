// Learning over lives of the program: handed on at the notice to leave, given up after lives that did not
// last, and a folder that is not there. CTest compares with tests/traces/handed_on.txt. usage:
// knowledge_program BINARY
#include "scripted_site.h"

using namespace damsonspoke::standins::scripted;

namespace {

void run_some(Site& site, int from, int notice) {
  const int caller = site.connect();
  for (int i = 0; i < 4; ++i) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", from + i);
    site.send_op(caller, from + i, "pull", R"("ram":10,"limit":700)");
    site.runtime_hears(2);
    site.pause(0.06);
    site.runtime_says("end " + std::to_string(notice + i) + " " + id + " complete 60 2\r\nok");
    site.caller_hears(caller);
  }
  site.hang_up(caller);
}

void line(Site& site, const char* part) {
  const std::string found = site.expect_log(part);
  const std::size_t at = found.find(part), end = found.find(" age_s");
  std::printf("log: %s\n", found.empty()
                               ? "(nothing)"
                               : found.substr(at, end == std::string::npos ? end : end - at).c_str());
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  binary = argv[1];
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::signal(SIGPIPE, SIG_IGN);
  Site site("", "", {"", "knowledge\n    enabled on\n    folder FOLDER\n"});
  site.comes_up();
  line(site, "starts without");
  run_some(site, 1, 1);
  site.signal(SIGTERM);
  site.ends();
  site.kill_and_start();
  site.comes_up();
  line(site, "starts with what");
  site.pause(0.3);        // that a life began with it is written by then
  site.kill_and_start();  // it may have died of what it knew
  site.comes_up();
  line(site, "starts with what");
  site.pause(0.3);
  site.kill_and_start();
  site.comes_up();
  line(site, "not believed");
  run_some(site, 11, 1);
  site.signal(SIGTERM);
  site.ends();
  site.kill_and_start();
  site.comes_up();
  line(site, "starts with what");
  site.write_operators("knowledge\n    enabled on\n    folder /nowhere/at/all\n");
  site.kill_and_start();
  site.comes_up();
  line(site, "starts without");
  run_some(site, 21, 1);
  site.signal(SIGTERM);
  site.ends();
  return 0;
}
