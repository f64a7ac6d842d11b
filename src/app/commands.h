// What the sub-commands do, each in a file of its own; command_line.cpp reads their flags.
#pragma once

#include <cxxopts.hpp>
#include <optional>
#include <stdexcept>
#include <string>

#include "settings/config.h"
#include "settings/operator_file.h"

namespace damsonspoke {

constexpr int kExitSuccess = 0, kExitFailure = 1, kExitUsage = 2;

struct UsageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The files that a command is about: by flag, else by the environment.
struct ConfigFiles {
  Config config;
  std::optional<OperatorFile> operators;  // none: everything in it is off
};
std::string operator_path(const cxxopts::ParseResult& flags);  // empty: none
OperatorOptions effective_options(const ConfigFiles& files);  // in force, those that the settings ask for too
ConfigFiles load_config_files(const cxxopts::ParseResult& flags);

int serve_command(const cxxopts::ParseResult& flags);
int plan_command(const cxxopts::ParseResult& flags);
int forward_command(const cxxopts::ParseResult& flags);
int check_command(const cxxopts::ParseResult& flags);
int config_command(const cxxopts::ParseResult& flags);
int statistics_command(const cxxopts::ParseResult& flags);
std::string control_folder(const cxxopts::ParseResult& flags);
int catalog_command(const cxxopts::ParseResult& flags);
int connections_command(const cxxopts::ParseResult& flags);
int members_command(const cxxopts::ParseResult& flags);
int results_command(const cxxopts::ParseResult& flags);

}  // namespace damsonspoke
