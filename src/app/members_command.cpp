// damsonspoke members: who is there, as a running instance sees it; which links are broken, and why somebody
// is suspected.
#include <fmt/format.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <thread>

#include "app/commands.h"
#include "control/server.h"

namespace damsonspoke {
namespace {

constexpr double kPatience = 2;  // s
constexpr auto kWatchEvery = std::chrono::seconds(1);

}  // namespace

int members_command(const cxxopts::ParseResult& flags) {
  const std::string folder = control_folder(flags);
  std::vector<std::string> question{"members"};
  if (flags.count("json") > 0) question.emplace_back("json");
  const bool watch = flags.count("watch") > 0;
  for (;;) {
    const std::string answer = control::send_query(folder, question, kPatience);
    if (watch && ::isatty(STDOUT_FILENO) != 0) fmt::print("\033[H\033[2J");
    fmt::print("{}", answer);
    std::fflush(stdout);
    if (!watch) return kDone;
    std::this_thread::sleep_for(kWatchEvery);
  }
}

}  // namespace damsonspoke
