// `damsonspoke connections`: shows the clients with open connections to a running backend and the latest
// rejections.
#include <fmt/format.h>

#include <cstdio>

#include "app/commands.h"
#include "control/server.h"

namespace damsonspoke {
namespace {

constexpr double kControlTimeoutSeconds = 2;

}  // namespace

std::string control_folder(const cxxopts::ParseResult& flags) {
  if (flags.count("folder") > 0) return flags["folder"].as<std::string>();
  const std::string path = operator_path(flags);
  if (path.empty())
    throw UsageError("no control folder: use --folder FOLDER, or an operators' file that names one");
  std::string folder = read_operator_file(path).options.control.folder;
  if (folder.empty()) throw UsageError(fmt::format("{}: no 'folder' in section 'control'", path));
  return folder;
}

int connections_command(const cxxopts::ParseResult& flags) {
  const auto max_clients = flags["limit"].as<std::size_t>();
  fmt::print("{}", control::send_query(control_folder(flags), {"conns", std::to_string(max_clients)},
                                       kControlTimeoutSeconds));
  return kExitSuccess;
}

}  // namespace damsonspoke
