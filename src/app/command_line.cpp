#include "app/command_line.h"

#include <fmt/format.h>

#include <cstdio>
#include <string>

#include "app/commands.h"

namespace damsonspoke {
namespace {

int complain(std::string_view text) {
  fmt::print(stderr, "damsonspoke: {}\n", text);
  return kFailed;
}

int version_command(const cxxopts::ParseResult&) {
  fmt::print("damsonspoke {}\n", DAMSONSPOKE_VERSION);
  return kDone;
}

void add_config(cxxopts::Options& options) {
  options.add_options()("c,config", "the configuration; without it, the file that PROXY_CONFIG names",
                        cxxopts::value<std::string>(), "FILE");
}
void add_operator(cxxopts::Options& options) {
  options.add_options()("o,operator",
                        "the operators' file; without it, the one that DAMSONSPOKE_OPERATOR names",
                        cxxopts::value<std::string>(), "FILE");
}
void add_logs(cxxopts::Options& options) {
  options.add_options()("l,log-level", "error, warning, info or debug",
                        cxxopts::value<std::string>()->default_value("info"),
                        "LEVEL")("log-format", "text, or json: one object a line",
                                 cxxopts::value<std::string>()->default_value("text"), "FORM");
}
void add_words(cxxopts::Options& options, const char* help) {
  options.add_options()("action", help, cxxopts::value<std::string>());
  options.parse_positional({"action"});
  options.positional_help("ACTION");
}

void check_flags(cxxopts::Options& options) { add_config(options), add_operator(options); }
void serve_flags(cxxopts::Options& options) { check_flags(options), add_logs(options); }
void config_flags(cxxopts::Options& options) {
  add_operator(options), add_words(options, "check, show or reference");
}
void results_flags(cxxopts::Options& options) {
  add_operator(options), add_words(options, "stat, list, verify or drop");
  options.add_options()("store", "the store's file; without it, the one that the operators' file names",
                        cxxopts::value<std::string>(), "FILE")(
      "limit", "list: so many entries at most", cxxopts::value<std::size_t>()->default_value("100"), "N")(
      "key", "drop: this key, as list shows it", cxxopts::value<std::string>(), "KEY")(
      "expired", "drop: all whose window is over")("all", "drop: all of them");
}
void knowledge_flags(cxxopts::Options& options) {
  add_operator(options), add_words(options, "show, verify or forget");
  options.add_options()("folder", "the folder; without it, the one that the operators' file names",
                        cxxopts::value<std::string>(), "FOLDER");
}
void conns_flags(cxxopts::Options& options) {
  add_operator(options);
  options.add_options()("folder", "the control folder; without it, the one that the operators' file names",
                        cxxopts::value<std::string>(), "FOLDER")(
      "limit", "so many clients at most", cxxopts::value<std::size_t>()->default_value("20"), "N");
}
void catalog_flags(cxxopts::Options& options) {
  add_operator(options), add_words(options, "show, check, snapshot, append or compare");
  options.add_options()("folder",
                        "the folder of the files (show: the control folder); without it, the one that the "
                        "operators' file names",
                        cxxopts::value<std::string>(), "FOLDER")(
      "entries", "snapshot, append: a file of entries or changes, one JSON object a line",
      cxxopts::value<std::string>(), "FILE")("epoch", "snapshot, append: of the source that writes",
                                             cxxopts::value<std::uint64_t>()->default_value("1"), "N")(
      "other", "compare: with this folder", cxxopts::value<std::string>(), "FOLDER");
}
void members_flags(cxxopts::Options& options) {
  add_operator(options);
  options.add_options()("folder", "the control folder; without it, the one that the operators' file names",
                        cxxopts::value<std::string>(), "FOLDER")("json", "one JSON object")(
      "watch", "again each second, until it is stopped");
}
void no_flags(cxxopts::Options&) {}

struct Command {
  const char* name;
  const char* meaning;
  void (*flags)(cxxopts::Options&);
  int (*run)(const cxxopts::ParseResult&);
};
constexpr Command kCommands[] = {
    {"serve", "serve as one backend, until SIGTERM", serve_flags, serve_command},
    {"forward", "pass callers' ops on to planners, until SIGTERM", serve_flags, forward_command},
    {"plan", "serve as one backend whose ops come from forwarders, until SIGTERM", serve_flags, plan_command},
    {"check", "read a configuration and say what is wrong with it", check_flags, check_command},
    {"config", "check or show an operators' file, or print the reference of its directives", config_flags,
     config_command},
    {"knowledge", "show, verify or forget what a backend has learned", knowledge_flags, knowledge_command},
    {"results", "look at, verify or drop remembered results", results_flags, results_command},
    {"conns", "ask a running backend who holds its connections, and who was turned away", conns_flags,
     conns_command},
    {"catalog", "show routes and tenants in force; make, check or compare the files that backends follow",
     catalog_flags, catalog_command},
    {"members", "ask a running instance who is there, and which links are broken", members_flags,
     members_command},
    {"version", "print the version", no_flags, version_command},
};

std::string usage() {
  std::string text = "usage: damsonspoke COMMAND [FLAGS]\n\n";
  for (const Command& command : kCommands) text += fmt::format("  {:<10}{}\n", command.name, command.meaning);
  return text + "\ndamsonspoke COMMAND --help tells the flags of a command\n";
}

int run_command(const Command& command, int argc, char** argv) {
  cxxopts::Options options(fmt::format("damsonspoke {}", command.name), command.meaning);
  options.add_options()("h,help", "print this help");
  command.flags(options);
  const cxxopts::ParseResult flags = options.parse(argc, argv);
  if (flags.count("help") > 0) {
    fmt::print("{}", options.help());
    return kDone;
  }
  if (!flags.unmatched().empty())
    throw WrongUse(fmt::format("'{}' is not expected", flags.unmatched().front()));
  return command.run(flags);
}

}  // namespace

int run_command_line(int argc, char** argv) {
  const std::string name = argc > 1 ? argv[1] : "";
  if (name == "--help" || name == "-h" || name == "help") {
    fmt::print("{}", usage());
    return kDone;
  }
  for (const Command& command : kCommands) {
    if (name != command.name) continue;
    try {
      return run_command(command, argc - 1, argv + 1);
    } catch (const WrongUse& error) {
      complain(error.what());
      return kWrongUse;
    } catch (const cxxopts::exceptions::exception& error) {
      complain(error.what());
      return kWrongUse;
    } catch (const std::exception& error) {
      return complain(error.what());
    }
  }
  complain(name.empty() ? "no command; damsonspoke --help lists them"
                        : fmt::format("'{}' is no command; damsonspoke --help lists them", name));
  return kWrongUse;
}

}  // namespace damsonspoke
