// `damsonspoke members`: shows the members of the fleet as a running instance sees them, broken links, and
// why a member is suspected.
#include <fmt/format.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <thread>

#include "app/commands.h"
#include "control/server.h"

namespace damsonspoke {
namespace {

constexpr double kControlTimeoutSeconds = 2;
constexpr auto kWatchInterval = std::chrono::seconds(1);

}  // namespace

int members_command(const cxxopts::ParseResult& flags) {
  const std::string folder = control_folder(flags);
  std::vector<std::string> query{"members"};
  if (flags.count("json") > 0) query.emplace_back("json");
  const bool watch = flags.count("watch") > 0;
  for (;;) {
    const std::string response = control::send_query(folder, query, kControlTimeoutSeconds);
    if (watch && ::isatty(STDOUT_FILENO) != 0) fmt::print("\033[H\033[2J");
    fmt::print("{}", response);
    std::fflush(stdout);
    if (!watch) return kExitSuccess;
    std::this_thread::sleep_for(kWatchInterval);
  }
}

}  // namespace damsonspoke
