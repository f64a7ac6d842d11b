// Runs one scenario; CTest compares its output with tests/traces/link_crossings_NAME.txt. usage:
// link_crossings BINARY SCENARIO
#include "link_crossings.h"

#include <csignal>
#include <cstdio>
#include <cstring>
#include <string>
#include <vector>

namespace damsonspoke::testing {

ServerFixture::Configuration routes(const std::string& idempotency) {
  const std::string more =
      R"(","target":400,"give-up":3000,"semantics":")" + idempotency + R"(","window":20000})";
  return {R"([{"name":"push)" + more + R"(,{"name":"pull)" + more + "]",
          idempotency == kDedup ? "results\n    enabled on\n" : ""};
}

std::string with_limit(int ms, const std::string& idempotency) {
  const std::string more = R"("ram":10,"limit":)" + std::to_string(ms);
  return idempotency == kDedup ? more + R"(,"key":"a")" : more;
}

std::string large_request(int ms, const std::string& key) {
  const std::string more = R"("ram":900,"limit":)" + std::to_string(ms);
  return key.empty() ? more : more + R"(,"key":")" + key + "\"";
}

std::string run_end_notice(int notice, const std::string& id, const std::string& result) {
  return "end " + std::to_string(notice) + " " + id + " complete 20 " + std::to_string(result.size()) +
         "\r\n" + result;
}

void print_runtime_input(ServerFixture& fixture, double seconds) {
  const std::vector<std::string> lines = fixture.runtime_lines_within(seconds);
  for (const std::string& line : lines) std::printf("runtime received: %s\n", line.c_str());
  if (lines.empty()) std::printf("runtime received: (nothing)\n");
}

void print_command_count(ServerFixture& fixture, const std::string& command, double seconds) {
  int count = 0;
  for (const std::string& line : fixture.runtime_lines_within(seconds)) count += line.rfind(command, 0) == 0;
  std::printf("runtime received '%s': %d times\n", command.c_str(), count);
}

void print_caller_failure(ServerFixture& fixture, int caller) {
  const std::string answer = fixture.next_message(caller);
  const bool is_failure = answer.find("\"error\"") != std::string::npos;
  const bool is_rejection = answer.find("-32001") != std::string::npos;
  std::printf("caller received: %s\n", is_rejection ? "rejected" : is_failure ? "failed" : answer.c_str());
}

}  // namespace damsonspoke::testing

using namespace damsonspoke::testing;

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  damsonspoke::standins::scripted::binary = argv[1];
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::signal(SIGPIPE, SIG_IGN);
  for (const auto& scenarios :
       {start_scenarios(), reply_scenarios(), resumption_scenarios(), restart_scenarios()}) {
    for (const Scenario& scenario : scenarios) {
      if (std::strcmp(argv[2], scenario.name) == 0) {
        scenario.play();
        return 0;
      }
    }
  }
  return 2;
}
