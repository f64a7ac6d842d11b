// damsonspoke conns: who holds the connections of a running backend, and why the last were turned away.
#include <fmt/format.h>

#include <cstdio>

#include "app/commands.h"
#include "control/server.h"

namespace damsonspoke {
namespace {

constexpr double kPatience = 2;  // s

}  // namespace

std::string control_folder(const cxxopts::ParseResult& flags) {
  if (flags.count("folder") > 0) return flags["folder"].as<std::string>();
  const std::string path = operator_path(flags);
  if (path.empty()) throw WrongUse("no folder: give --folder FOLDER, or an operators' file that names one");
  std::string folder = read_operator_file(path).options.control.folder;
  if (folder.empty()) throw WrongUse(fmt::format("{} names no folder for control", path));
  return folder;
}

int conns_command(const cxxopts::ParseResult& flags) {
  const auto most = flags["limit"].as<std::size_t>();
  fmt::print("{}", control::ask(control_folder(flags), {"conns", std::to_string(most)}, kPatience));
  return kDone;
}

}  // namespace damsonspoke
