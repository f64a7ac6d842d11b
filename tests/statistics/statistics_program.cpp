// Learned statistics over several incarnations of the program: restored after a graceful shutdown, rejected
// after failed starts, with a folder that is missing, and with a folder whose writes hang. CTest compares the
// output with tests/traces/NAME.txt. usage: statistics_program BINARY
// statistics_restarts|statistics_hung_folder
#include <sys/stat.h>

#include <cstring>

#include "server_fixture.h"

using namespace damsonspoke::standins::scripted;

namespace {

// Four requests with ids from `from` on, whose ends are the runtime's notices from number `notice` on.
void serve_requests(ServerFixture& fixture, int from, int notice) {
  const int caller = fixture.connect();
  for (int i = 0; i < 4; ++i) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", from + i);
    fixture.send_request(caller, from + i, "pull", R"("ram":10,"limit":700)");
    fixture.print_runtime_lines(2);
    fixture.pause(0.06);
    fixture.send_from_runtime("end " + std::to_string(notice + i) + " " + id + " complete 60 2\r\nok");
    fixture.print_caller_message(caller);
  }
  fixture.disconnect(caller);
}

// Waits for a log line that contains `part` and prints it from there on, without the age.
void print_log_line(ServerFixture& fixture, const char* part) {
  const std::string found = fixture.expect_log(part);
  const std::size_t at = found.find(part);
  const std::size_t end = found.find(" age_s");
  std::printf("log: %s\n", found.empty()
                               ? "(nothing)"
                               : found.substr(at, end == std::string::npos ? end : end - at).c_str());
}

void statistics_restarts() {
  ServerFixture fixture("", "", {"", "knowledge\n    enabled on\n    folder FOLDER\n"});
  fixture.complete_startup();
  print_log_line(fixture, "starting without");
  serve_requests(fixture, 1, 1);
  fixture.signal(SIGTERM);
  fixture.print_exit_status();
  fixture.restart_and_print();
  fixture.complete_startup();
  print_log_line(fixture, "starting with learned");
  fixture.pause(0.3);           // the beginning of the trial is stored by then
  fixture.restart_and_print();  // counts as a failed start, which the record may have caused
  fixture.complete_startup();
  print_log_line(fixture, "starting with learned");
  fixture.pause(0.3);
  fixture.restart_and_print();
  fixture.complete_startup();
  print_log_line(fixture, "learned statistics rejected");
  serve_requests(fixture, 11, 1);
  fixture.signal(SIGTERM);
  fixture.print_exit_status();
  fixture.restart_and_print();
  fixture.complete_startup();
  print_log_line(fixture, "starting with learned");
  fixture.write_operators("knowledge\n    enabled on\n    folder /nowhere/at/all\n");
  fixture.restart_and_print();
  fixture.complete_startup();
  print_log_line(fixture, "starting without");
  serve_requests(fixture, 21, 1);
  fixture.signal(SIGTERM);
  fixture.print_exit_status();
}

// A named pipe without a reader stands in for the temporary file of a record: opening it for writing blocks
// forever.
void statistics_hung_folder() {
  ServerFixture fixture("", "", {"", "knowledge\n    enabled on\n    folder FOLDER\n    interval 1s\n"});
  ::mkfifo((fixture.folder() + "/knowledge.new").c_str(), 0644);
  fixture.complete_startup();
  print_log_line(fixture, "starting without");
  serve_requests(fixture, 1, 1);
  fixture.pause(1.2);  // writing the first record hangs by now
  serve_requests(fixture, 11, 5);
  const auto started_at = Clock::now();
  fixture.signal(SIGTERM);
  fixture.print_exit_status();
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
