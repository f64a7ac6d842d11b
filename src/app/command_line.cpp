#include "app/command_line.h"

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <string>
#include <vector>

#include "app/backend.h"
#include "watch/logger.h"
#include "net/address.h"
#include "settings/config.h"

namespace damsonspoke {
namespace {

constexpr int kDone = 0, kFailed = 1, kWrongUse = 2;
constexpr const char* kConfigVariable = "PROXY_CONFIG";

struct WrongUse : std::runtime_error {
  using std::runtime_error::runtime_error;
};

int complain(std::string_view text) {
  fmt::print(stderr, "damsonspoke: {}\n", text);
  return kFailed;
}

std::string config_path(const cxxopts::ParseResult& flags) {
  if (flags.count("config") > 0) return flags["config"].as<std::string>();
  const char* path = std::getenv(kConfigVariable);
  if (path == nullptr || *path == '\0') {
    throw WrongUse(fmt::format("no configuration: give --config FILE or set {}", kConfigVariable));
  }
  return path;
}

Config usable_config(const cxxopts::ParseResult& flags) {
  Config config = read_config(config_path(flags));
  const std::string lacking = unserved(config.site);
  if (!lacking.empty()) throw SettingsError(lacking);
  for (const std::string* address : {&config.listen, &config.runtime, &config.roster, &config.below}) {
    if (!address->empty()) net::parse_address(*address);
  }
  return config;
}

int serve(const cxxopts::ParseResult& flags) {
  const std::string name = flags["log-level"].as<std::string>();
  const std::optional<Level> level = level_of(name);
  if (!level) throw WrongUse(fmt::format("--log-level: '{}' is none of error, warning, info, debug", name));
  const Config config = usable_config(flags);
  const std::string form_name = flags["log-format"].as<std::string>();
  const std::optional<LogForm> form = log_form_of(form_name);
  if (!form) throw WrongUse(fmt::format("--log-format: '{}' is neither text nor json", form_name));
  Logger log(*level, *form);
  Backend backend(
      config, [&flags] { return usable_config(flags); }, log);
  return backend.run();
}

int check(const cxxopts::ParseResult& flags) {
  const Config config = usable_config(flags);
  fmt::print("{}: listens on {}, {} op types, {} cores\n", config.name, config.listen,
             config.site.type_names.size(), config.site.settings.cores);
  return kDone;
}

int version(const cxxopts::ParseResult&) {
  fmt::print("damsonspoke {}\n", DAMSONSPOKE_VERSION);
  return kDone;
}

struct Command {
  const char* name;
  const char* meaning;
  bool takes_config;
  bool takes_level;
  int (*run)(const cxxopts::ParseResult&);
};
constexpr Command kCommands[] = {
    {"serve", "serve as one backend, until SIGTERM", true, true, serve},
    {"check", "read a configuration and say what is wrong with it", true, false, check},
    {"version", "print the version", false, false, version},
};

std::string usage() {
  std::string text = "usage: damsonspoke COMMAND [FLAGS]\n\n";
  for (const Command& command : kCommands) text += fmt::format("  {:<10}{}\n", command.name, command.meaning);
  return text + "\ndamsonspoke COMMAND --help tells the flags of a command\n";
}

int run_command(const Command& command, int argc, char** argv) {
  cxxopts::Options options(fmt::format("damsonspoke {}", command.name), command.meaning);
  options.add_options()("h,help", "print this help");
  if (command.takes_config) {
    options.add_options()(
        "c,config", fmt::format("the configuration; without it, the file that {} names", kConfigVariable),
        cxxopts::value<std::string>(), "FILE");
  }
  if (command.takes_level) {
    options.add_options()("l,log-level", "error, warning, info or debug",
                          cxxopts::value<std::string>()->default_value("info"), "LEVEL")(
        "log-format", "text, or json: one object a line",
        cxxopts::value<std::string>()->default_value("text"), "FORM");
  }
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
