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
  options.add_options()("c,config", "the configuration file; default: the file that PROXY_CONFIG names",
                        cxxopts::value<std::string>(), "FILE");
}
void add_operator_option(cxxopts::Options& options) {
  options.add_options()("o,operator",
                        "the operators' file; default: the file that DAMSONSPOKE_OPERATOR names",
                        cxxopts::value<std::string>(), "FILE");
}
void add_log_options(cxxopts::Options& options) {
  options.add_options()("l,log-level", "error, warning, info or debug",
                        cxxopts::value<std::string>()->default_value("info"),
                        "LEVEL")("log-format", "text, or json (one object per line)",
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
  options.add_options()("store", "the file of the store; default: the one that the operators' file names",
                        cxxopts::value<std::string>(), "FILE")(
      "limit", "list: the maximum number of entries", cxxopts::value<std::size_t>()->default_value("100"),
      "N")("key", "drop: the key to drop, as shown by list", cxxopts::value<std::string>(), "KEY")(
      "expired", "drop: all keys whose idempotency window has expired")("all", "drop: all keys");
}
void statistics_options(cxxopts::Options& options) {
  add_operator_option(options);
  add_action(options, "show, verify or forget");
  options.add_options()("folder",
                        "the folder of the statistics; default: the one that the operators' file names",
                        cxxopts::value<std::string>(), "FOLDER");
}
void connections_options(cxxopts::Options& options) {
  add_operator_option(options);
  options.add_options()("folder", "the control folder; default: the one that the operators' file names",
                        cxxopts::value<std::string>(), "FOLDER")(
      "limit", "the maximum number of clients", cxxopts::value<std::size_t>()->default_value("20"), "N");
}
void catalog_options(cxxopts::Options& options) {
  add_operator_option(options);
  add_action(options, "show, check, snapshot, append or compare");
  options.add_options()("folder",
                        "the folder of the files (show: the control folder); default: the one that the "
                        "operators' file names",
                        cxxopts::value<std::string>(), "FOLDER")(
      "entries", "snapshot, append: a file of entries or changes, one JSON object per line",
      cxxopts::value<std::string>(), "FILE")("epoch", "snapshot, append: the epoch of the writer",
                                             cxxopts::value<std::uint64_t>()->default_value("1"), "N")(
      "other", "compare: the folder to compare with", cxxopts::value<std::string>(), "FOLDER");
}
void members_options(cxxopts::Options& options) {
  add_operator_option(options);
  options.add_options()("folder", "the control folder; default: the one that the operators' file names",
                        cxxopts::value<std::string>(), "FOLDER")("json", "print one JSON object")(
      "watch", "print again every second until interrupted");
}
void no_options(cxxopts::Options&) {}

// A subcommand. `alias` is a former name that is still accepted; nullptr: none.
struct Command {
  const char* name;
  const char* alias;
  const char* description;
  void (*add_options)(cxxopts::Options&);
  int (*run)(const cxxopts::ParseResult&);
};
constexpr Command kCommands[] = {
    {"serve", nullptr, "serve requests of callers until SIGTERM", serve_options, serve_command},
    {"forward", nullptr, "forward requests of callers to planners until SIGTERM", serve_options,
     forward_command},
    {"plan", nullptr, "serve requests of forwarders until SIGTERM", serve_options, plan_command},
    {"check", nullptr, "check a configuration and print what is invalid", check_options, check_command},
    {"config", nullptr, "check or show an operators' file, or print the reference of its directives",
     config_options, config_command},
    {"statistics", "knowledge", "show, verify or delete the learned statistics", statistics_options,
     statistics_command},
    {"results", nullptr, "list, verify or drop stored results", results_options, results_command},
    {"connections", "conns", "show the clients of a running server, their connections, and recent rejections",
     connections_options, connections_command},
    {"catalog", nullptr,
     "show the active routes and tenants; create, check or compare the files that servers read",
     catalog_options, catalog_command},
    {"members", nullptr, "show the members of the fleet and broken links, as seen by a running instance",
     members_options, members_command},
    {"version", nullptr, "print the version", no_options, version_command},
};

std::string usage() {
  std::string text = "usage: damsonspoke COMMAND [FLAGS]\n\n";
  for (const Command& command : kCommands)
    text += fmt::format("  {:<13}{}\n", command.name, command.description);
  return text + "\ndamsonspoke COMMAND --help prints the flags of a command\n";
}

int run_command(const Command& command, int argc, char** argv) {
  cxxopts::Options options(fmt::format("damsonspoke {}", command.name), command.description);
  options.add_options()("h,help", "print this help");
  command.add_options(options);
  const cxxopts::ParseResult flags = options.parse(argc, argv);
  if (flags.count("help") > 0) {
    fmt::print("{}", options.help());
    return kExitSuccess;
  }
  if (!flags.unmatched().empty())
    throw UsageError(fmt::format("unexpected argument '{}'", flags.unmatched().front()));
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
    print_error(name.empty()
                    ? "no command given; damsonspoke --help lists the commands"
                    : fmt::format("unknown command '{}'; damsonspoke --help lists the commands", name));
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
