// `damsonspoke config check|show|reference`: checks or shows an operators' file, or documents its directives.
#include <fmt/format.h>

#include <cstdio>

#include "app/commands.h"
#include "settings/operator_schema.h"

namespace damsonspoke {

int config_command(const cxxopts::ParseResult& flags) {
  const std::string action = flags.count("action") > 0 ? flags["action"].as<std::string>() : "";
  if (action == "reference") {
    fmt::print("{}", directive_reference());
    return kExitSuccess;
  }
  if (action != "check" && action != "show") throw UsageError("config takes check, show or reference");
  const std::string path = operator_path(flags);
  if (path.empty() && action == "check") {
    throw UsageError("no operators' file: use --operator FILE or set DAMSONSPOKE_OPERATOR");
  }
  const OperatorFile file = path.empty() ? parse_operator_file("") : read_operator_file(path);
  if (action == "show") {
    fmt::print("{}", file.effective());
  } else {
    fmt::print("{}: sound, {} directives\n", path, file.given.size());
  }
  return kExitSuccess;
}

}  // namespace damsonspoke
