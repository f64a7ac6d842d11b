#include "app/command_line.h"

#include <fmt/format.h>

#include <cstdio>
#include <string>

#include "app/commands.h"

namespace damsonspoke {
namespace {

void print_error(std::string_view text) { fmt::print(stderr, "damsonspoke: {}\n", text); }

int version_command(const cxxopts::ParseResult&) {
  fmt::print("damsonspoke {}\n", DAMSONSPOKE_VERSION);
  return kExitSuccess;
}

void add_configuration_option(cxxopts::Options& options) {
  options.add_options()("c,config", "the configuration; without it, the file that PROXY_CONFIG names",
                        cxxopts::value<std::string>(), "FILE");
}
void add_operator_option(cxxopts::Options& options) {
  options.add_options()("o,operator",
                        "the operators' file; without it, the one that DAMSONSPOKE_OPERATOR names",
                        cxxopts::value<std::string>(), "FILE");
}
void add_log_options(cxxopts::Options& options) {
  options.add_options()("l,log-level", "error, warning, info or debug",
                        cxxopts::value<std::string>()->default_value("info"),
                        "LEVEL")("log-format", "text, or json: one object a line",
                                 cxxopts::value<std::string>()->default_value("text"), "FORM");
}
void add_action(cxxopts::Options& options, const char* help) {
  options.add_options()("action", help, cxxopts::value<std::string>());
  options.parse_positional({"action"});
  options.positional_help("ACTION");
}

void check_options(cxxopts::Options& options) {
  add_configuration_option(options);
  add_operator_option(options);
}

void serve_options(cxxopts::Options& options) {
  check_options(options);
  add_log_options(options);
}

void config_options(cxxopts::Options& options) {
  add_operator_option(options);
  add_action(options, "check, show or reference");
}
void results_options(cxxopts::Options& options) {
  add_operator_option(options);
  add_action(options, "stat, list, verify or drop");
  options.add_options()("store", "the store's file; without it, the one that the operators' file names",
                        cxxopts::value<std::string>(), "FILE")(
      "limit", "list: so many entries at most", cxxopts::value<std::size_t>()->default_value("100"), "N")(
      "key", "drop: this key, as list shows it", cxxopts::value<std::string>(), "KEY")(
      "expired", "drop: all whose window is over")("all", "drop: all of them");
}
void statistics_options(cxxopts::Options& options) {
  add_operator_option(options);
  add_action(options, "show, verify or forget");
  options.add_options()("folder", "the folder; without it, the one that the operators' file names",
                        cxxopts::value<std::string>(), "FOLDER");
}
void connections_options(cxxopts::Options& options) {
  add_operator_option(options);
  options.add_options()("folder", "the control folder; without it, the one that the operators' file names",
                        cxxopts::value<std::string>(), "FOLDER")(
      "limit", "so many clients at most", cxxopts::value<std::size_t>()->default_value("20"), "N");
}
void catalog_options(cxxopts::Options& options) {
  add_operator_option(options);
  add_action(options, "show, check, snapshot, append or compare");
  options.add_options()("folder",
                        "the folder of the files (show: the control folder); without it, the one that the "
                        "operators' file names",
                        cxxopts::value<std::string>(), "FOLDER")(
      "entries", "snapshot, append: a file of entries or changes, one JSON object a line",
      cxxopts::value<std::string>(), "FILE")("epoch", "snapshot, append: of the source that writes",
                                             cxxopts::value<std::uint64_t>()->default_value("1"), "N")(
      "other", "compare: with this folder", cxxopts::value<std::string>(), "FOLDER");
}
void members_options(cxxopts::Options& options) {
  add_operator_option(options);
  options.add_options()("folder", "the control folder; without it, the one that the operators' file names",
                        cxxopts::value<std::string>(), "FOLDER")("json", "one JSON object")(
      "watch", "again each second, until it is stopped");
}
void no_options(cxxopts::Options&) {}

// A sub-command. An alias is a former name that goes on working; nullptr: none.
struct Command {
  const char* name;
  const char* alias;
  const char* meaning;
  void (*add_options)(cxxopts::Options&);
  int (*run)(const cxxopts::ParseResult&);
};
constexpr Command kCommands[] = {
    {"serve", nullptr, "serve callers until SIGTERM", serve_options, serve_command},
    {"forward", nullptr, "forward callers' requests to planners until SIGTERM", serve_options,
     forward_command},
    {"plan", nullptr, "serve requests of forwarders until SIGTERM", serve_options, plan_command},
    {"check", nullptr, "read a configuration and say what is wrong with it", check_options, check_command},
    {"config", nullptr, "check or show an operators' file, or print the reference of its directives",
     config_options, config_command},
    {"statistics", "knowledge", "show, verify or forget the learned statistics", statistics_options,
     statistics_command},
    {"results", nullptr, "list, verify or drop stored results", results_options, results_command},
    {"connections", "conns", "ask a running server who holds its connections, and who was rejected",
     connections_options, connections_command},
    {"catalog", nullptr,
     "show routes and tenants in force; make, check or compare the files that servers follow",
     catalog_options, catalog_command},
    {"members", nullptr, "ask a running instance for the fleet's members and broken links", members_options,
     members_command},
    {"version", nullptr, "print the version", no_options, version_command},
};

std::string usage() {
  std::string text = "usage: damsonspoke COMMAND [FLAGS]\n\n";
  for (const Command& command : kCommands) text += fmt::format("  {:<13}{}\n", command.name, command.meaning);
  return text + "\ndamsonspoke COMMAND --help tells the flags of a command\n";
}

int run_command(const Command& command, int argc, char** argv) {
  cxxopts::Options options(fmt::format("damsonspoke {}", command.name), command.meaning);
  options.add_options()("h,help", "print this help");
  command.add_options(options);
  const cxxopts::ParseResult flags = options.parse(argc, argv);
  if (flags.count("help") > 0) {
    fmt::print("{}", options.help());
    return kExitSuccess;
  }
  if (!flags.unmatched().empty())
    throw UsageError(fmt::format("'{}' is not expected", flags.unmatched().front()));
  return command.run(flags);
}

const Command* find_command(std::string_view name) {
  for (const Command& command : kCommands) {
    if (name == command.name || (command.alias != nullptr && name == command.alias)) return &command;
  }
  return nullptr;
}

}  // namespace

int run_command_line(int argc, char** argv) {
  const std::string name = argc > 1 ? argv[1] : "";
  if (name == "--help" || name == "-h" || name == "help") {
    fmt::print("{}", usage());
    return kExitSuccess;
  }
  const Command* command = find_command(name);
  if (command == nullptr) {
    print_error(name.empty() ? "no command; damsonspoke --help lists them"
                             : fmt::format("'{}' is no command; damsonspoke --help lists them", name));
    return kExitUsage;
  }
  try {
    return run_command(*command, argc - 1, argv + 1);
  } catch (const UsageError& error) {
    print_error(error.what());
    return kExitUsage;
  } catch (const cxxopts::exceptions::exception& error) {
    print_error(error.what());
    return kExitUsage;
  } catch (const std::exception& error) {
    print_error(error.what());
    return kExitFailure;
  }
}

}  // namespace damsonspoke
