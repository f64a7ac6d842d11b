// The subcommands, each implemented in its own file; command_line.cpp parses their flags.
#pragma once

#include <cxxopts.hpp>
#include <optional>
#include <stdexcept>
#include <string>

#include "settings/config.h"
#include "settings/operator_file.h"

namespace damsonspoke {

constexpr int kExitSuccess = 0, kExitFailure = 1, kExitUsage = 2;

// An invalid command line; what() is one line.
struct UsageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The files that a command works on, named by flags or else by environment variables.
struct ConfigFiles {
  Config config;
  std::optional<OperatorFile> operators;  // absent: all its options have their defaults
};

std::string operator_path(const cxxopts::ParseResult& flags);  // empty: no operators' file
// The options of the operators' file, with those added that the settings require.
OperatorOptions effective_options(const ConfigFiles& files);
// Reads and checks the files. Throws SettingsError if one of them can't be used.
ConfigFiles load_config_files(const cxxopts::ParseResult& flags);

int serve_command(const cxxopts::ParseResult& flags);
int plan_command(const cxxopts::ParseResult& flags);
int forward_command(const cxxopts::ParseResult& flags);
int check_command(const cxxopts::ParseResult& flags);
int config_command(const cxxopts::ParseResult& flags);
int statistics_command(const cxxopts::ParseResult& flags);
// The folder of the control socket.
std::string control_folder(const cxxopts::ParseResult& flags);
int catalog_command(const cxxopts::ParseResult& flags);
int connections_command(const cxxopts::ParseResult& flags);
int members_command(const cxxopts::ParseResult& flags);
int results_command(const cxxopts::ParseResult& flags);

}  // namespace damsonspoke
